/**
 * Deterministic subsetting: each gate keeps links to a few targets of every
 * pool, ranked by a hash of both names, which bounds the number of heartbeats.
 */
import {createHash} from 'node:crypto';

/**
 * Picks the ids of `size` targets for `gateId`; all of them when `size` is 0.
 *
 * @example
 * pickSubset('gate-1', ['engine-1', 'engine-2', 'engine-3'], 2);
 */
export function pickSubset(
  gateId: string,
  ids: readonly string[],
  size: number,
): ReadonlySet<string> {
  if (size === 0 || ids.length <= size) return new Set(ids);
  const ranked = ids
    .map(id => ({
      id,
      rank: createHash('sha1').update(`${gateId}|${id}`).digest('hex'),
    }))
    .sort((a, b) => a.rank.localeCompare(b.rank));
  return new Set(ranked.slice(0, size).map(entry => entry.id));
}
