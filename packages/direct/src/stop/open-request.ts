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

/** A forwarded request, as a stop of the gate sees it. */
export abstract class ForwardedRequest {
  /** Where the request waits. */
  abstract readonly place: RequestPlace;
  /** Estimates the time until its answer is complete, in ms. */
  abstract estimateEndMs(): number;
}

/**
 * A request from the arrival of its head until its answer is complete.
 *
 * @example
 * const request = new OpenRequest(caller, performance.now());
 * request.place; // 'body'
 */
export class OpenRequest {
  /** Id of the request; absent until its head has been parsed. */
  requestId: string | undefined;
  /** Whether the whole body has arrived. */
  hasBody = false;
  /** What forwards the request; absent until its checks have passed. */
  forwarded: ForwardedRequest | undefined;

  /** @param arrivedAt - Arrival of the head on the monotonic clock, in ms. */
  constructor(
    readonly caller: CallerResponse,
    readonly arrivedAt: number,
  ) {}

  /** Where the request waits. */
  get place(): RequestPlace {
    if (this.caller.isEnded) return 'caller';
    if (this.forwarded !== undefined) return this.forwarded.place;
    return this.hasBody ? 'startup' : 'body';
  }
}
