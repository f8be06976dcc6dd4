/** What happened in one soak run, as callers, targets and the driver saw it. */
import type {StandinKind, TargetRun} from '@nutmeggauge/platform';
import type {UnexpectedExit} from './gate-process.js';
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
  /** Absent when no head of an answer came. */
  readonly status: number | undefined;
  readonly isSigned: boolean;
  /** The answer came to its proper end. */
  readonly isWhole: boolean;
  readonly body: string;
  /** The caller left when its deadline had passed. */
  readonly hasGivenUp: boolean;
}

/** One fault as it was played. */
export interface PlayedFault {
  readonly action: FaultAction;
  readonly beganAt: number;
  readonly endedAt: number;
}

/** A fact that the store was told, which the gates must then follow. */
export interface PublishedFact {
  readonly kind: 'target-draining' | 'key-revoked';
  /** Target's incarnation, or the key. */
  readonly id: string;
  readonly at: number;
}

/** Everything that the checks look at. */
export interface SoakHistory {
  readonly startedAt: number;
  readonly endedAt: number;
  readonly records: readonly CallerRecord[];
  readonly runs: readonly TargetRun[];
  readonly faults: readonly PlayedFault[];
  readonly published: readonly PublishedFact[];
  readonly exits: readonly UnexpectedExit[];
  /** Reservations that outlived every request. */
  readonly heldTickets: readonly string[];
  readonly peakBytes: number;
}
