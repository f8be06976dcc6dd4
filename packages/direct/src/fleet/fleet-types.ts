/** Types of the facts that gates exchange, and of their changes. */
import type {FleetConfig, Target} from '../types.js';
import type {SharedEvacuations} from './evacuated-zones.js';
import type {FactPosition} from './fact-position.js';
import type {
  ExpiringName,
  FactSource,
  RestoreCounts,
  SharedSuspectEntry,
  TargetEvent,
} from './target-table.js';

/** Versions of the facts that a gate knows. */
export interface FactVersions {
  /** Version of the configuration; 0 if none is known. */
  readonly configVersion: number;
  /** Position of the newest target entry. */
  readonly position: FactPosition;
}

/** Facts that a gate sends to a peer. */
export interface SharedFacts {
  readonly position: FactPosition;
  /** Absent if the peer's configuration is at least as new. */
  readonly config: FleetConfig | undefined;
  /** Empty if the peer's position is at least as new. */
  readonly targets: readonly Target[];
  /** Targets that are kept although their entry is missing from the store. */
  readonly held: readonly ExpiringName[];
  /** Entries that are ignored as suspect until they are written again. */
  readonly doubts: readonly SharedSuspectEntry[];
  /** Absent from gates of earlier versions, which know no evacuations. */
  readonly evacuations?: SharedEvacuations;
}

/** Listener that is called after each change of the known facts. */
export type FleetListener = (event: FleetEvent) => void;

/** A change of the known facts. */
export interface FleetEvent {
  readonly event:
    | 'config_applied'
    | 'target_leaving'
    | 'zone_evacuated'
    | 'zone_restored'
    | TargetEvent;
  /** Where the gate learned of it; `answer` is an answer of the target. */
  readonly source: FactSource | 'answer';
  /** Id of the target, version of the configuration, or name of the zone. */
  readonly id: string;
  readonly revision: number;
}

/** A restore of the store from an older copy. */
export interface RestoreEvent extends RestoreCounts {
  readonly source: 'store' | 'peer';
  readonly before: FactPosition;
  readonly after: FactPosition;
}
