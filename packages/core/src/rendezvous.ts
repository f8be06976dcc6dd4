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
  return pickHome(key, ids)?.id;
}

/** Home of a key among a list of ids, with its hash score. */
interface ScoredHome {
  readonly id: string;
  readonly score: string;
}

/** Picks the home of a key among `ids` and, if it is given, an earlier home. */
function pickHome(
  key: string,
  ids: readonly string[],
  earlier?: ScoredHome,
): ScoredHome | undefined {
  let best = earlier;
  for (const id of ids) {
    const score = createHash('sha1').update(`${key}|${id}`).digest('hex');
    if (best === undefined || score > best.score) best = {id, score};
  }
  return best;
}

/**
 * Homes of many keys among a list of ids that seldom changes. A change of the
 * list costs one hash for each added id and key, and a new search only for the
 * keys whose home was removed.
 *
 * @example
 * const homes = new HomeTable();
 * homes.setIds(['plain-1', 'plain-2']);
 * homes.findHome('acct:order-17'); // 'plain-2'
 */
export class HomeTable {
  private ids: readonly string[] = [];
  private readonly homes = new Map<string, ScoredHome>();

  /** Number of keys whose home is kept. */
  get size(): number {
    return this.homes.size;
  }

  /** Replaces the list of ids. */
  setIds(ids: readonly string[]): void {
    const before = new Set(this.ids);
    const added = ids.filter(id => !before.delete(id));
    this.ids = ids;
    if (added.length === 0 && before.size === 0) return;
    for (const [key, home] of this.homes) {
      if (before.has(home.id)) this.homes.delete(key);
      else this.homes.set(key, pickHome(key, added, home) ?? home);
    }
  }

  /** Returns the home of a key; undefined for an empty list. */
  findHome(key: string): string | undefined {
    let home = this.homes.get(key);
    if (home === undefined) {
      home = pickHome(key, this.ids);
      if (home !== undefined) this.homes.set(key, home);
    }
    return home?.id;
  }

  /** Drops a key that is not asked for any more. */
  remove(key: string): void {
    this.homes.delete(key);
  }
}
