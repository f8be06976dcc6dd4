/**
 * Interfaces that an adapter implements: header names, a read-only store of
 * facts (the configuration and the targets), reports of engines, and
 * reservations of KV cache.
 */
import type {EvacuationEntry} from './fleet/evacuated-zones.js';
import type {FactPosition} from './fleet/fact-position.js';
import type {
  AnswerMetadata,
  FleetConfig,
  ForwardMetadata,
  RawHeaders,
  RequestMetadata,
  Target,
} from './types.js';

/** Translates HTTP header fields between the wire and the gate. */
export abstract class HeaderDialect {
  /** Parses the head of a caller's request. */
  abstract parseRequest(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): RequestMetadata;

  /**
   * Builds the request head for a target from the caller's request head. The gate
   * itself adds the fields that delimit the body.
   */
  abstract buildForTarget(
    callerHeaders: RawHeaders,
    metadata: ForwardMetadata,
  ): string[];

  /** Parses the head of a target's answer. */
  abstract parseAnswer(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerMetadata;

  /** Path of the readiness check. */
  abstract readonly readyPath: string;
}

/** A change of one fact that the store reports. */
export type FactChange =
  | {readonly kind: 'config'; readonly config: FleetConfig}
  | {readonly kind: 'target'; readonly target: Target}
  | {
      readonly kind: 'target-gone';
      /** Name of the target. */
      readonly name: string;
      readonly position: FactPosition;
      /** Whether the entry still exists but cannot be decoded. */
      readonly isMalformed: boolean;
    }
  | {
      readonly kind: 'zone-evacuated' | 'zone-restored';
      readonly zone: string;
      readonly position: FactPosition;
    };

/** All facts in the store, from one full read. */
export interface FactSnapshot {
  /** Position of the store at the start of the read. */
  readonly position: FactPosition;
  readonly config: FleetConfig | undefined;
  readonly targets: readonly Target[];
  /** Names of targets whose entry exists but cannot be decoded. */
  readonly malformed: readonly string[];
  /**
   * Evacuated zones.
   *
   * @default none
   */
  readonly evacuations?: readonly EvacuationEntry[];
  /**
   * Zones whose evacuation exists but cannot be decoded; what is known of them
   * holds.
   *
   * @default none
   */
  readonly malformedZones?: readonly string[];
}

/** Changes of the store after a position. */
export interface FactChanges {
  readonly position: FactPosition;
  readonly changes: readonly FactChange[];
}

/** Read-only store of the configuration and the targets. */
export abstract class FactStore {
  /**
   * Reads all facts.
   *
   * @param timeoutMs - Longest wait for the first byte of an answer, in ms.
   * @throws StoreUnavailableError if the store does not answer completely
   *   within the timeout.
   */
  abstract readSnapshot(timeoutMs: number): Promise<FactSnapshot>;

  /**
   * Waits up to `waitMs` for changes after `position`.
   *
   * @throws HistoryLostError if the store no longer has the history after
   *   `position`; StoreUnavailableError if the store does not answer completely
   *   within the timeout.
   */
  abstract waitForChanges(
    position: FactPosition,
    waitMs: number,
    timeoutMs: number,
  ): Promise<FactChanges>;
}

/** Report of an engine about its speed. */
export interface EngineReport {
  /**
   * Factor by which the engine is slower than its cost model: 1 is as
   * configured, 3 is three times as slow.
   */
  readonly slowdown: number;
  /**
   * Time for which the engine stays cold, in ms; 0 if it is warm, absent if it
   * doesn't say.
   */
  readonly coldLeftMs?: number | 'malformed';
}

/** Polls engines for their reports. */
export abstract class EngineReports {
  /** Polls an engine; returns `undefined` if the report arrives too late. */
  abstract read(target: Target): Promise<EngineReport | undefined>;
}

/** Outcome of a request to reserve KV cache. */
export type ReservationOutcome = 'granted' | 'refused' | 'unknown';

/** Reserves KV cache on engines. */
export abstract class KvReservations {
  /**
   * Reserves KV cache for `tokens` tokens on `target` under `ticket` for
   * `holdMs` ms, or renews the reservation of the same ticket.
   */
  abstract reserve(
    target: Target,
    ticket: string,
    tokens: number,
    holdMs: number,
  ): Promise<ReservationOutcome>;

  /**
   * Releases a reservation. If the request to release it is lost, the
   * reservation expires instead.
   */
  abstract release(target: Target, ticket: string): Promise<void>;
}
