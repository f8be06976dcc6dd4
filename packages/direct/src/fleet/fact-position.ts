/**
 * Order of the store's facts: its era before its revision. A store that comes
 * back from an older copy gives revisions out again, in a higher era.
 */

/** Position of a fact. */
export interface FactPosition {
  readonly era: number;
  readonly revision: number;
}

/** Position before the first fact. */
export const NO_POSITION: FactPosition = {era: 0, revision: 0};

/**
 * Compares two positions: below zero if `a` is the older one.
 *
 * @example
 * comparePositions({era: 2, revision: 5}, {era: 1, revision: 90}); // 1
 */
export function comparePositions(a: FactPosition, b: FactPosition): number {
  return a.era - b.era || a.revision - b.revision;
}

/**
 * Says whether `a` is newer than `b`.
 *
 * @example
 * isNewer(target.position, known.position);
 */
export function isNewer(a: FactPosition, b: FactPosition): boolean {
  return comparePositions(a, b) > 0;
}

/**
 * Picks the newest of several positions.
 *
 * @example
 * pickNewest([{era: 1, revision: 5}, {era: 1, revision: 7}]).revision; // 7
 */
export function pickNewest(positions: readonly FactPosition[]): FactPosition {
  return positions.reduce(
    (newest, position) => (isNewer(position, newest) ? position : newest),
    NO_POSITION,
  );
}
