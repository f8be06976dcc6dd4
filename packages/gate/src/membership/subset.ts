/**
 * Deterministic subsetting: each gate connects to a subset of every pool's
 * targets, ranked by a hash of gate id and target id. The subset limits the
 * number of connections and heartbeats.
 */
import {createHash} from 'node:crypto';

/**
 * Picks the ids of `size` targets for `gateId`; returns all ids if `size` is 0.
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
