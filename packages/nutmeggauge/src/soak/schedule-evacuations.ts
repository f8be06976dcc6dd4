/** Random evacuations of the soak, determined by a seed. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {SOAK_ZONES} from './soak-zones.js';
import type {ScheduledFault} from './scheduled-fault.js';

/** Added to a seed, so that evacuations leave its other faults unchanged. */
const EVACUATION_SEED_OFFSET = 0xe7ac;

/**
 * Durations of the shortest and the longest evacuation, in ms: above the time in
 * which gates must act on it, so that some of it is checked.
 */
const MIN_EVACUATION_MS = 6000;
const MAX_EVACUATION_MS = 8000;

/**
 * Builds evacuations of one zone, or of all zones at once in one of four.
 *
 * @param end - Time until which all are over, in ms.
 * @example
 * buildEvacuations(7, 3, 15_000);
 */
export function buildEvacuations(
  seed: number,
  count: number,
  end: number,
): readonly ScheduledFault[] {
  const random = xoroshiro128plus(seed + EVACUATION_SEED_OFFSET);
  const draw = (least: number, most: number) => uniformInt(random, least, most);
  const companions = [undefined, 'malformed', 'unknown-zone'] as const;
  return Array.from({length: count}, () => {
    const forMs = Math.min(draw(MIN_EVACUATION_MS, MAX_EVACUATION_MS), end);
    const atMs = draw(0, end - forMs);
    const zone = SOAK_ZONES[draw(0, SOAK_ZONES.length - 1)];
    const zones = draw(0, 3) === 0 ? SOAK_ZONES : [zone];
    const companion = companions[draw(0, companions.length - 1)];
    const action = {kind: 'zone-evacuation' as const, zones, companion};
    return {atMs, forMs, action};
  });
}
