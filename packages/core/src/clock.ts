/**
 * Wall-clock stamps with sub-millisecond resolution, shared by every process
 * so that the merged time line orders events from different processes.
 */

/**
 * Returns milliseconds since the Unix epoch, with a fractional part.
 *
 * @example
 * const startedAt = readClockMs();
 */
export function readClockMs(): number {
  return performance.timeOrigin + performance.now();
}

/**
 * Resolves after `ms` milliseconds; used for backoff and stand-in delays.
 *
 * @example
 * await waitMs(50);
 */
export function waitMs(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
