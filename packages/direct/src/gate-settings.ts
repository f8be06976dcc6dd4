/** Settings of a direct gate, and what an adapter provides for it. */
import type {Server} from 'node:net';
import type {ListenAddress} from '@nutmeggauge/core';
import type {DecisionLog} from './observe/decision-log.js';
import type {
  EngineReports,
  FactStore,
  HeaderDialect,
  KvReservations,
} from './ports.js';
import type {RetryBounds} from './retry/shared-retry-budget.js';

/**
 * Bounds on the requests that a cold target gets from all gates together: in any
 * second at most the requests per second that it is built to take times `overage`,
 * plus `slack`.
 */
export interface ColdBounds {
  readonly overage: number;
  /** Requests. */
  readonly slack: number;
}

/** Settings of a direct gate. */
export interface DirectGateSettings {
  readonly node: string;
  readonly zone: string;
  /**
   * Region of each availability zone.
   *
   * @default no zone has a known region
   */
  readonly regionByZone?: ReadonlyMap<string, string>;
  /**
   * Bounds on the requests to cold targets.
   *
   * @default cold targets are not limited
   */
  readonly coldBounds?: ColdBounds;
  /**
   * Time after its acknowledgement by which the evacuation of a zone must be in
   * force, in ms.
   *
   * @default no bound is known
   */
  readonly evacuationMs?: number;
  /** Address that callers connect to. */
  readonly ingress: ListenAddress;
  /** Address where the load balancer checks readiness. */
  readonly ready: ListenAddress;
  /** Address that peers use, over TCP and UDP. */
  readonly peers: ListenAddress;
  /** Address where metrics are served; absent to serve none. */
  readonly metrics: ListenAddress | undefined;
  readonly seedHosts: readonly string[];
  readonly retryBounds: RetryBounds;
  /**
   * True if the whole system starts for the first time, so that no earlier run
   * of a gate has spent retries.
   */
  readonly isFirstStart: boolean;
  /** Time between the request to stop and the kill of the process, in ms. */
  readonly stopGraceMs: number;
  /**
   * Time for which a request is refused after servers have crashed under it, in
   * ms.
   */
  readonly crashRefusalMs: number;
  /**
   * Memory that the process may use, in bytes.
   *
   * @default 256 MiB
   */
  readonly memoryBytes?: number;
}

/** Dependencies of a direct gate, which an adapter provides. */
export interface DirectGateDependencies {
  readonly dialect: HeaderDialect;
  readonly store: FactStore;
  readonly reservations: KvReservations;
  readonly reports: EngineReports;
  readonly log: DecisionLog;
  /**
   * Listener for callers that is open already.
   *
   * @default opened at the start
   */
  readonly listener?: Server;
}
