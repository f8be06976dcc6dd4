/**
 * Starts gate or agent processes for measurements and reads their CPU time and
 * memory, and for gates their admin API.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import pidusage from 'pidusage';
import {request} from 'undici';
import {stringify as stringifyYaml} from 'yaml';
import {waitMs} from '@nutmeggauge/core';
import {startChild} from '../cluster/process.js';
import type {ListenAddress} from '@nutmeggauge/core';
import type {ChildHandle} from '../cluster/process.js';

const BINARIES = {
  gate: new URL('bin.js', import.meta.resolve('@nutmeggauge/gate')),
  agent: new URL('bin.js', import.meta.resolve('@nutmeggauge/agent')),
} as const;

const BYTES_PER_MB = 1024 * 1024;

/** CPU time since the start of a process, in ms, and resident memory, in MB. */
export interface Usage {
  readonly cpuMs: number;
  readonly rssMb: number;
}

/**
 * A gate or agent process under measurement.
 *
 * @example
 * const gate = await startMeasuredProcess('gate', 'runs/measure', settings);
 * const corePercent = await gate.measureCorePercent(5000);
 */
export class MeasuredProcess {
  constructor(
    private readonly child: ChildHandle,
    readonly port: number,
    private readonly adminPort: number,
  ) {}

  async readUsage(): Promise<Usage> {
    const {ctime, memory} = await pidusage(this.child.child.pid ?? 0);
    return {cpuMs: ctime, rssMb: memory / BYTES_PER_MB};
  }

  /** Measures the mean CPU usage over the next `ms`, in % of one core. */
  async measureCorePercent(ms: number): Promise<number> {
    const before = await this.readUsage();
    await waitMs(ms);
    const after = await this.readUsage();
    return ((after.cpuMs - before.cpuMs) / ms) * 100;
  }

  /** Returns the counters of a gate, by name. */
  async readCounters(): Promise<Readonly<Record<string, number>>> {
    const body = await this.readAdmin<{counters: Record<string, number>}>(
      'counters',
    );
    return body.counters;
  }

  /** Returns the targets that a gate keeps links to. */
  async listTargets(): Promise<
    ReadonlyArray<{readonly id: string; readonly usable: boolean}>
  > {
    const body = await this.readAdmin<{
      targets: Array<{id: string; usable: boolean}>;
    }>('targets');
    return body.targets;
  }

  /** Returns the version of the configuration record that a gate uses. */
  async readVersion(): Promise<number> {
    const body = await this.readAdmin<{record: {version: number}}>('status');
    return body.record.version;
  }

  private async readAdmin<T>(resource: string): Promise<T> {
    const response = await request(
      `http://127.0.0.1:${this.adminPort}/v1/${resource}`,
    );
    return (await response.body.json()) as T;
  }

  signal(signal: NodeJS.Signals): void {
    this.child.signal(signal);
  }

  async stop(): Promise<void> {
    this.child.signal('SIGKILL');
    await this.child.waitForExit();
  }
}

let nextProcessNumber = 1;

/**
 * Starts a gate or agent process with `settings`, whose `listen.port` becomes
 * the `port` of the result.
 *
 * @example
 * await startMeasuredProcess('agent', 'runs/measure', {id: 'a', listen: {port: 7101}, ...});
 */
export async function startMeasuredProcess(
  role: keyof typeof BINARIES,
  runDir: string,
  settings: Readonly<Record<string, unknown>> & {
    readonly listen: ListenAddress;
    readonly admin?: {readonly listen: ListenAddress};
  },
): Promise<MeasuredProcess> {
  mkdirSync(runDir, {recursive: true});
  const name = `${role}-${nextProcessNumber++}`;
  const file = join(runDir, `${name}.yaml`);
  writeFileSync(file, stringifyYaml(settings));
  const child = await startChild(
    name,
    fileURLToPath(BINARIES[role]),
    ['--config', file],
    join(runDir, `${name}.log`),
  );
  return new MeasuredProcess(
    child,
    settings.listen.port,
    settings.admin?.listen.port ?? 0,
  );
}

/**
 * Polls `check` and returns the time until it first returned true, in ms, or
 * NaN after `limitMs`.
 *
 * @example
 * const ms = await measureUntil(async () => (await gate.readVersion()) === 2);
 */
export async function measureUntil(
  check: () => boolean | Promise<boolean>,
  pollIntervalMs = 5,
  limitMs = 60_000,
): Promise<number> {
  const startedAt = performance.now();
  while (!(await check())) {
    if (performance.now() - startedAt > limitMs) return NaN;
    await waitMs(pollIntervalMs);
  }
  return performance.now() - startedAt;
}
