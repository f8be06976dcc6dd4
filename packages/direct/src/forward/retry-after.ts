/** Retry-After of requests that did not run. */

/** Shortest wait, in ms: several iterations of a busy engine. */
const MIN_RETRY_AFTER_MS = 350;

/**
 * Chooses a Retry-After. Jitter spreads callers that were refused together.
 *
 * @param queueMs - Predicted time until the queue is empty, in ms.
 * @param leftMs - Time that the caller has left, in ms.
 * @example
 * chooseReturnMs(0, 9000); // between 350 and 700
 */
export function chooseRetryAfterMs(queueMs: number, leftMs: number): number {
  const base = Math.max(MIN_RETRY_AFTER_MS, queueMs);
  return Math.min(base * (1 + Math.random()), Math.max(0, leftMs / 3));
}
