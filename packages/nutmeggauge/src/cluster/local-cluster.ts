/**
 * A whole deployment on loopback: configuration service, host list, engines
 * and plain services (stand-ins), an agent beside each target, and gates,
 * each its own process with its own YAML settings and log file.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {stringify as stringifyYaml} from 'yaml';
import {waitMs} from '@nutmeggauge/core';
import {findFreePorts} from './ports.js';
import {startChild} from './process.js';
import type {ChildHandle} from './process.js';

/** Shape of a local cluster. */
export interface ClusterSpec {
  /** Folder for settings files and logs. */
  readonly runDir: string;
  /** Engines, each with its agent. */
  readonly engines: number;
  /** Plain services, each with its agent. */
  readonly plainServices: number;
  /** Gates. */
  readonly gates: number;
  /** Routing policy of every gate. */
  readonly routing: string;
  /**
   * Zones that targets and gates are spread over.
   * @default ['az-1', 'az-2', 'az-3']
   */
  readonly zones?: readonly string[];
  /**
   * Prompt tokens prefilled a second by each engine.
   * @default 400_000
   */
  readonly prefillRate?: number;
}

/** A target of the cluster as the configuration record names it. */
export interface ClusterTarget {
  readonly id: string;
  readonly kind: 'engine' | 'plain';
  readonly agent: string;
  readonly zone: string;
  readonly url: string;
}

/** A running local cluster. */
export interface LocalCluster {
  readonly gateUrls: readonly string[];
  readonly configUrl: string;
  readonly hostListUrl: string;
  readonly targets: readonly ClusterTarget[];
  readonly children: ReadonlyMap<string, ChildHandle>;
  /** Publishes a configuration record; resolves with its version. */
  publish(record: object): Promise<number>;
  /** Waits until every gate has the newest record and a link to every target. */
  waitUntilReady(timeoutMs?: number): Promise<void>;
  /** SIGTERM to every process (gates first), then waits for all to exit. */
  stop(): Promise<void>;
}

const here = fileURLToPath(new URL('.', import.meta.url));
const CLI_BIN = join(here, '..', 'bin.js');
const AGENT_BIN = fileURLToPath(
  new URL('bin.js', import.meta.resolve('@nutmeggauge/agent')),
);
const GATE_BIN = fileURLToPath(
  new URL('bin.js', import.meta.resolve('@nutmeggauge/gate')),
);

/**
 * Starts a local cluster and returns once every process listens.
 *
 * @example
 * const cluster = await startLocalCluster({runDir: 'runs/demo', engines: 3, plainServices: 1, gates: 1, routing: 'least-outstanding'});
 */
