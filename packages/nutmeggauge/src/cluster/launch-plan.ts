/**
 * Plans the processes of a local cluster: the script, arguments and settings
 * file of each, with all addresses assigned before the first process starts.
 */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {stringify as stringifyYaml} from 'yaml';
import type {ClusterSpec, ClusterTarget} from './cluster-spec.js';

/** Command line, settings file and stop order of one process of a cluster. */
export interface Launch {
  readonly name: string;
  readonly script: string;
  readonly args: readonly string[];
  /**
   * Position in the order of shutdown: gates (0) stop first, then agents (1),
   * then stand-ins (2), so that requests in flight can finish.
   */
  readonly stopRank: 0 | 1 | 2;
  /** Writes the settings file; absent for stand-ins, which have none. */
  readonly writeSettings?: (startInfo: {
    readonly isFirstStart: boolean;
  }) => void;
}

/** All processes of a cluster and their addresses. */
export interface ClusterLayout {
  readonly launches: readonly Launch[];
  readonly targets: readonly ClusterTarget[];
  readonly gateUrls: readonly string[];
  /** Base URLs of the administration APIs of the gates. */
  readonly adminUrls: readonly string[];
  readonly configUrl: string;
}

/** Loopback address of a cluster whose spec has no `host`. */
const DEFAULT_HOST = '127.0.0.1';

const DEFAULT_ZONES = ['az-1', 'az-2', 'az-3'];
const DEFAULT_ENGINE = {prefillRate: 400_000, chunkTokens: 16_384};
/** Age of the host list that the stand-in serves, in ms. */
const HOST_LIST_LAG_MS = 500;
const HOST_LIST_POLL_MS = 500;
const CONFIG_WAIT_MS = 20_000;

const CLI_BIN = fileURLToPath(new URL('../bin.js', import.meta.url));
const AGENT_BIN = fileURLToPath(
  new URL('bin.js', import.meta.resolve('@nutmeggauge/agent')),
);
const GATE_BIN = fileURLToPath(
  new URL('bin.js', import.meta.resolve('@nutmeggauge/gate')),
);

/**
 * Plans the processes of `spec` on `ports`: two for the platform
 * (configuration service and host list), two for each target (stand-in and
 * agent) and three for each gate (callers, relay and administration).
 *
 * @example
 * planLaunches(spec, await findFreePorts(2 + targets * 2 + spec.gates * 3)).launches;
 */
export function planLaunches(
  spec: ClusterSpec,
  ports: readonly number[],
): ClusterLayout {
  const [configPort, hostsPort, ...otherPorts] = ports;
  const host = readHost(spec);
  const configUrl = `http://${host}:${configPort}`;
  const hostListUrl = `http://${host}:${hostsPort}`;
  const count = spec.engines + spec.plainServices;
  const targets = Array.from({length: count}, (_, i) =>
    planTarget(spec, i, otherPorts.slice(i * 2, i * 2 + 2)),
  );
  const gatePorts = otherPorts.slice(count * 2, count * 2 + spec.gates);
  const internal = otherPorts.slice(count * 2 + spec.gates);
  const relayPorts = internal.slice(0, spec.gates);
  const adminPorts = internal.slice(spec.gates);
  return {
    configUrl,
    targets,
    gateUrls: gatePorts.map(port => `http://${host}:${port}`),
    adminUrls: adminPorts.map(port => `http://${host}:${port}`),
    launches: [
      planStandIn(spec, 'config', 'config-service', configPort),
      planStandIn(spec, 'hosts', 'host-list', hostsPort, [
        '--lag-ms',
        String(HOST_LIST_LAG_MS),
      ]),
      ...targets.map((target, i) => planTargetStandIn(spec, target, i)),
      ...targets.map(target => planAgent(spec, target, configUrl)),
      ...gatePorts.map((port, i) =>
        planGate(spec, i, port, {
          configUrl,
          hostListUrl,
          relayPorts,
          adminPort: adminPorts[i],
        }),
      ),
    ],
  };
}

