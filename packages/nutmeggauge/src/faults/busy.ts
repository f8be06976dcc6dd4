/** A busy machine. */
import {spawn} from 'node:child_process';

/** Processes that spin; the driver of a soak needs a core as well. */
const SPINNING = 4;

const SPIN = 'while (true);';

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
