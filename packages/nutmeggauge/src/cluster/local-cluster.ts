/**
 * A whole deployment on loopback: configuration service, host list, engines
 * and plain services (stand-ins), an agent beside each target, and gates,
 * each its own process with its own YAML settings and log file.
 */
import {mkdirSync} from 'node:fs';
import {join} from 'node:path';
import {request} from 'undici';
import {ClusterError, waitMs} from '@nutmeggauge/core';
import {planLaunches} from './launch-plan.js';
import {findFreePorts} from './ports.js';
import {startChild} from './process.js';
import type {ClusterSpec, ClusterTarget} from './cluster-spec.js';
import type {ClusterLayout, Launch} from './launch-plan.js';
import type {ChildHandle} from './process.js';

/** How often readiness is asked for, in ms. */
const READY_POLL_MS = 50;

/** Processes that are started at the same time. */
const START_BATCH = 8;

interface GateState {
  readonly version: number;
  readonly targets: ReadonlyArray<{readonly usable: boolean}>;
}

/**
 * A running local cluster.
 *
 * @example
 * const cluster = await startLocalCluster({runDir: 'runs/demo', engines: 3, plainServices: 1, gates: 1});
 */
export class LocalCluster {
  private readonly children = new Map<string, ChildHandle>();
  /** Restarts under way, by name. */
  private readonly restarts = new Map<string, Promise<void>>();
  private lastVersion = 0;

  constructor(
    private readonly spec: ClusterSpec,
    private readonly layout: ClusterLayout,
  ) {}

  get gateUrls(): readonly string[] {
    return this.layout.gateUrls;
  }

  get targets(): readonly ClusterTarget[] {
    return this.layout.targets;
  }

  /** URL of the configuration service stand-in. */
  get configUrl(): string {
    return this.layout.configUrl;
  }

  /** Process ids of the running children, by name. */
  listPids(): ReadonlyMap<string, number> {
    return new Map(
      [...this.children]
        .filter(([, child]) => child.isRunning)
        .map(([name, child]) => [name, child.child.pid ?? 0]),
    );
  }

  /** True while a process runs and has not been told to end. */
  isStaying(name: string): boolean {
    return this.children.get(name)?.isStaying === true;
  }

  /** Starts every process, stand-ins before agents before gates. */
  async start(): Promise<void> {
    for (const rank of [2, 1, 0]) {
      const group = this.layout.launches.filter(l => l.stopRank === rank);
      for (let i = 0; i < group.length; i += START_BATCH) {
        const batch = group.slice(i, i + START_BATCH);
        await Promise.all(batch.map(launch => this.launch(launch)));
      }
    }
  }

  /** Publishes a configuration record; resolves with its version. */
  async publish(record: object): Promise<number> {
    const response = await request(`${this.configUrl}/admin/publish`, {
      method: 'POST',
      body: JSON.stringify(record),
    });
    const body = (await response.body.json()) as {version: number};
    this.lastVersion = body.version;
    return this.lastVersion;
  }

  /** Waits until every gate has the newest record and a link to every target. */
  async waitUntilReady(timeoutMs = 30_000): Promise<void> {
    const giveUpAt = Date.now() + timeoutMs;
    while (Date.now() < giveUpAt) {
      const states = await Promise.all(
        this.layout.adminUrls.map(readGateState),
      );
      if (states.every(state => this.isReady(state))) return;
      await waitMs(READY_POLL_MS);
    }
    throw new ClusterError(
      {info: {runDir: this.spec.runDir}},
      `cluster not ready within ${timeoutMs} ms; see ${this.spec.runDir}`,
    );
  }

  /** Sends a signal to one process. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.children.get(name)?.signal(signal);
  }

  /** Kills one process as a power loss would, and waits for its end. */
  async kill(name: string): Promise<void> {
    const child = this.children.get(name);
    child?.signal('SIGKILL');
    await child?.waitForExit();
  }

  /**
   * Starts a process again once it has ended, as a new life: no agent
   * bootstraps twice. Overlapping restarts of one process are one.
   */
  restart(name: string): Promise<void> {
    const running = this.restarts.get(name);
    if (running !== undefined) return running;
    const restart = this.runRestart(name).finally(() =>
      this.restarts.delete(name),
    );
    this.restarts.set(name, restart);
    return restart;
  }

  /** SIGTERM to every process (gates first), then waits for all to exit. */
  async stop(): Promise<void> {
    for (const rank of [0, 1, 2]) {
      const group = this.layout.launches
        .filter(launch => launch.stopRank === rank)
        .flatMap(launch => this.children.get(launch.name) ?? []);
      for (const child of group) {
        child.signal('SIGCONT');
        child.signal('SIGTERM');
      }
      await Promise.all(group.map(child => child.waitForExit()));
    }
  }

  private async runRestart(name: string): Promise<void> {
    const launch = this.layout.launches.find(l => l.name === name);
    const former = this.children.get(name);
    if (launch === undefined || former?.isStaying) return;
    await former?.waitForExit();
    launch.writeSettings?.({isFirstStart: false});
    await this.launch(launch, false);
  }

  private async launch(launch: Launch, isFirstStart = true): Promise<void> {
    if (isFirstStart) launch.writeSettings?.({isFirstStart});
    const {name, script, args} = launch;
    const log = join(this.spec.runDir, `${name}.log`);
    this.children.set(name, await startChild(name, script, args, log));
  }

  private isReady(state: GateState | undefined): boolean {
    return (
      state !== undefined &&
      state.version >= this.lastVersion &&
      state.targets.length > 0 &&
      state.targets.every(target => target.usable)
    );
  }
}

/**
 * Starts a local cluster and returns once every process listens.
 *
 * @throws ClusterError when a process does not start.
 * @example
 * const cluster = await startLocalCluster({runDir: 'runs/demo', engines: 3, plainServices: 1, gates: 1});
 */
export async function startLocalCluster(
  spec: ClusterSpec,
): Promise<LocalCluster> {
  mkdirSync(spec.runDir, {recursive: true});
  const targets = spec.engines + spec.plainServices;
  const ports = await findFreePorts(
    2 + targets * 2 + spec.gates * 3,
    spec.host,
  );
  const cluster = new LocalCluster(spec, planLaunches(spec, ports));
  try {
    await cluster.start();
  } catch (error) {
    await cluster.stop();
    throw error;
  }
  return cluster;
}

async function readGateState(url: string): Promise<GateState | undefined> {
  try {
    const [status, targets] = await Promise.all(
      ['status', 'targets'].map(async page => {
        const response = await request(`${url}/v1/${page}`);
        return response.body.json();
      }),
    );
    const {record} = status as {record: {version: number}};
    return {
      version: record.version,
      ...(targets as Omit<GateState, 'version'>),
    };
  } catch {
    return undefined;
  }
}