function readHost({host = DEFAULT_HOST}: ClusterSpec): string {
  return host;
}

function pickZone(spec: ClusterSpec, index: number): string {
  const zones = spec.zones ?? DEFAULT_ZONES;
  return zones[index % zones.length];
}

function planTarget(
  spec: ClusterSpec,
  index: number,
  [port, agentPort]: readonly number[],
): ClusterTarget {
  const isEngine = index < spec.engines;
  return {
    id: isEngine
      ? `engine-${String(index + 1).padStart(2, '0')}`
      : `plain-${index - spec.engines + 1}`,
    kind: isEngine ? 'engine' : 'plain',
    url: `http://${readHost(spec)}:${port}`,
    agent: `${readHost(spec)}:${agentPort}`,
    zone: pickZone(spec, index),
  };
}

function planStandIn(
  spec: ClusterSpec,
  kind: string,
  id: string,
  port: number,
  extraArgs: readonly string[] = [],
): Launch {
  const address = ['--host', readHost(spec), '--port', String(port)];
  const args = ['standin', kind, '--id', id, ...address, ...extraArgs];
  return {name: id, script: CLI_BIN, args, stopRank: 2};
}

function planTargetStandIn(
  spec: ClusterSpec,
  target: ClusterTarget,
  index: number,
): Launch {
  const engine = spec.engine ?? DEFAULT_ENGINE;
  return planStandIn(
    spec,
    target.kind,
    target.id,
    Number(new URL(target.url).port),
    [
      '--fencing',
      index % 2 === 0 ? 'refuse' : 'ignore',
      '--prefill-rate',
      String(engine.prefillRate),
      '--chunk-tokens',
      String(engine.chunkTokens),
    ],
  );
}

function planAgent(
  spec: ClusterSpec,
  target: ClusterTarget,
  configUrl: string,
): Launch {
  const name = `agent-${target.id}`;
  const file = join(spec.runDir, `${name}.yaml`);
  const port = Number(target.agent.split(':')[1]);
  return {
    name,
    script: AGENT_BIN,
    args: ['--config', file],
    stopRank: 1,
    writeSettings: ({isFirstStart}) =>
      writeFileSync(
        file,
        stringifyYaml({
          id: target.id,
          zone: target.zone,
          listen: {host: readHost(spec), port},
          target: {kind: target.kind, url: target.url},
          configService: {url: configUrl, waitMs: CONFIG_WAIT_MS},
          ledger: {bootstrap: isFirstStart},
          ...spec.agentSettings,
        }),
      ),
  };
}

function planGate(
  spec: ClusterSpec,
  index: number,
  port: number,
  endpoints: {
    readonly configUrl: string;
    readonly hostListUrl: string;
    readonly relayPorts: readonly number[];
    readonly adminPort: number;
  },
): Launch {
  const name = `gate-${index + 1}`;
  const file = join(spec.runDir, `${name}.yaml`);
  return {
    name,
    script: GATE_BIN,
    args: ['--config', file],
    stopRank: 0,
    writeSettings: () =>
      writeFileSync(
        file,
        stringifyYaml({
          id: name,
          zone: pickZone(spec, index),
          listen: {host: readHost(spec), port},
          configService: {url: endpoints.configUrl, waitMs: CONFIG_WAIT_MS},
          hostList: {url: endpoints.hostListUrl, pollMs: HOST_LIST_POLL_MS},
          admin: {listen: {host: readHost(spec), port: endpoints.adminPort}},
          relay: {
            listen: {host: readHost(spec), port: endpoints.relayPorts[index]},
            peers: endpoints.relayPorts
              .filter((_port, i) => i !== index)
              .map(peerPort => `${readHost(spec)}:${peerPort}`),
          },
          // No load balancer has to notice the drain of a local gate.
          drainNoticeMs: 0,
          ...spec.gateSettings,
        }),
      ),
  };
}
