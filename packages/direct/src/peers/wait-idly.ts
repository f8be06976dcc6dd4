/** Waiting in the background. */
import {setTimeout as sleep} from 'node:timers/promises';

/**
 * Waits without keeping the process alive.
 *
 * @example
 * await waitIdly(50);
 */
export function waitUnref(ms: number): Promise<void> {
  return sleep(ms, undefined, {ref: false});
}
