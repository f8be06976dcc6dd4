/** A busy machine. */
import {spawn} from 'node:child_process';

/** Processes that spin; the driver of a soak needs a core as well. */
const SPINNING = 4;

/** Longest time that they spin, in ms, should their driver end before. */
const LIMIT_MS = 10_000;

const SPIN = `const end = Date.now() + ${LIMIT_MS}; while (Date.now() < end);`;

/**
 * Keeps cores busy; the result ends it.
 *
 * @example
 * const stop = startBusy();
 */
export function startBusy(): () => void {
  const children = Array.from({length: SPINNING}, () =>
    spawn(process.execPath, ['-e', SPIN], {stdio: 'ignore'}),
  );
  return () => children.forEach(child => child.kill('SIGKILL'));
}
