/** Loopback addresses for tests that run several hosts on one machine. */

/**
 * Builds a loopback address that no other test process uses, from the process
 * id and `hostIndex`, an integer from 0 to 3.
 *
 * @example
 * buildLoopbackHost(1); // '127.0.98.13'
 */
export function buildLoopbackHost(hostIndex: number): string {
  const bits = process.pid * 4 + hostIndex;
  return `127.${(bits >> 16) & 255}.${(bits >> 8) & 255}.${bits & 255}`;
}
