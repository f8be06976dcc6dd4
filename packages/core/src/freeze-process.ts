/** Suspension of the own process, for tests. */

/**
 * Blocks the thread, so that no I/O and no timers run, as in a suspended
 * process.
 *
 * @example
 * socket.write(request);
 * freezeProcess(500);
 */
export function freezeProcess(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
