/**
 * Child processes of a local cluster: the log that a child writes to stderr is
 * copied to a file, and `startChild` resolves once the log says that the child
 * listens.
 */
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {ClusterError} from '@nutmeggauge/core';
import {formatExit, startOwnedProcess} from './owned-process.js';
import type {ChildProcess} from 'node:child_process';
import type {ProcessExit} from './owned-process.js';

/**
 * A child process that runs a gate, an agent or a stand-in.
 *
 * @example
 * const child = await startChild('gate-1', gateBin, ['--config', 'gate.yaml'], 'runs/x/gate-1.log');
 */
export class ChildHandle {
  private readonly exited: Promise<number | null>;
  private isTerminating = false;
  private exitWithoutRequest: ProcessExit | undefined;

  constructor(
    readonly name: string,
    readonly child: ChildProcess,
  ) {
    this.exited = new Promise(resolve =>
      child.once('exit', (code, signal) => {
        if (!this.isTerminating) this.exitWithoutRequest = {name, code, signal};
        resolve(code);
      }),
    );
  }

  /** How the process ended, if it was sent no SIGTERM or SIGKILL before. */
  get unexpectedExit(): ProcessExit | undefined {
    return this.exitWithoutRequest;
  }

  /** True until the process has exited. */
  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** True while the process runs and was sent no SIGTERM or SIGKILL. */
  get isActive(): boolean {
    return this.isRunning && !this.isTerminating;
  }

  /** Sends a signal if the process runs; SIGTERM requests a graceful drain. */
  signal(signal: NodeJS.Signals): void {
    if (!this.isRunning) return;
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.isTerminating = true;
    this.child.kill(signal);
  }

  /**
   * Resolves with the exit code once the process has exited, or with null if a
   * signal ended the process.
   */
  waitForExit(): Promise<number | null> {
    return this.exited;
  }
}

/**
 * Starts `node script args…`, appends its log to `logPath`, and waits at most
 * `timeoutMs` for a log line whose event ends in `_listening`.
 *
 * @throws ClusterError when the child exits first or the timeout passes.
 */
export function startChild(
  name: string,
  script: string,
  args: readonly string[],
  logPath: string,
  timeoutMs = 15_000,
): Promise<ChildHandle> {
  const child = startOwnedProcess([script, ...args], {
    stdio: ['ignore', 'ignore', 'pipe'],
    // Readiness and executions are read from log lines of level info.
    env: {...process.env, NUTMEGGAUGE_LOG: 'info'},
  });
  const handle = new ChildHandle(name, child);
  const log = createWriteStream(logPath, {flags: 'a'});
  const lines = createInterface({input: child.stderr as NodeJS.ReadableStream});
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () =>
        reject(
          new ClusterError(
            {info: {name}},
            `${name} did not listen within ${timeoutMs} ms`,
          ),
        ),
      timeoutMs,
    );
    child.once('exit', (code, signal) => {
      clearTimeout(timer);
      reject(
        new ClusterError(
          {info: {name, code, signal}},
          `${formatExit({name, code, signal})} before it was listening; see ${logPath}`,
        ),
      );
    });
    lines.on('line', line => {
      log.write(line + '\n');
      if (/"event":"[a-z_]*_listening"/.test(line)) {
        clearTimeout(timer);
        resolve(handle);
      }
    });
    lines.on('close', () => log.end());
  });
}
