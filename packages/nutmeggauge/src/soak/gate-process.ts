/** A gate as a process of its own, with faults injected by signals. */
import {spawn} from 'node:child_process';
import {createWriteStream, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {readRunWords, renderSettings} from '@nutmeggauge/platform';
import pidusage from 'pidusage';
import type {ChildProcess} from 'node:child_process';
import type {GateAddresses} from '@nutmeggauge/platform';

/** Contains the command that starts the bundled program. */
const DEPLOY_FILE = 'deploy/system.toml';

/** Pause before a restart, in ms. */
const RESTART_MS = 300;

/** Longest graceful stop, in ms: the grace period and the exit. */
const STOP_LIMIT_MS = 8500;

/** Part of the line that a gate logs once it listens. */
const STARTED_TEXT = '"gate_started"';

/** A time in which a gate did not listen, on the monotonic clock, in ms. */
export interface GateOutage {
  readonly node: string;
  /** The process stopped by itself, as it was told to. */
  readonly isStop: boolean;
  readonly from: number;
  /** Infinite until it listens. */
  readonly to: number;
}

/** An exit that was not requested. */
export interface UnexpectedExit {
  readonly node: string;
  readonly code: number | null;
  readonly signal: string | null;
  /** The program had started; before that, Node itself was starting. */
  readonly hadBegun: boolean;
}

/**
 * One gate.
 *
 * @example
 * const gate = new GateProcess(addresses, 'runs/soak-1', exit => exits.push(exit));
 * gate.start();
 */
export class GateProcess {
  /** Largest resident memory, in bytes. */
  peakBytes = 0;
  /** Times without a gate that listens. */
  readonly outages: GateOutage[] = [];
  private child: ChildProcess | undefined;
  /** When the running process was killed. */
  private killedAt: number | undefined;
  private isEndExpected = false;
  private isClosed = false;
  private readonly settingsPath: string;

  constructor(
    private addresses: GateAddresses,
    private readonly folder: string,
    private readonly onUnexpectedExit: (exit: UnexpectedExit) => void,
  ) {
    this.settingsPath = join(folder, `${addresses.node}.toml`);
  }

  /** Starts the process, and restarts it whenever it ends. */
  start(): void {
    if (this.isClosed) return;
    const {node} = this.addresses;
    writeFileSync(this.settingsPath, renderSettings(this.addresses));
    const child = spawn(process.execPath, readRunWords(DEPLOY_FILE), {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {...process.env, NUTMEGGAUGE_CONFIG: this.settingsPath},
    });
    const log = createWriteStream(join(this.folder, `${node}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    let hadBegun = false;
    child.stdout.once('data', () => (hadBegun = true));
    this.observeOutage(child);
    this.child = child;
    this.isEndExpected = false;
    this.killedAt = undefined;
    child.once('exit', (code, signal) => {
      if (!this.isEndExpected)
        this.onUnexpectedExit({node, code, signal, hadBegun});
      setTimeout(() => this.start(), RESTART_MS);
    });
  }

  /** Kills the process. */
  kill(): void {
    this.isEndExpected = true;
    this.killedAt ??= performance.now();
    this.child?.kill('SIGKILL');
  }

  /** Asks it to stop; kills it after the longest graceful stop. */
  drain(): void {
    this.isEndExpected = true;
    const {child} = this;
    child?.kill('SIGTERM');
    const timer = setTimeout(() => child?.kill('SIGKILL'), STOP_LIMIT_MS);
    child?.once('exit', () => clearTimeout(timer));
  }

  /** Suspends it. */
  freeze(): void {
    this.child?.kill('SIGSTOP');
  }

  /** Resumes it. */
  resume(): void {
    this.child?.kill('SIGCONT');
  }

  /** Changes its seeds and sends SIGHUP. */
  reload(seedHosts: readonly string[]): void {
    this.addresses = {...this.addresses, seedHosts};
    writeFileSync(this.settingsPath, renderSettings(this.addresses));
    this.child?.kill('SIGHUP');
  }

  /** Ends an outage when the process listens, and begins one at its exit. */
  private observeOutage(child: ChildProcess): void {
    if (this.outages.length === 0) this.openOutage(false);
    let text = '';
    const read = (chunk: Buffer) => {
      text += String(chunk);
      if (!text.includes(STARTED_TEXT)) return;
      child.stdout?.off('data', read);
      const outage = this.outages.pop();
      if (outage !== undefined)
        this.outages.push({...outage, to: performance.now()});
    };
    child.stdout?.on('data', read);
    child.once('exit', code => {
      const last = this.outages[this.outages.length - 1];
      if (last?.to !== Infinity) this.openOutage(code === 0);
    });
  }

  private openOutage(isStop: boolean): void {
    const {node} = this.addresses;
    // A busy driver learns of the exit late.
    const from = this.killedAt ?? performance.now();
    this.outages.push({node, isStop, from, to: Infinity});
  }

  /** Samples its memory. */
  async sampleMemory(): Promise<void> {
    const pid = this.child?.pid;
    if (pid === undefined) return;
    // The process may end between the two calls.
    const usage = await pidusage(pid).catch(() => undefined);
    this.peakBytes = Math.max(this.peakBytes, usage?.memory ?? 0);
  }

  /** Ends it for good. */
  async close(): Promise<void> {
    this.isClosed = true;
    const {child} = this;
    if (child === undefined || child.exitCode !== null) return;
    if (child.signalCode !== null) return;
    const ended = new Promise(resolve => child.once('exit', resolve));
    this.resume();
    this.kill();
    await ended;
  }
}
