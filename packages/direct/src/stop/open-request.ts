/** A request without a complete answer, and where it waits. */
import type {CallerResponse} from '../forward/caller-response.js';

/** Where a request waits. */
export type RequestPlace =
  /** The rest of its body has not arrived. */
  | 'body'
  /** The gate has no configuration yet. */
  | 'startup'
  /** Its engines or its target are about to be chosen. */
  | 'choice'
  /** It is sent later, as that costs less. */
  | 'deferred'
  /** No slot is free. */
  | 'queue'
  /** A permit of its target, or what other gates have placed. */
  | 'permit'
  /** KV cache of helpers, or the connection to its target. */
  | 'connect'
  /** A target has it and has not answered. */
  | 'target'
  /** A part of its answer has been sent. */
  | 'answer'
  /** Its whole answer waits for its caller. */
  | 'caller';

/** What a stop of the gate may do with a request. */
export abstract class StoppableRequest {
  /** Where the request waits. */
  abstract readonly place: RequestPlace;
  /**
   * Estimates the time until its answer is complete, in ms; undefined if it is
   * not known what the request needs.
   */
  abstract estimateEndMs(): number | undefined;
  /**
   * Refuses the request, so that another gate serves it; returns false if it may
   * have run or is being sent, and changes nothing then.
   */
  abstract handBack(): boolean;
  /**
   * Ends a request that can't be handed back, as the process ends: with an answer
   * that leaves its outcome open, or by breaking off what has begun. An answer that
   * only its caller delays goes on.
   */
  abstract endUnfinished(): void;
}

/**
 * A request from the arrival of its head until its answer is complete.
 *
 * @example
 * const request = new OpenRequest('q1', caller, performance.now(), handler);
 * request.place; // 'body'
 */
export class OpenRequest {
  /**
   * @param arrivedAt - Arrival of the head on the monotonic clock, in ms.
   * @param handler - What handles the request at present.
   */
  constructor(
    readonly requestId: string | undefined,
    readonly caller: CallerResponse,
    readonly arrivedAt: number,
    public handler: StoppableRequest,
  ) {}

  /** Where the request waits. */
  get place(): RequestPlace {
    return this.caller.isEnded ? 'caller' : this.handler.place;
  }
}
