/**
 * What the direct gate needs from an adapter: the words of the wire, a store
 * of facts that can only be read, and reservations of engine memory.
 */
import type {
  AnswerFacts,
  FleetConfig,
  ForwardFacts,
  RawHeaders,
  RequestFacts,
  Target,
} from './types.js';

/** Translates header fields between the wire and the gate's own facts. */
export abstract class HeaderDialect {
  /** Decodes the head of a caller's request. */
  abstract parseRequest(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): RequestFacts;

  /** Builds the head for a target out of the caller's own head. */
  abstract buildForTarget(caller: RawHeaders, facts: ForwardFacts): string[];

  /** Decodes the head of a target's answer. */
  abstract parseAnswer(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerFacts;

  /** Path on which the balancer asks whether this gate takes requests. */
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
      readonly revision: number;
      /** Its entry stands but cannot be used: somebody else wrote it. */
      readonly isMalformed: boolean;
    };

/** Everything the store holds, read at one time. */
export interface FactSnapshot {
  /** Store revision at which the read began. */
  readonly revision: number;
  readonly config: FleetConfig | undefined;
  readonly targets: readonly Target[];
  /** Names whose entry stands but cannot be used. */
  readonly malformed: readonly string[];
}

/** Changes since a revision. */
export interface FactChanges {
  readonly revision: number;
  readonly changes: readonly FactChange[];
}

/** The read-only store of configuration and targets. */
export abstract class FactStore {
  /**
   * Reads everything.
   *
   * @param timeoutMs - Longest wait for the first of an answer.
   * @throws StoreUnavailableError when the store gives no whole answer in time.
   */
  abstract readSnapshot(timeoutMs: number): Promise<FactSnapshot>;

  /**
   * Waits for changes after `revision`.
   *
   * @throws HistoryLostError when the store no longer knows that revision;
   *   StoreUnavailableError when it gives no whole answer in time.
   */
  abstract waitForChanges(
    revision: number,
    waitMs: number,
    timeoutMs: number,
  ): Promise<FactChanges>;
}

/** What an engine reports of itself. */
export interface EngineReport {
  /** Slowness: 1 is as configured, 3 takes three times as long. */
  readonly pace: number;
}

/** Asks engines how they are. */
export abstract class EngineReports {
  /** Reads a report; nothing where there is none in time. */
  abstract read(target: Target): Promise<EngineReport | undefined>;
}

/** How an engine answered a reservation. */
export type ReservationOutcome = 'granted' | 'refused' | 'unknown';

/** Sets aside memory of engines for a part of a prompt. */
export abstract class MemoryReservations {
  /** Sets `tokens` aside under `ticket` for `holdMs`, or renews it. */
  abstract reserve(
    target: Target,
    ticket: string,
    tokens: number,
    holdMs: number,
  ): Promise<ReservationOutcome>;

  /** Gives the memory back; an unanswered release is left to the lease. */
  abstract release(target: Target, ticket: string): Promise<void>;
}
