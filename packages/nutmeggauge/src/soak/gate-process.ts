/** A gate running as a child process, with faults injected by signals. */
import {createWriteStream, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {GRACE_MS, readGateArgs, renderSettings} from '@nutmeggauge/platform';
import pidusage from 'pidusage';
import {startOwnedProcess} from '../cluster/owned-process.js';
import type {ChildProcess} from 'node:child_process';
import type {GateAddresses} from '@nutmeggauge/platform';

/** File with the command that starts the bundled program. */
const DEPLOY_FILE = 'deploy/system.toml';

/** Delay between an exit and the restart, in ms. */
const RESTART_DELAY_MS = 300;

/** Text in the log line that a gate writes once it listens. */
const STARTED_EVENT_TEXT = '"gate_started"';

/**
 * A period in which a gate did not listen; times on the monotonic clock, in ms.
 */
export interface GateOutage {
  readonly node: string;
  /** Whether the process ended after a SIGTERM and was not killed before. */
  readonly isStop: boolean;
  readonly from: number;
  /** End of the outage; Infinity until the gate listens again. */
  readonly to: number;
}

/** First SIGTERM of a process; the time is on the monotonic clock, in ms. */
export interface GateStop {
  readonly node: string;
  readonly at: number;
}

/** An exit that the driver did not request. */
export interface UnexpectedExit {
  readonly node: string;
  readonly code: number | null;
  readonly signal: string | null;
  /**
   * Whether the gate program had begun to log; before that, Node itself is
   * starting.
   */
  readonly hadBegun: boolean;
}

/**
 * Runs one gate as a child process and restarts it whenever it exits.
 *
 * @example
 * const gate = new GateProcess(addresses, 'runs/soak-1', exit => exits.push(exit));
 * gate.start();
 */
export class GateProcess {
  /** Largest sampled resident memory, in bytes. */
  peakBytes = 0;
  /** Periods in which the gate did not listen, oldest first. */
  readonly outages: GateOutage[] = [];
  private child: ChildProcess | undefined;
  /**
   * Time on the monotonic clock at which the current process was killed, in ms;
   * undefined if the process was not killed.
   */
  private killedAt: number | undefined;
  /** First SIGTERM of each process that got one, oldest first. */
  readonly stops: GateStop[] = [];
  private isExitExpected = false;
  private isStopping = false;
  /** Delays after which the next processes are stopped, in ms. */
  private readonly startStopDelays: number[] = [];
  private isClosed = false;
  private readonly settingsPath: string;

  constructor(
    private addresses: GateAddresses,
    private readonly folder: string,
    private readonly onUnexpectedExit: (exit: UnexpectedExit) => void,
  ) {
    this.settingsPath = join(folder, `${addresses.node}.toml`);
  }

  /** Starts the process, and restarts it whenever it exits. */
  start(): void {
    if (this.isClosed) return;
    const {node} = this.addresses;
    writeFileSync(this.settingsPath, renderSettings(this.addresses));
    const child = startOwnedProcess(readGateArgs(DEPLOY_FILE), {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {...process.env, NUTMEGGAUGE_CONFIG: this.settingsPath},
    });
    const log = createWriteStream(join(this.folder, `${node}.log`), {
      flags: 'a',
    });
    child.stdout?.pipe(log, {end: false});
    child.stderr?.pipe(log, {end: false});
    let hadBegun = false;
    child.stdout?.once('data', () => (hadBegun = true));
    this.observeOutage(child);
    this.child = child;
    this.isExitExpected = false;
    this.isStopping = false;
    this.killedAt = undefined;
    this.stopAtStart(child);
    child.once('exit', (code, signal) => {
      const hasFailed = code !== null && code !== 0;
      if (!this.isExitExpected || hasFailed)
        this.onUnexpectedExit({node, code, signal, hadBegun});
      setTimeout(() => this.start(), RESTART_DELAY_MS);
    });
  }

  /** Kills the process with SIGKILL. */
  kill(): void {
    this.isExitExpected = true;
    this.killedAt ??= performance.now();
    this.child?.kill('SIGKILL');
  }

  /**
   * Sends SIGTERM, and SIGKILL if the process outlasts the grace after the first
   * one.
   */
  drain(): void {
    const {child} = this;
    // Between an exit and the restart no process gets the signal.
    if (child === undefined || !isAlive(child)) return;
    const at = performance.now();
    child.kill('SIGTERM');
    if (this.isStopping) return;
    this.isExitExpected = true;
    this.isStopping = true;
    this.stops.push({node: this.addresses.node, at});
    const timer = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
    child.once('exit', () => clearTimeout(timer));
  }

  /** Stops the process, and the next one while it starts. */
  drainAgainAtStart(delayMs: number): void {
    this.startStopDelays.push(delayMs);
    this.drain();
  }

  /** Stops a process that has just been started, if that is asked for. */
  private stopAtStart(child: ChildProcess): void {
    const delayMs = this.startStopDelays.shift();
    if (delayMs === undefined) return;
    setTimeout(() => {
      if (this.child === child && !this.isClosed) this.drain();
    }, delayMs);
  }

  /** Suspends the process with SIGSTOP. */
  freeze(): void {
    this.child?.kill('SIGSTOP');
  }

  /** Resumes the suspended process with SIGCONT. */
  resume(): void {
    this.child?.kill('SIGCONT');
  }

  /** Changes the seed hosts in the settings and sends SIGHUP to reload them. */
  reload(seedHosts: readonly string[]): void {
    this.addresses = {...this.addresses, seedHosts};
    writeFileSync(this.settingsPath, renderSettings(this.addresses));
    this.child?.kill('SIGHUP');
  }

  /**
   * Ends the open outage once the process listens, and begins one at its exit.
   */
  private observeOutage(child: ChildProcess): void {
    if (this.outages.length === 0) this.openOutage(false);
    let text = '';
    const read = (chunk: Buffer) => {
      text += String(chunk);
      if (!text.includes(STARTED_EVENT_TEXT)) return;
      child.stdout?.off('data', read);
      const outage = this.outages.pop();
      if (outage !== undefined)
        this.outages.push({...outage, to: performance.now()});
    };
    child.stdout?.on('data', read);
    child.once('exit', () => {
      child.stdout?.off('data', read);
      const last = this.outages.at(-1);
      if (last?.to === Infinity)
        this.outages.splice(-1, 1, {...last, to: performance.now()});
      this.openOutage(this.isStopping && this.killedAt === undefined);
    });
  }

  private openOutage(isStop: boolean): void {
    const {node} = this.addresses;
    // On a busy machine the exit event arrives late; the time of the kill is
    // exact.
    const from = this.killedAt ?? performance.now();
    this.outages.push({node, isStop, from, to: Infinity});
  }

  /** Samples the resident memory of the process. */
  async sampleMemory(): Promise<void> {
    const pid = this.child?.pid;
    if (pid === undefined) return;
    // The process may end between the two calls.
    const usage = await pidusage(pid).catch(() => undefined);
    this.peakBytes = Math.max(this.peakBytes, usage?.memory ?? 0);
  }

  /** Kills the process without a restart and waits for its exit. */
  async close(): Promise<void> {
    this.isClosed = true;
    const {child} = this;
    if (child === undefined || !isAlive(child)) return;
    const ended = new Promise(resolve => child.once('exit', resolve));
    this.resume();
    this.kill();
    await ended;
  }
}

function isAlive({exitCode, signalCode}: ChildProcess): boolean {
  return exitCode === null && signalCode === null;
}
