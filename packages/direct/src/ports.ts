/**
 * What the gate needs from an adapter: header names, a read-only store of
 * facts, and reservations of KV cache.
 */
import type {FactPosition} from './fleet/fact-position.js';
import type {
  AnswerFacts,
  FleetConfig,
  ForwardFacts,
  RawHeaders,
  RequestFacts,
  Target,
} from './types.js';

/** Translates header fields between the wire and the gate. */
export abstract class HeaderDialect {
  /** Decodes the head of a caller's request. */
  abstract parseRequest(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): RequestFacts;

  /** Builds the head for a target from the caller's head. */
  abstract buildForTarget(caller: RawHeaders, facts: ForwardFacts): string[];

  /** Decodes the head of a target's answer. */
  abstract parseAnswer(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerFacts;

  /** Path of the readiness check. */
  abstract readonly readyPath: string;
}

/** A change that the store reports. */
export type FactChange =
  | {readonly kind: 'config'; readonly config: FleetConfig}
  | {readonly kind: 'target'; readonly target: Target}
  | {
      readonly kind: 'target-gone';
      /** Name of the target. */
      readonly name: string;
      readonly position: FactPosition;
      /** Its entry exists but cannot be decoded. */
      readonly isMalformed: boolean;
    };

/** A full read of the store. */
export interface FactSnapshot {
  /** Position of the store at the start of the read. */
  readonly position: FactPosition;
  readonly config: FleetConfig | undefined;
  readonly targets: readonly Target[];
  /** Names whose entry exists but cannot be decoded. */
  readonly malformed: readonly string[];
}

/** Changes since a position. */
export interface FactChanges {
  readonly position: FactPosition;
  readonly changes: readonly FactChange[];
}

/** The read-only store of configuration and targets. */
export abstract class FactStore {
  /**
   * Reads everything.
   *
   * @param timeoutMs - Longest wait for the first byte of an answer.
   * @throws StoreUnavailableError if the store gives no complete answer in time.
   */
  abstract readSnapshot(timeoutMs: number): Promise<FactSnapshot>;

  /**
   * Waits for changes after `position`.
   *
   * @throws HistoryLostError when the store does not know that position;
   *   StoreUnavailableError when it gives no whole answer in time.
   */
  abstract waitForChanges(
    position: FactPosition,
    waitMs: number,
    timeoutMs: number,
  ): Promise<FactChanges>;
}

/** What an engine reports of itself. */
export interface EngineReport {
  /** 1 is as configured, 3 takes three times as long. */
  readonly slowdown: number;
}

/** Polls engines for reports. */
export abstract class EngineReports {
  /** Reads a report; nothing if there is none in time. */
  abstract read(target: Target): Promise<EngineReport | undefined>;
}

/** Result of a reservation. */
export type ReservationOutcome = 'granted' | 'refused' | 'unknown';

/** Reserves KV cache of engines. */
export abstract class KvReservations {
  /**
   * Reserves `tokens` under `ticket` for `holdMs`, or renews the reservation.
   */
  abstract reserve(
    target: Target,
    ticket: string,
    tokens: number,
    holdMs: number,
  ): Promise<ReservationOutcome>;

  /** Releases a reservation; a lost release is left to the lease. */
  abstract release(target: Target, ticket: string): Promise<void>;
}
