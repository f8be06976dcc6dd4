/** History of a soak run, as callers, targets and the driver saw it. */
import type {StandinKind, TargetRun} from '@nutmeggauge/platform';
import type {GateOutage, UnexpectedExit} from './gate-process.js';
import type {FaultAction} from './schedule.js';

/** One request as its caller saw it. */
export interface CallerRecord {
  readonly requestId: string;
  readonly kind: StandinKind;
  readonly gate: number;
  readonly key: string;
  /** On the driver's monotonic clock, in ms. */
  readonly sentAt: number;
  readonly endedAt: number;
  /** Absent without a head. */
  readonly status: number | undefined;
  readonly isSigned: boolean;
  /** The answer is complete. */
  readonly isWhole: boolean;
  readonly body: string;
  /** The caller disconnected after its deadline. */
  readonly hasGivenUp: boolean;
}

/** An injected fault. */
export interface PlayedFault {
  readonly action: FaultAction;
  readonly beganAt: number;
  readonly endedAt: number;
}

/** A fact that was published to the store. */
export interface PublishedFact {
  readonly kind: 'target-draining' | 'key-revoked';
  /** Target's incarnation, or the key. */
  readonly id: string;
  readonly at: number;
}

/** Input of the checks. */
export interface SoakHistory {
  readonly startedAt: number;
  readonly endedAt: number;
  readonly records: readonly CallerRecord[];
  readonly runs: readonly TargetRun[];
  readonly faults: readonly PlayedFault[];
  readonly published: readonly PublishedFact[];
  readonly exits: readonly UnexpectedExit[];
  readonly outages: readonly GateOutage[];
  /** Reservations that outlived every request. */
  readonly heldTickets: readonly string[];
  readonly peakBytes: number;
}
