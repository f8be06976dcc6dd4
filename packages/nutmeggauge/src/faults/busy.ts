/** Simulates a busy machine with processes that busy-loop. */
import {startOwnedProcess} from '../cluster/owned-process.js';

/**
 * Number of busy-looping processes; the driver of a soak needs a core as well.
 */
const SPIN_PROCESS_COUNT = 4;

/**
 * Longest time that a process busy-loops, in ms, in case the driver exits
 * early.
 */
const MAX_SPIN_MS = 10_000;

const SPIN_SCRIPT = `const end = Date.now() + ${MAX_SPIN_MS}; while (Date.now() < end);`;

/**
 * Starts processes that keep CPU cores busy; returns a function that kills the
 * processes.
 *
 * @example
 * const stop = startCpuLoad();
 */
export function startCpuLoad(): () => void {
  const children = Array.from({length: SPIN_PROCESS_COUNT}, () =>
    startOwnedProcess(['-e', SPIN_SCRIPT], {stdio: 'ignore'}),
  );
  return () => children.forEach(child => child.kill('SIGKILL'));
}
