/**
 * Chooses a target for a call to a plain service: the one with the fewest
 * calls of this gate, the same availability zone first among equals. Targets
 * that failed lately are passed over while others are left.
 */
import {GREY_SHARE} from '../health/target-health.js';
import type {TargetHealth} from '../health/target-health.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {Target} from '../types.js';

/**
 * What a target in the same zone may be ahead by, in calls: its bytes are
 * cheaper, and a call in flight delays the next by a slot only when all
 * slots (6 on a usual plain service) are taken.
 */
const ZONE_BONUS = 1.5;

/** What a whole share of failures weighs, in calls in flight. */
const FAILURE_WEIGHT = 8;

/**
 * Keeps count of calls in flight and chooses targets.
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

  /** Chooses a target that is not in `tried`; nothing when none is left. */
  choose(service: string, tried: ReadonlySet<string>): Target | undefined {
    const now = this.readNow();
    const left = this.state
      .listUsable(service)
      .filter(target => !tried.has(target.id));
    const sound = left.filter(
      target => !this.health.isSuspended(target.id, now),
    );
    // With every target taken out, one of them is still the best chance.
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

  /** Notes that a call to `id` has begun. */
  enter(id: string): void {
    this.inFlight.set(id, (this.inFlight.get(id) ?? 0) + 1);
  }

  /** Notes that a call to `id` has ended. */
  leave(id: string): void {
    const left = (this.inFlight.get(id) ?? 1) - 1;
    if (left > 0) this.inFlight.set(id, left);
    else this.inFlight.delete(id);
  }

  /** Calls of this gate that no target has ended yet. */
  countInFlight(): number {
    let count = 0;
    for (const calls of this.inFlight.values()) count += calls;
    return count;
  }

  private estimateScore(target: Target): number {
    const share = this.health.readFailureShare(target.id);
    const failures = share > GREY_SHARE ? share * FAILURE_WEIGHT : 0;
    const zone = target.zone === this.zone ? 0 : ZONE_BONUS;
    // The random part spreads equals; it never outweighs a whole call.
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
