/** Picks a few of many items without sorting all of them. */

/**
 * Returns the `count` lowest items in their order; among equals, the first ones.
 *
 * @example
 * pickLowest([3, 1, 2], 2, (a, b) => a - b); // [1, 2]
 */
export function pickLowest<T>(
  items: readonly T[],
  count: number,
  compare: (a: T, b: T) => number,
): readonly T[] {
  if (count === 0) return [];
  const lowest: T[] = [];
  for (const item of items) {
    if (lowest.length === count && compare(item, lowest[count - 1]) >= 0)
      continue;
    let at = lowest.length;
    while (at > 0 && compare(item, lowest[at - 1]) < 0) at--;
    lowest.splice(at, 0, item);
    if (lowest.length > count) lowest.pop();
  }
  return lowest;
}
