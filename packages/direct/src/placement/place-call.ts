/**
 * Chooses a target for a call to a plain service: least outstanding requests of
 * this gate, same availability zone preferred.
 */
import {GREY_SHARE} from '../health/target-health.js';
import type {TargetHealth} from '../health/target-health.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {Target} from '../types.js';

/**
 * Outstanding calls by which a target in the same zone may be ahead: traffic
 * within a zone is cheaper.
 */
const ZONE_BONUS = 1.5;

/** Weight of a failure share of 1, in outstanding calls. */
const FAILURE_WEIGHT = 8;

/**
 * Counts outstanding calls and chooses targets.
 *
 * @example
 * const target = placer.choose('orders', new Set());
 */
export class CallPlacer {
  private readonly inFlight = new Map<string, number>();

  constructor(
    private readonly state: FleetState,
    private readonly health: TargetHealth,
    private readonly zone: string,
    private readonly readNow: () => number,
  ) {}

  /** Chooses a target that is not in `tried`; nothing if none is left. */
  choose(service: string, tried: ReadonlySet<string>): Target | undefined {
    const now = this.readNow();
    const left = this.state
      .listUsable(service)
      .filter(target => !tried.has(target.id));
    const sound = left.filter(
      target => !this.health.isSuspended(target.id, now),
    );
    // If every target is suspended, any of them is better than none.
    const usable = sound.length > 0 ? sound : left;
    let best: Target | undefined;
    let bestScore = Infinity;
    for (const target of usable) {
      const score = this.estimateScore(target);
      if (score >= bestScore) continue;
      best = target;
      bestScore = score;
    }
    return best;
  }

  /** Records that a call to `id` has begun. */
  enter(id: string): void {
    this.inFlight.set(id, (this.inFlight.get(id) ?? 0) + 1);
  }

  /** Records that a call to `id` has ended. */
  leave(id: string): void {
    const left = (this.inFlight.get(id) ?? 1) - 1;
    if (left > 0) this.inFlight.set(id, left);
    else this.inFlight.delete(id);
  }

  /** Outstanding calls of this gate. */
  countInFlight(): number {
    let count = 0;
    for (const calls of this.inFlight.values()) count += calls;
    return count;
  }

  private estimateScore(target: Target): number {
    const share = this.health.readFailureShare(target.id);
    const failures = share > GREY_SHARE ? share * FAILURE_WEIGHT : 0;
    const zone = target.zone === this.zone ? 0 : ZONE_BONUS;
    // Spreads ties without outweighing a whole call.
    return (
      (this.inFlight.get(target.id) ?? 0) + failures + zone + Math.random() / 2
    );
  }
}

/**
 * Creates a placer.
 *
 * @example
 * const placer = createCallPlacer(state, health, 'az-1', () => performance.now());
 */
export function createCallPlacer(
  state: FleetState,
  health: TargetHealth,
  zone: string,
  readNow: () => number,
): CallPlacer {
  return new CallPlacer(state, health, zone, readNow);
}
