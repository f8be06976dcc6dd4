/**
 * A complete deployment on loopback: stand-ins for the configuration service,
 * the host list, engines and plain services, an agent for each target, and
 * gates. Every part runs as a process with its own log file; agents and gates
 * read YAML settings files.
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
import type {ProcessExit} from './owned-process.js';

/** Interval between readiness checks, in ms. */
const READY_POLL_MS = 50;

/** Maximum number of processes that start concurrently. */
const START_BATCH_SIZE = 8;

interface GateState {
  readonly version: number;
  readonly targets: ReadonlyArray<{readonly usable: boolean}>;
}

/**
 * A local cluster whose processes can be signalled, killed and restarted.
 *
 * @example
 * const cluster = await startLocalCluster({runDir: 'runs/demo', engines: 3, plainServices: 1, gates: 1});
 */
export class LocalCluster {
  private readonly children = new Map<string, ChildHandle>();
  /** Every process that was started, including those that were replaced. */
  private readonly started: ChildHandle[] = [];
  /** Restarts in progress, by process name. */
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

  /** Base URL of the configuration service stand-in. */
  get configUrl(): string {
    return this.layout.configUrl;
  }

  /** How each process ended that ended without a request of the cluster. */
  get unexpectedExits(): readonly ProcessExit[] {
    return this.started.flatMap(child => child.unexpectedExit ?? []);
  }

  /** Lists the ids of the running processes by process name. */
  listPids(): ReadonlyMap<string, number> {
    return new Map(
      [...this.children]
        .filter(([, child]) => child.isRunning)
        .map(([name, child]) => [name, child.child.pid ?? 0]),
    );
  }

  /** Tells whether a process runs and was sent no SIGTERM or SIGKILL. */
  isActive(name: string): boolean {
    return this.children.get(name)?.isActive === true;
  }

  /** Starts every process: stand-ins first, then agents, then gates. */
  async start(): Promise<void> {
    for (const rank of [2, 1, 0]) {
      const group = this.layout.launches.filter(
        launch => launch.stopRank === rank,
      );
      for (let i = 0; i < group.length; i += START_BATCH_SIZE) {
        const batch = group.slice(i, i + START_BATCH_SIZE);
        await Promise.all(batch.map(launch => this.launch(launch)));
      }
    }
  }

  /** Publishes a configuration record and returns its version. */
  async publish(record: object): Promise<number> {
    const response = await request(`${this.configUrl}/admin/publish`, {
      method: 'POST',
      body: JSON.stringify(record),
    });
    const body = (await response.body.json()) as {version: number};
    this.lastVersion = body.version;
    return this.lastVersion;
  }

  /**
   * Waits until every gate has applied the newest published record and can use
   * all of its targets.
   *
   * @throws ClusterError when the cluster is not ready within `timeoutMs`.
   */
  async waitUntilReady(timeoutMs = 30_000): Promise<void> {
    const timeoutAt = Date.now() + timeoutMs;
    while (Date.now() < timeoutAt) {
      const states = await Promise.all(
        this.layout.adminUrls.map(readGateState),
      );
      if (states.every(state => this.isReady(state))) return;
      await waitMs(READY_POLL_MS);
    }
    throw new ClusterError(
      {info: {runDir: this.spec.runDir}},
      `cluster was not ready within ${timeoutMs} ms; see the logs in ${this.spec.runDir}`,
    );
  }

  /** Sends a signal to one process if it runs. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.children.get(name)?.signal(signal);
  }

  /**
   * Kills one process with SIGKILL, which simulates a power loss, and waits for
   * its exit.
   */
  async kill(name: string): Promise<void> {
    const child = this.children.get(name);
    child?.signal('SIGKILL');
    await child?.waitForExit();
  }

  /**
   * Starts a process again once it has exited; does nothing if the process runs
   * and was sent no SIGTERM or SIGKILL. An agent starts without `bootstrap` for
   * its ledger, which applies to the first start only. Concurrent calls for one
   * process share one restart.
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

  /**
   * Sends SIGTERM to all gates, then to all agents, then to all stand-ins, and
   * waits for each group to exit before the next.
   */
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
    const launch = this.layout.launches.find(planned => planned.name === name);
    const previous = this.children.get(name);
    if (launch === undefined || previous?.isActive) return;
    await previous?.waitForExit();
    launch.writeSettings?.({isFirstStart: false});
    await this.launch(launch, false);
  }

  private async launch(launch: Launch, isFirstStart = true): Promise<void> {
    if (isFirstStart) launch.writeSettings?.({isFirstStart});
    const {name, script, args} = launch;
    const log = join(this.spec.runDir, `${name}.log`);
    const child = await startChild(name, script, args, log);
    this.children.set(name, child);
    this.started.push(child);
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
 * Starts a local cluster and returns once every process listens; stops the
 * cluster again if a process fails to start.
 *
 * @throws ClusterError when a process does not start or too few ports are free.
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
