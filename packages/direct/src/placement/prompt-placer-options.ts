/** Dependencies of the prompt placer. */
import type {Counters} from '@nutmeggauge/core';
import type {EngineSlowdowns} from '../health/engine-slowdowns.js';
import type {TargetAccess} from '../limits/target-access.js';
import type {EligibleTargets} from './eligible-targets.js';
import type {LoadTracker} from './load-tracker.js';
import type {PlacementAnnouncer} from './placed-prompt.js';
import type {WaitReport} from './waiting-prompts.js';

/** Dependencies of a prompt placer. */
export interface PromptPlacerOptions {
  /** Host and incarnation of this gate, as used in placement keys. */
  readonly owner: string;
  readonly zone: string;
  readonly eligible: EligibleTargets;
  readonly slowdowns: EngineSlowdowns;
  readonly access: TargetAccess;
  readonly tracker: LoadTracker;
  readonly announcer: PlacementAnnouncer;
  /** Measures the share of the other gates whose placements are known. */
  readonly measureHeardShare: () => number;
  /**
   * Counts the choices that left out cold engines.
   *
   * @default nothing is counted
   */
  readonly counters?: Counters;
  /**
   * Announces a prompt that waits, or the end of its wait, to the peers.
   *
   * @default peers are not told
   */
  readonly announceWait?: (report: WaitReport) => void;
  readonly readNow: () => number;
}
