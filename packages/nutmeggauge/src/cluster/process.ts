/**
 * One child process of a local cluster: its stderr log goes to a file, and
 * `start` resolves once the child logs that it is listening.
 */
import {spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {ClusterError} from '@nutmeggauge/core';
import type {ChildProcess} from 'node:child_process';

/**
 * A child process running one nutmeggauge binary or stand-in.
 *
 * @example
 * const child = await startChild('gate-1', gateBin, ['--config', 'gate.yaml'], 'runs/x/gate-1.log');
 */
export class ChildHandle {
  private readonly exited: Promise<number | null>;
  private isEnding = false;

  constructor(
    readonly name: string,
    readonly child: ChildProcess,
  ) {
    this.exited = new Promise(resolve =>
      child.once('exit', code => resolve(code)),
    );
  }

  /** True while the process runs. */
  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** True while the process runs and has not been told to end. */
  get isStaying(): boolean {
    return this.isRunning && !this.isEnding;
  }

  /** Sends a signal; SIGTERM asks for a graceful drain. */
  signal(signal: NodeJS.Signals): void {
    if (!this.isRunning) return;
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.isEnding = true;
    this.child.kill(signal);
  }

  /** Resolves with the exit code once the process has ended. */
  waitForExit(): Promise<number | null> {
    return this.exited;
  }
}

/**
 * Starts `node script args…`, logging to `logPath`, and waits for a log line
 * whose event ends in `_listening` (at most `timeoutMs`).
 *
 * @throws ClusterError when the child exits or stays silent past the timeout.
 */
export function startChild(
  name: string,
  script: string,
  args: readonly string[],
  logPath: string,
  timeoutMs = 15_000,
): Promise<ChildHandle> {
  const child = spawn(process.execPath, [script, ...args], {
    stdio: ['ignore', 'ignore', 'pipe'],
    // Readiness and executions are read from the children's logs.
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
            `${name} did not start within ${timeoutMs} ms`,
          ),
        ),
      timeoutMs,
    );
    child.once('exit', code => {
      clearTimeout(timer);
      reject(
        new ClusterError(
          {info: {name, code}},
          `${name} exited with ${code} before listening; see ${logPath}`,
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
