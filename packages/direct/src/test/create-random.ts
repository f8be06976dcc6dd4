/** Random numbers that a seed determines. */

/**
 * Creates a generator of numbers from 0 to 1.
 *
 * @example
 * const random = createRandom(7);
 * random();
 */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}
