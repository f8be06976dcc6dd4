/**
 * Classes of prompt length, shortest first: the priority at the engine, and the
 * unit of load reports.
 */

/** Longest prompt of each class but the last, in tokens. */
const CLASS_BOUNDS = [8_192, 32_768, 131_072] as const;

/** Number of classes. */
export const LENGTH_CLASSES = CLASS_BOUNDS.length + 1;

/**
 * Finds the class of a prompt, 0 for the shortest.
 *
 * @example
 * findLengthClass(5000); // 0
 * findLengthClass(400_000); // 3
 */
export function findLengthClass(promptTokens: number): number {
  const index = CLASS_BOUNDS.findIndex(bound => promptTokens <= bound);
  return index === -1 ? CLASS_BOUNDS.length : index;
}

/**
 * Creates a count of zero for each class.
 *
 * @example
 * createClassCounts(); // [0, 0, 0, 0]
 */
export function createClassCounts(): number[] {
  return Array.from({length: LENGTH_CLASSES}, () => 0);
}
