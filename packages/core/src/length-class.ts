/**
 * Prompt length classes, shortest first. The class of a request is its priority
 * at the engine, and load reports give pending tokens per class.
 */

/** Longest prompt of each class except the last, in tokens. */
const CLASS_BOUNDS = [8_192, 32_768, 131_072] as const;

/** Number of length classes. */
export const LENGTH_CLASS_COUNT = CLASS_BOUNDS.length + 1;

/**
 * Returns the length class of a prompt; 0 is the class of the shortest prompts.
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
 * Creates an array with a count of zero for each length class.
 *
 * @example
 * createClassCounts(); // [0, 0, 0, 0]
 */
export function createClassCounts(): number[] {
  return Array.from({length: LENGTH_CLASS_COUNT}, () => 0);
}
