/** Waits on a timer that does not keep the process alive. */
import {setTimeout as sleep} from 'node:timers/promises';

/**
 * Waits for `ms` without keeping the process alive.
 *
 * @example
 * await waitUnref(50);
 */
export function waitUnref(ms: number): Promise<void> {
  return sleep(ms, undefined, {ref: false});
}
