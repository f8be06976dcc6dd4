/**
 * Rendezvous (highest random weight) hashing. Every process with the same list
 * of targets maps a key to the same target, its home, without coordination, and
 * a change of the list moves only the keys of the changed target.
 */
import {createHash} from 'node:crypto';

/**
 * Returns the home of `key`: the id with the highest hash score, or undefined
 * for an empty list.
 *
 * @example
 * findHome(['plain-1', 'plain-2'], 'acct:order-17'); // 'plain-2'
 */
export function findHome(
  ids: readonly string[],
  key: string,
): string | undefined {
  let best: string | undefined;
  let bestScore = '';
  for (const id of ids) {
    const score = createHash('sha1').update(`${key}|${id}`).digest('hex');
    if (best !== undefined && score <= bestScore) continue;
    best = id;
    bestScore = score;
  }
  return best;
}
