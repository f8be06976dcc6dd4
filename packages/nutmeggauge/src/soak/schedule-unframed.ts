/** Times of the soak at which targets answer with neither a length nor chunks. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {ScheduledFault} from './scheduled-fault.js';

/** Added to a seed, so that these answers leave its other faults unchanged. */
const UNFRAMED_SEED_OFFSET = 0xc105e;

/** Shortest and longest time for which a target answers so, in ms. */
const MIN_UNFRAMED_MS = 1500;
const MAX_UNFRAMED_MS = 3500;

/**
 * Builds the times of a seed.
 *
 * @param end - End of the time with faults, in ms after the start of the load.
 * @example
 * buildUnframed(7, 3, 6, 9000).length; // 3
 */
export function buildUnframed(
  seed: number,
  count: number,
  targets: number,
  end: number,
): readonly ScheduledFault[] {
  const random = xoroshiro128plus(seed + UNFRAMED_SEED_OFFSET);
  const draw = (least: number, most: number) => uniformInt(random, least, most);
  return Array.from({length: count}, () => {
    const target = draw(0, targets - 1);
    const atMs = draw(0, Math.max(0, end - MIN_UNFRAMED_MS));
    const forMs = Math.min(draw(MIN_UNFRAMED_MS, MAX_UNFRAMED_MS), end - atMs);
    const action = {kind: 'target-mode', target, mode: 'unframed'} as const;
    return {atMs, forMs, action};
  });
}
