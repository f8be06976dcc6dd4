/** Request type that is passed from the ingress to the forwarders. */
import type {Fingerprint} from '@nutmeggauge/core';
import type {OpenRequest} from '../stop/open-request.js';
import type {CallerResponse} from './caller-response.js';
import type {RequestBody} from './request-body.js';
import type {RawHeaders, RequestMetadata, Route} from '../types.js';

/** Request that has passed the checks of the ingress. */
export interface GateRequest {
  readonly method: string;
  /** Path and query string as sent by the caller. */
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: RequestBody;
  /** Identifies the content, which a retry of the caller has in common. */
  readonly fingerprint: Fingerprint;
  readonly facts: RequestMetadata;
  readonly route: Route;
  /** Service chosen from the traffic splits of the route. */
  readonly service: string;
  /** Name of the client account; absent on public routes. */
  readonly account: string | undefined;
  /**
   * Zones in which the request may run.
   *
   * @default all
   */
  readonly allowedZones?: ReadonlySet<string>;
  /** Arrival time of the request head on the monotonic clock, in ms. */
  readonly arrivedAt: number;
  /**
   * Deadline on the monotonic clock, in ms: the earlier of the caller's
   * deadline and the end of the route's timeout.
   */
  readonly expiresAt: number;
  /** Version of the configuration that the request was routed with. */
  readonly configVersion: number;
  /** Id of the last event that the caller received before it reconnected. */
  readonly lastEventId: string | undefined;
  readonly caller: CallerResponse;
  /** The request as a stop of the gate sees it. */
  readonly open: OpenRequest;
}
