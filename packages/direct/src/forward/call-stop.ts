/** One call, as a stop of the gate sees it. */
import {chooseOtherGateRetryMs} from './retry-after.js';
import {StoppableRequest} from '../stop/open-request.js';
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
  /** Whether the call has ended. */
  readonly isOver: () => boolean;
  /** Whether a target may have run the call. */
  readonly mayHaveRun: () => boolean;
  /** Answers the call with an error of the gate. */
  readonly refuse: (
    status: number,
    reason: 'stopping' | 'outcome_unknown',
    retryAfterMs?: number,
  ) => void;
  /** Sends the failure of a target that is kept; returns false if there is none. */
  readonly sendFallback: () => boolean;
}

/**
 * Tells a stop where a call waits and when it may end, and ends it.
 *
 * @example
 * new CallStop(context, request, state).place; // 'permit'
 */
export class CallStop extends StoppableRequest {
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
    const {context, request} = this;
    const {service, allowedZones, route} = request;
    const waitMs = context.calls.readWaitMs(service, allowedZones);
    const leftMs = request.expiresAt - context.readNow();
    // At its deadline it is answered whatever its target does.
    const usualMs = Math.min(
      context.callTimes.readLongestMs(route.name),
      leftMs,
    );
    return waitMs + Math.max(route.objectiveMs, usualMs);
  }

  override handBack(): boolean {
    const {isOver, mayHaveRun, hasHead, listOpen, refuse} = this.state;
    if (isOver() || mayHaveRun() || hasHead()) return false;
    const open = listOpen();
    if (open.some(({wasSent}) => wasSent)) return false;
    // Nothing may be sent after the refusal.
    for (const exchange of open) exchange.cancel();
    refuse(503, 'stopping', chooseOtherGateRetryMs());
    return true;
  }

  override endUnfinished(): void {
    const {isOver, hasHead, sendFallback, refuse} = this.state;
    if (isOver() || hasHead() || sendFallback()) return;
    refuse(502, 'outcome_unknown');
  }
}
