/**
 * Fair shares of accounts that compete for room (max-min fairness, equal weights).
 * What accounts leave unused is split among those that use more.
 */

/**
 * Use, relative to the fair share, above which an account gives way to those
 * within their share. Smaller differences change nothing.
 */
const ENTER_RATIO = 1.25;

/** Use, relative to the fair share, below which it no longer gives way. */
const LEAVE_RATIO = 1.1;

/**
 * Ranks accounts: rank 0 is within its fair share of what all of them use, rank 1
 * within that of what the accounts above it use, and so on. The highest rank gives
 * way first; an account alone has rank 0.
 *
 * @param usageMs - Engine time that each account uses, in ms.
 * @param before - Earlier ranks; an account keeps its rank a little longer than
 *   it needs to get it.
 * @example
 * rankAccounts(new Map([['a', 900], ['b', 100]]), new Map()); // a: 1, b: 0
 */
export function rankAccounts(
  usageMs: ReadonlyMap<string, number>,
  before: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const ranks = new Map<string, number>();
  let left = [...usageMs];
  for (let rank = 0; left.length > 0; rank++) {
    const shareMs = left.reduce((sum, [, ms]) => sum + ms, 0) / left.length;
    const above = left.filter(([name, ms]) => {
      const wasAbove = (before.get(name) ?? 0) > rank;
      return ms > shareMs * (wasAbove ? LEAVE_RATIO : ENTER_RATIO);
    });
    for (const [name] of left) ranks.set(name, rank);
    left = above;
  }
  return ranks;
}
