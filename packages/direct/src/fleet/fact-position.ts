/**
 * Order of the facts in the store: by era, then by revision. A store that was
 * restored from an older copy reuses revision numbers, but in a higher era.
 */

/** Position of a fact in the history of the store. */
export interface FactPosition {
  readonly era: number;
  readonly revision: number;
}

/** Position that is older than every fact. */
export const NO_POSITION: FactPosition = {era: 0, revision: 0};

/**
 * Compares two positions; returns a negative number if `a` is older than `b`.
 *
 * @example
 * comparePositions({era: 2, revision: 5}, {era: 1, revision: 90}); // 1
 */
export function comparePositions(a: FactPosition, b: FactPosition): number {
  return a.era - b.era || a.revision - b.revision;
}

/**
 * Returns whether `a` is newer than `b`.
 *
 * @example
 * isNewer(target.position, known.position);
 */
export function isNewer(a: FactPosition, b: FactPosition): boolean {
  return comparePositions(a, b) > 0;
}

/**
 * Returns the newest of several positions, or `NO_POSITION` if there are none.
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
