/**
 * Child processes that end with their driver, however the driver ends. Each
 * runs in a session of its own: in the driver's process group, a suspended
 * process would receive SIGHUP when the group loses its last parent in the
 * session.
 */
import {spawn} from 'node:child_process';
import type {ChildProcess, SpawnOptions} from 'node:child_process';

/** Signals that end a driver. */
const ENDING_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;

/** How a process ended. */
export interface ProcessExit {
  readonly name: string;
  /** Exit status; null if a signal ended the process. */
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Options of an owned process. */
export interface OwnedProcessOptions extends SpawnOptions {
  /**
   * Signal that ends the process. SIGTERM suits a process that owns others.
   * @default 'SIGKILL'
   */
  readonly endSignal?: 'SIGKILL' | 'SIGTERM';
}

/** Running owned processes and the signal that ends each. */
const owned = new Map<ChildProcess, NodeJS.Signals>();

let isObservingExit = false;

/**
 * Starts Node with `nodeArgs` as a process that ends when this process ends by
 * itself, by an error, or by SIGINT, SIGTERM or SIGHUP.
 *
 * @example
 * const child = startOwnedProcess(['worker.js'], {stdio: 'ignore'});
 */
export function startOwnedProcess(
  nodeArgs: readonly string[],
  {endSignal = 'SIGKILL', ...options}: OwnedProcessOptions = {},
): ChildProcess {
  observeDriverExit();
  const child = spawn(process.execPath, nodeArgs, {...options, detached: true});
  owned.set(child, endSignal);
  child.once('exit', () => owned.delete(child));
  return child;
}

/**
 * Formats the end of a process as `gate-1 ended with code null, signal SIGHUP`.
 *
 * @example
 * formatExit({name: 'gate-1', code: null, signal: 'SIGHUP'});
 */
export function formatExit({name, code, signal}: ProcessExit): string {
  return `${name} ended with code ${code}, signal ${signal}`;
}

function observeDriverExit(): void {
  if (isObservingExit) return;
  isObservingExit = true;
  process.on('exit', endOwnedProcesses);
  for (const signal of ENDING_SIGNALS)
    process.once(signal, () => {
      endOwnedProcesses();
      // Without a listener, the signal ends this process.
      process.kill(process.pid, signal);
    });
}

function endOwnedProcesses(): void {
  for (const [child, endSignal] of owned) {
    child.kill(endSignal);
    // A suspended process handles SIGTERM only once it is resumed.
    child.kill('SIGCONT');
  }
}
