/** Faults of the soak and when they happen. */
import type {StoreMode, TargetMode} from '@nutmeggauge/platform';
import type {LinkMode} from './faulty-link.js';
import type {EvacuationCompanion} from './soak-zones.js';

/** Time without faults at the end, in ms: above every timeout of the gates. */
export const FAULT_FREE_TAIL_MS = 5000;

/** Kind of a fault and the gate, target or link that it affects. */
export type FaultAction =
  | {readonly kind: 'gate-kill'; readonly gate: number}
  | {readonly kind: 'gate-drain'; readonly gate: number}
  /** SIGTERM to a gate, and to its next process while that one starts. */
  | {
      readonly kind: 'gate-drain-twice';
      readonly gate: number;
      /** Time after the start of the next process, in ms. */
      readonly afterStartMs: number;
    }
  | {readonly kind: 'gate-pause'; readonly gate: number}
  | {readonly kind: 'gate-reload'; readonly gate: number}
  | {readonly kind: 'all-gates-kill'}
  | {readonly kind: 'busy'}
  | {readonly kind: 'store'; readonly mode: StoreMode}
  | {readonly kind: 'store-history'}
  | {readonly kind: 'store-restore'; readonly ageMs: number}
  | {
      readonly kind: 'store-link';
      readonly gate: number;
      readonly mode: LinkMode;
    }
  | {
      readonly kind: 'caller-link';
      readonly gate: number;
      readonly mode: LinkMode;
    }
  | {
      readonly kind: 'target-link';
      readonly target: number;
      readonly mode: LinkMode;
    }
  | {readonly kind: 'link-reset'; readonly target: number}
  | {readonly kind: 'target-crash'; readonly target: number}
  | {readonly kind: 'target-leave'; readonly target: number}
  | {
      readonly kind: 'target-mode';
      readonly target: number;
      readonly mode: TargetMode;
    }
  /** The target says in its answers that it leaves; the store learns it later. */
  | {readonly kind: 'target-announce'; readonly target: number}
  /** The target refuses most requests and asks for rest. */
  | {
      readonly kind: 'target-rest';
      readonly target: number;
      readonly restMs: number;
    }
  /** The operator evacuates zones and takes them back at the end. */
  | {
      readonly kind: 'zone-evacuation';
      readonly zones: readonly string[];
      readonly companion?: EvacuationCompanion;
    }
  | {readonly kind: 'config-change'}
  | {readonly kind: 'key-revoke'};

/** One fault of a schedule. */
export interface ScheduledFault {
  /** Start of the fault, in ms after the start of the load. */
  readonly atMs: number;
  readonly forMs: number;
  readonly action: FaultAction;
}
