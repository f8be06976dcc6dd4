/**
 * Finds the processes that a test's driver left over, by an environment
 * variable that every descendant inherits.
 */
import {readFileSync, readdirSync} from 'node:fs';

/** Environment variable that marks the processes of one test. */
export const MARK_VARIABLE = 'NUTMEGGAUGE_TEST_MARK';

/** Returns the contents of a file of a process; empty once it has ended. */
function readProcessFile(pid: string, file: string): string {
  try {
    return readFileSync(`/proc/${pid}/${file}`, 'utf8');
  } catch {
    return '';
  }
}

/**
 * Lists the ids of the processes with a mark in their environment and a text in
 * their command line. Processes that have exited have no environment any more.
 *
 * @example
 * listMarkedProcesses('soak-1'); // [4711, 4712]
 */
export function listMarkedProcesses(mark: string, text = ''): number[] {
  const variable = `${MARK_VARIABLE}=${mark}`;
  return readdirSync('/proc')
    .filter(name => /^\d+$/.test(name))
    .filter(pid =>
      readProcessFile(pid, 'environ').split('\0').includes(variable),
    )
    .filter(pid => readProcessFile(pid, 'cmdline').includes(text))
    .map(Number);
}
