/**
 * Chooses the target for a call to a plain service: the one with the fewest
 * outstanding calls of this gate, preferably in the same availability zone.
 */
import {DEGRADED_FAILURE_SHARE} from '../health/target-health.js';
import type {TargetHealth} from '../health/target-health.js';
import type {TargetAccess} from '../limits/target-access.js';
import type {EligibleTargets} from './eligible-targets.js';
import type {Target} from '../types.js';

/**
 * Score penalty of a target in another zone, in outstanding calls: traffic
 * within a zone is cheaper.
 */
const REMOTE_ZONE_PENALTY = 1.5;

/** Score penalty of a failure share of 1, in outstanding calls. */
const FAILURE_PENALTY = 8;

/**
 * Score penalty of a target that names a limit, in outstanding calls: asking
 * for a permit takes time.
 */
const LIMITED_PENALTY = 2;

/**
 * Score penalty of a cold target, in outstanding calls: below one, so that it is
 * used as soon as the warm targets are busier, and above the random part.
 */
const COLD_PENALTY = 0.75;

/** Dependencies of a call placer. */
export interface CallPlacerOptions {
  readonly eligible: EligibleTargets;
  readonly health: TargetHealth;
  readonly access: TargetAccess;
  readonly zone: string;
}

const NONE_TRIED: ReadonlySet<string> = new Set();

/**
 * Counts the outstanding calls of one gate and chooses targets for new calls.
 *
 * @example
 * const target = placer.choose('orders', new Set());
 */
export class CallPlacer {
  private readonly inFlight = new Map<string, number>();

  constructor(private readonly options: CallPlacerOptions) {}

  /** Chooses a target that is not in `tried`; undefined if there is none. */
  choose(
    service: string,
    tried: ReadonlySet<string>,
    allowedZones?: ReadonlySet<string>,
  ): Target | undefined {
    let best: Target | undefined;
    let bestScore = Infinity;
    const {eligible} = this.options;
    for (const target of eligible.list(service, tried, allowedZones)) {
      const score = this.estimateScore(target);
      if (score >= bestScore) continue;
      best = target;
      bestScore = score;
    }
    return best;
  }

  /**
   * Returns the time until a target may take a call, in ms, if the limits of all
   * are reached or they rest; else 0.
   */
  readWaitMs(service: string, allowedZones?: ReadonlySet<string>): number {
    const {eligible} = this.options;
    return eligible.readWaitMs(service, NONE_TRIED, allowedZones);
  }

  /** Records that a call to the target `id` has started. */
  recordStart(id: string): void {
    this.inFlight.set(id, (this.inFlight.get(id) ?? 0) + 1);
  }

  /** Records that a call to the target `id` has ended. */
  recordEnd(id: string): void {
    const left = (this.inFlight.get(id) ?? 1) - 1;
    if (left > 0) this.inFlight.set(id, left);
    else this.inFlight.delete(id);
  }

  /** Counts the outstanding calls of this gate to all targets. */
  countInFlight(): number {
    let count = 0;
    for (const calls of this.inFlight.values()) count += calls;
    return count;
  }

  private estimateScore(target: Target): number {
    const {health, access} = this.options;
    const share = health.readFailureShare(target.id);
    const failures =
      share > DEGRADED_FAILURE_SHARE ? share * FAILURE_PENALTY : 0;
    const zone = target.zone === this.options.zone ? 0 : REMOTE_ZONE_PENALTY;
    const limit = access.isSpared(target.id) ? LIMITED_PENALTY : 0;
    const cold = access.isCold(target.id) ? COLD_PENALTY : 0;
    // The random part breaks ties; it weighs less than one outstanding call.
    return (
      (this.inFlight.get(target.id) ?? 0) +
      failures +
      zone +
      limit +
      cold +
      Math.random() / 2
    );
  }
}

/**
 * Creates a call placer.
 *
 * @example
 * const placer = createCallPlacer({eligible, health, access, zone: 'az-1'});
 */
export function createCallPlacer(options: CallPlacerOptions): CallPlacer {
  return new CallPlacer(options);
}
