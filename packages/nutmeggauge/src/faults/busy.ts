/** A machine whose cores are all in use. */
import {spawn} from 'node:child_process';
import {availableParallelism} from 'node:os';

const SPIN = 'while (true);';

/**
 * Keeps every core busy; the result ends it.
 *
 * @example
 * const stop = startBusy();
 */
export function startBusy(): () => void {
  const children = Array.from({length: availableParallelism()}, () =>
    spawn(process.execPath, ['-e', SPIN], {stdio: 'ignore'}),
  );
  return () => children.forEach(child => child.kill('SIGKILL'));
}
