/** A request that is not forwarded yet, as a stop of the gate sees it. */
import {chooseOtherGateRetryMs} from '../forward/retry-after.js';
import {StoppableRequest} from '../stop/open-request.js';
import type {
  CallerResponse,
  GateErrorReason,
} from '../forward/caller-response.js';
import type {RequestPlace} from '../stop/open-request.js';
import type {RequestMetadata} from '../types.js';
import type {EarlyRefusals} from './early-refusals.js';

/**
 * Request whose body arrives, or that waits for the first configuration.
 *
 * @example
 * const arriving = new ArrivingRequest(caller, facts, refusals);
 * arriving.handBack(); // the caller gets 503
 */
export class ArrivingRequest extends StoppableRequest {
  /** Whether the whole body has arrived. */
  hasBody = false;
  private readonly refuseListeners: Array<() => void> = [];

  constructor(
    private readonly caller: CallerResponse,
    private readonly facts: RequestMetadata,
    private readonly refusals: EarlyRefusals,
  ) {
    super();
  }

  override get place(): RequestPlace {
    return this.hasBody ? 'startup' : 'body';
  }

  override estimateEndMs(): undefined {
    return undefined;
  }

  /** Registers a listener that runs once the request is refused. */
  onRefuse(listener: () => void): void {
    this.refuseListeners.push(listener);
  }

  /** Refuses the request; the rest of its body is dropped. */
  refuse(
    status: number,
    reason: GateErrorReason,
    facts?: RequestMetadata,
    retryDelayMs?: number,
  ): void {
    this.refusals.refuse(this.caller, status, reason, facts, retryDelayMs);
    for (const notify of this.refuseListeners.splice(0)) notify();
  }

  override handBack(): boolean {
    const {caller, facts} = this;
    if (caller.isOver) return false;
    this.refuse(503, 'stopping', facts, chooseOtherGateRetryMs());
    return true;
  }

  override endUnfinished(): void {
    // An answer of the gate that is not complete yet only waits for the rest of
    // the body.
  }
}
