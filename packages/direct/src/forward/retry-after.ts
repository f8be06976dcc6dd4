/** Chooses the Retry-After delay of requests that did not run. */

/** Shortest base delay, in ms: several iterations of a busy engine. */
const MIN_RETRY_AFTER_MS = 350;

/** Shortest delay if another gate can serve the request at once, in ms. */
const OTHER_GATE_RETRY_AFTER_MS = 20;

/**
 * Chooses the Retry-After delay of a request that another gate serves, in ms.
 * Random jitter spreads the callers that a stopping gate hands back together.
 *
 * @example
 * chooseOtherGateRetryMs(); // between 20 and 60
 */
export function chooseOtherGateRetryMs(): number {
  return OTHER_GATE_RETRY_AFTER_MS * (1 + 2 * Math.random());
}

/**
 * Chooses a Retry-After delay, in ms. Random jitter spreads the retries of
 * callers that were refused at the same time.
 *
 * @param queueMs - Predicted time until the queue is empty, in ms.
 * @param leftMs - Time until the caller's deadline, in ms.
 * @example
 * chooseRetryAfterMs(0, 9000); // between 350 and 700
 */
export function chooseRetryAfterMs(queueMs: number, leftMs: number): number {
  const base = Math.max(MIN_RETRY_AFTER_MS, queueMs);
  return Math.min(base * (1 + Math.random()), Math.max(0, leftMs / 3));
}
