/** One caller's request on its way through the gate. */
import type {CallerResponse} from './caller-response.js';
import type {RawHeaders, RequestFacts, Route} from '../types.js';

/** A request that passed the checks of the ingress. */
export interface GateRequest {
  readonly method: string;
  /** Path with its query, as the caller sent it. */
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly facts: RequestFacts;
  readonly route: Route;
  /** Service chosen among the route's splits. */
  readonly service: string;
  /** Name of the caller's account; absent on public routes. */
  readonly account: string | undefined;
  /** Arrival of the head, on the monotonic clock, in ms. */
  readonly arrivedAt: number;
  /** End of the caller's own deadline and of the route's timeout. */
  readonly expiresAt: number;
  /** Configuration that routed it. */
  readonly configVersion: number;
  /** Event id that the caller resumes after. */
  readonly lastEventId: string | undefined;
  readonly caller: CallerResponse;
}
