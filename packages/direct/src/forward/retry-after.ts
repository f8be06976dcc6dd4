/** When a caller whose request did not run may come back. */

/**
 * Wait after which a refused caller is asked to come back, in ms: several
 * passes of a busy engine (50 to 200 ms each), so that places have come free.
 */
const RETURN_MS = 350;

/**
 * Chooses a time of return. Callers that were refused together come back
 * spread over as much again, so that they do not meet the same queue.
 *
 * @param queueMs - Predicted time until the queue has drained, in ms.
 * @param leftMs - Time that the caller has left, in ms.
 * @example
 * chooseReturnMs(0, 9000); // between 350 and 700
 */
export function chooseReturnMs(queueMs: number, leftMs: number): number {
  const base = Math.max(RETURN_MS, queueMs);
  return Math.min(base * (1 + Math.random()), Math.max(0, leftMs / 3));
}
