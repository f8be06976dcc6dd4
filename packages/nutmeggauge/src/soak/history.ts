/**
 * Types of a soak run's history, as observed by callers, targets and the
 * driver.
 */
import type {
  ColdPeak,
  StandinKind,
  TargetRefusal,
  TargetReservation,
  TargetRun,
} from '@nutmeggauge/platform';
import type {GateOutage, GateStop, UnexpectedExit} from './gate-process.js';
import type {FaultAction} from './schedule.js';
import type {EvacuationSpan} from './soak-zones.js';

/** One request as observed by its caller. */
export interface CallerRecord {
  readonly requestId: string;
  readonly kind: StandinKind;
  readonly gate: number;
  readonly key: string;
  /** When the request was sent, on the driver's monotonic clock, in ms. */
  readonly sentAt: number;
  readonly endedAt: number;
  /** Status code; undefined if no response head arrived. */
  readonly status: number | undefined;
  readonly isSigned: boolean;
  /**
   * Whether the response looks complete. One whose end only its connection marks
   * does if the connection was closed, not if it was reset.
   */
  readonly isWhole: boolean;
  /** True if the response had neither a length nor chunks. */
  readonly isUnframed?: true;
  readonly body: string;
  /** Output tokens of a long stream; absent for other requests. */
  readonly outputTokens?: number;
  /** Whether the caller disconnected after its deadline. */
  readonly hasGivenUp: boolean;
}

/**
 * A fault that was injected, with its start and end on the driver's monotonic
 * clock, in ms.
 */
export interface InjectedFault {
  readonly action: FaultAction;
  readonly beganAt: number;
  readonly endedAt: number;
}

/** A drain or key revocation that was published to the store. */
export interface PublishedFact {
  readonly kind: 'target-draining' | 'key-revoked';
  /** Incarnation id of the draining target, or the revoked key. */
  readonly id: string;
  readonly at: number;
}

/** Crash of a target under a request. */
export interface TargetCrash {
  /** Body of the request. */
  readonly content: string;
  readonly at: number;
}

/** Limit that a target names in each answer. */
export interface NamedLimit {
  readonly perSecond: number;
  /** Start of the target, on the driver's monotonic clock, in ms. */
  readonly knownAt: number;
  /** Time from which it names no limit; absent while it does. */
  readonly endedAt?: number;
}

/** Everything recorded in one run; the input of the invariant checks. */
export interface SoakHistory {
  readonly gateCount: number;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly records: readonly CallerRecord[];
  /** Requests under which targets crash. */
  readonly crashing: readonly CallerRecord[];
  /** Requests whose callers may leave before a gate has read them. */
  readonly impatient: readonly CallerRecord[];
  /** Requests that last longer than the grace of a stop. */
  readonly lasting: readonly CallerRecord[];
  /** Limits that targets named, by target. */
  readonly limits: ReadonlyMap<string, NamedLimit>;
  readonly crashes: readonly TargetCrash[];
  readonly runs: readonly TargetRun[];
  /** Requests that targets refused because they wanted rest. */
  readonly refusals: readonly TargetRefusal[];
  /** Most requests in one second of each target that started cold. */
  readonly coldPeaks: readonly ColdPeak[];
  /** Periods in which a zone was evacuated. */
  readonly evacuations: readonly EvacuationSpan[];
  /** Reservations of KV cache by helpers of long prompts. */
  readonly reservations: readonly TargetReservation[];
  readonly faults: readonly InjectedFault[];
  readonly published: readonly PublishedFact[];
  readonly exits: readonly UnexpectedExit[];
  /** First SIGTERM of each process that got one. */
  readonly stops: readonly GateStop[];
  readonly outages: readonly GateOutage[];
  /** Reservations that were still held after every request had ended. */
  readonly heldTickets: readonly string[];
  readonly peakBytes: number;
}
