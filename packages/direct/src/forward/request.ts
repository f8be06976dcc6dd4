/** A caller's request as the forwarders see it. */
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
  /** Name of the client account; absent on public routes. */
  readonly account: string | undefined;
  /** Arrival of the head on the monotonic clock, in ms. */
  readonly arrivedAt: number;
  /** The earlier of the caller's deadline and the route's timeout. */
  readonly expiresAt: number;
  /** Version of the configuration that routed it. */
  readonly configVersion: number;
  /** Event after which the caller resumes. */
  readonly lastEventId: string | undefined;
  readonly caller: CallerResponse;
}
