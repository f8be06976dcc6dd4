/**
 * Which targets of a pool a gate keeps links to. With hundreds of gates and
 * over a thousand targets, links from each to each would cost every process
 * more heartbeats than its budget of control; each gate takes a few targets
 * of every pool instead, ranked by a hash of both names, so that the targets
 * are spread over the gates without any of them talking to the others.
 */
import {createHash} from 'node:crypto';

/** Share of a pool's targets that long prompts are kept to. */
const LONG_TARGET_SHARE = 0.34;

/**
 * Lists the targets of a pool that long prompts are kept to: the first by
 * id, so that every gate with the same record finds the same ones.
 *
 * @example
 * listLongPart(['engine-1', 'engine-2', 'engine-3']); // ['engine-1']
 */
export function listLongPart(ids: readonly string[]): readonly string[] {
  const count = Math.max(1, Math.floor(ids.length * LONG_TARGET_SHARE));
  return [...ids].sort((a, b) => a.localeCompare(b)).slice(0, count);
}

/**
 * Picks a gate's subset of a pool, with targets for long prompts and for
 * short ones in the pool's own proportion.
 *
 * @example
 * pickPoolSubset('gate-1', ids, 8); // some 3 for long prompts, 5 for short
 */
export function pickPoolSubset(
  gateId: string,
  ids: readonly string[],
  size: number,
): ReadonlySet<string> {
  if (size === 0 || ids.length <= size) return new Set(ids);
  const longPart = new Set(listLongPart(ids));
  const longSize = Math.max(1, Math.round(size * LONG_TARGET_SHARE));
  const rest = ids.filter(id => !longPart.has(id));
  return new Set([
    ...pickSubset(gateId, [...longPart], longSize),
    ...pickSubset(gateId, rest, Math.max(1, size - longSize)),
  ]);
}

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
