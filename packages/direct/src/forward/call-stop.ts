/** One call, as a stop of the gate sees it. */
import {ForwardedRequest} from '../stop/open-request.js';
import type {RequestPlace} from '../stop/open-request.js';
import type {ForwardContext} from './context.js';
import type {Exchange} from './exchange.js';
import type {GateRequest} from './request.js';

/** State of a call that a stop asks for. */
export interface CallState {
  /** Whether the caller has got the head of an answer. */
  readonly hasHead: () => boolean;
  /** Lists the exchanges that run. */
  readonly listOpen: () => readonly Exchange[];
  /** Whether a send waits for what has arrived, or for a permit. */
  readonly isSending: () => boolean;
}

/**
 * Tells a stop where a call waits and when it may end.
 *
 * @example
 * new CallStop(context, request, state).place; // 'permit'
 */
export class CallStop extends ForwardedRequest {
  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
    private readonly state: CallState,
  ) {
    super();
  }

  override get place(): RequestPlace {
    const {hasHead, listOpen, isSending} = this.state;
    if (hasHead()) return 'answer';
    const open = listOpen();
    if (open.some(({wasSent}) => wasSent)) return 'target';
    if (open.length > 0) return 'connect';
    return isSending() ? 'permit' : 'choice';
  }

  override estimateEndMs(): number {
    const {service, allowedZones, route} = this.request;
    const waitMs = this.context.calls.readWaitMs(service, allowedZones);
    return waitMs + route.objectiveMs;
  }
}
