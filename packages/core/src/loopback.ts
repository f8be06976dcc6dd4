/** Loopback addresses for tests that run several hosts on one machine. */

/** Number of hosts of one process. */
const HOST_COUNT = 16;

/** Number of processes, by their ids, whose addresses differ. */
const PROCESS_COUNT = 2 ** 20;

/**
 * Builds a loopback address that no other test process uses, from the process
 * id and `hostIndex`, an integer from 0 to 15.
 *
 * @example
 * buildLoopbackHost(1); // '127.0.98.13'
 */
export function buildLoopbackHost(hostIndex: number): string {
  const bits = (process.pid % PROCESS_COUNT) * HOST_COUNT + hostIndex;
  return `127.${(bits >> 16) & 255}.${(bits >> 8) & 255}.${bits & 255}`;
}
