/** Loopback addresses for tests that run several hosts on one machine. */

/**
 * A loopback address that no other test process uses: its low bits are this
 * process's id and `n`, from 0 to 3.
 *
 * @example
 * buildLoopbackHost(1); // '127.0.98.13'
 */
export function buildLoopbackHost(n: number): string {
  const bits = process.pid * 4 + n;
  return `127.${(bits >> 16) & 255}.${(bits >> 8) & 255}.${bits & 255}`;
}