export async function startLocalCluster(
  spec: ClusterSpec,
): Promise<LocalCluster> {
  mkdirSync(spec.runDir, {recursive: true});
  const zones = spec.zones ?? ['az-1', 'az-2', 'az-3'];
  const targetCount = spec.engines + spec.plainServices;
  const ports = await findFreePorts(2 + targetCount * 2 + spec.gates);
  const [configPort, hostsPort] = ports;
  const children = new Map<string, ChildHandle>();
  const logOf = (name: string) => join(spec.runDir, `${name}.log`);
  const launch = async (
    name: string,
    script: string,
    args: readonly string[],
  ) => {
    children.set(name, await startChild(name, script, args, logOf(name)));
  };
  const standIn = (
    kind: string,
    id: string,
    port: number,
    extra: readonly string[] = [],
  ) =>
    launch(id, CLI_BIN, [
      'standin',
      kind,
      '--id',
      id,
      '--port',
      String(port),
      ...extra,
    ]);

  await standIn('config', 'config-service', configPort);
  await standIn('hosts', 'host-list', hostsPort, ['--lag-ms', '500']);
  const targets: ClusterTarget[] = [];
  for (let i = 0; i < targetCount; i++) {
    const kind = i < spec.engines ? 'engine' : 'plain';
    const id =
      kind === 'engine' ? `engine-${i + 1}` : `plain-${i - spec.engines + 1}`;
    const url = `http://127.0.0.1:${ports[2 + i * 2]}`;
    const fencing = i % 2 === 0 ? 'refuse' : 'ignore';
    await standIn(
      kind === 'engine' ? 'engine' : 'plain',
      id,
      ports[2 + i * 2],
      [
        '--fencing',
        fencing,
        '--prefill-rate',
        String(spec.prefillRate ?? 400_000),
      ],
    );
    targets.push({
      id,
      kind,
      url,
      agent: `127.0.0.1:${ports[3 + i * 2]}`,
      zone: zones[i % zones.length],
    });
  }
  const configUrl = `http://127.0.0.1:${configPort}`;
  const hostListUrl = `http://127.0.0.1:${hostsPort}`;
  await Promise.all(
    targets.map(target => {
      const name = `agent-${target.id}`;
      const file = join(spec.runDir, `${name}.yaml`);
      const port = Number(target.agent.split(':')[1]);
      writeFileSync(
        file,
        stringifyYaml({
          id: target.id,
          zone: target.zone,
          listen: {host: '127.0.0.1', port},
          target: {kind: target.kind, url: target.url},
          configService: {url: configUrl, waitMs: 20_000},
          ledger: {bootstrap: true},
        }),
      );
      return launch(name, AGENT_BIN, ['--config', file]);
    }),
  );
  const gateUrls: string[] = [];
  for (let g = 0; g < spec.gates; g++) {
    const id = `gate-${g + 1}`;
    const port = ports[2 + targetCount * 2 + g];
    const file = join(spec.runDir, `${id}.yaml`);
    writeFileSync(
      file,
      stringifyYaml({
        id,
        zone: zones[g % zones.length],
        listen: {host: '127.0.0.1', port},
        configService: {url: configUrl, waitMs: 20_000},
        hostList: {url: hostListUrl, pollMs: 500},
        routing: {policy: spec.routing},
        // No balancer stands before a local gate that must notice its drain.
        drainNoticeMs: 0,
      }),
    );
    await launch(id, GATE_BIN, ['--config', file]);
    gateUrls.push(`http://127.0.0.1:${port}`);
  }

  let lastVersion = 0;
  const publish = async (record: object): Promise<number> => {
    const response = await request(`${configUrl}/admin/publish`, {
      method: 'POST',
      body: JSON.stringify(record),
    });
    lastVersion = ((await response.body.json()) as {version: number}).version;
    return lastVersion;
  };
  const waitUntilReady = async (timeoutMs = 15_000): Promise<void> => {
    const giveUpAt = Date.now() + timeoutMs;
    while (Date.now() < giveUpAt) {
      const states = await Promise.all(
        gateUrls.map(url => readGateHealth(url)),
      );
      const ready = states.every(
        s =>
          s !== undefined &&
          s.configVersion >= lastVersion &&
          s.targets.every(t => t.usable),
      );
      if (ready) return;
      await waitMs(50);
    }
    throw new Error('cluster not ready in time');
  };
  const stop = async (): Promise<void> => {
    const order = [...children.values()].sort(
      (a, b) => rankForStop(a.name) - rankForStop(b.name),
    );
    for (const rank of [0, 1, 2]) {
      const group = order.filter(child => rankForStop(child.name) === rank);
      for (const child of group) child.signal('SIGTERM');
      await Promise.all(group.map(child => child.waitForExit()));
    }
  };
  return {
    gateUrls,
    configUrl,
    hostListUrl,
    targets,
    children,
    publish,
    waitUntilReady,
    stop,
  };
}

/** Gates stop first, then agents, then stand-ins, so nothing is cut off. */
function rankForStop(name: string): number {
  if (name.startsWith('gate-')) return 0;
  if (name.startsWith('agent-')) return 1;
  return 2;
}

interface GateHealth {
  readonly configVersion: number;
  readonly targets: ReadonlyArray<{readonly usable: boolean}>;
}

async function readGateHealth(url: string): Promise<GateHealth | undefined> {
  try {
    const response = await request(`${url}/healthz`);
    return (await response.body.json()) as GateHealth;
  } catch {
    return undefined;
  }
}
