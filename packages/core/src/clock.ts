/**
 * Wall-clock timestamps with sub-millisecond resolution. Every process uses
 * them, so that log events of different processes can be merged in time order.
 */

/**
 * Returns the wall-clock time in ms since the Unix epoch, with a fractional
 * part.
 *
 * @example
 * const startedAt = readClockMs();
 */
export function readClockMs(): number {
  return performance.timeOrigin + performance.now();
}

/**
 * Resolves after `ms` milliseconds.
 *
 * @example
 * await waitMs(50);
 */
export function waitMs(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
