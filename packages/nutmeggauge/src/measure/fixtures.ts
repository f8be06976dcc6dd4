/**
 * Test doubles for measurements: configuration records of any size, agents
 * inside this process, and gate links without a gate.
 */
import {AgentSettingsSchema, createAgent} from '@nutmeggauge/agent';
import {
  RpcMethod,
  createCounters,
  openRpcLink,
  readPort,
} from '@nutmeggauge/core';
import {
  startConfigServiceStandIn,
  startEngineStandIn,
  startPlainServiceStandIn,
} from '@nutmeggauge/standins';
import type {Agent} from '@nutmeggauge/agent';
import type {Counters, RpcLink} from '@nutmeggauge/core';
import type {
  ConfigServiceStandIn,
  PlainServiceStandIn,
} from '@nutmeggauge/standins';

export const HOST = '127.0.0.1';
export const MEASURE_API_KEY = 'measure-key-0000';

/** A target as a configuration record lists it. */
export interface RecordTarget {
  readonly id: string;
  readonly agent: string;
  readonly zone: string;
}

/**
 * Builds a configuration record with `accounts` client accounts, a pool
 * `orders` of plain services and a pool `chat` of engines.
 *
 * @example
 * buildRecord(3700, targets);
 */
export function buildRecord(
  accounts: number,
  targets: readonly RecordTarget[],
  engines: readonly RecordTarget[] = [],
): Record<string, unknown> {
  return {
    schemaVersion: 1,
    accounts: Array.from({length: accounts}, (_, i) => ({
      id: `account-${i}`,
      keys: [`measure-key-${String(i).padStart(4, '0')}`],
      pools: ['orders', 'chat'],
      maxConcurrent: 10_000,
      ratePerSecond: 10_000,
    })),
    pools: [
      {id: 'orders', kind: 'plain', targets},
      {id: 'chat', kind: 'engine', targets: engines},
    ],
    rules: [{pool: 'orders', op: 'place-order', notRepeatable: true}],
  };
}

/**
 * Builds `count` targets whose agent address accepts no connections.
 *
 * @example
 * buildUnreachableTargets(1500).length;
 */
export function buildUnreachableTargets(count: number): RecordTarget[] {
  return Array.from({length: count}, (_, i) => ({
    id: `far-${i}`,
    agent: `${HOST}:1`,
    zone: `az-${i % 12}`,
  }));
}

/**
 * Configuration service, plain service and engine stand-ins in this process.
 */
export interface LocalStandIns {
  readonly config: ConfigServiceStandIn;
  readonly configUrl: string;
  readonly plain: PlainServiceStandIn;
  readonly plainUrl: string;
  readonly engineUrl: string;
  close(): Promise<void>;
}

/**
 * Settings of an engine stand-in with negligible prefill time, so that the
 * measured process spends its time on streamed chunks.
 */
const FAST_ENGINE = {
  id: 'engine-m',
  prefillTokensPerSecond: 1e9,
  prefillChunkTokens: 1e9,
  decodeStepMs: 5,
};

/** Starts the stand-ins on free ports in this process. */
export async function startLocalStandIns(): Promise<LocalStandIns> {
  const config = await startConfigServiceStandIn(HOST, 0);
  const plain = await startPlainServiceStandIn(HOST, 0, 1);
  const engine = await startEngineStandIn(FAST_ENGINE, HOST, 0);
  return {
    config,
    configUrl: `http://${HOST}:${readPort(config.server)}`,
    plain,
    plainUrl: `http://${HOST}:${readPort(plain.server)}`,
    engineUrl: `http://${HOST}:${readPort(engine.server)}`,
    close: async () => {
      await Promise.all(
        [config, plain, engine].map(standIn => standIn.close()),
      );
    },
  };
}

/**
 * Starts `count` agents in this process, all in front of the target at `url`.
 */
export async function startAgents(
  count: number,
  url: string,
  kind: 'plain' | 'engine' = 'plain',
): Promise<{
  readonly agents: readonly Agent[];
  readonly targets: readonly RecordTarget[];
  close(): void;
}> {
  const agents = Array.from({length: count}, (_, i) =>
    createAgent(
      AgentSettingsSchema.parse({
        id: `near-${i}`,
        zone: 'az-1',
        listen: {host: HOST, port: 0},
        target: {kind, url},
        ledger: {bootstrap: true},
      }),
    ),
  );
  await Promise.all(agents.map(agent => agent.start()));
  return {
    agents,
    targets: agents.map((agent, i) => ({
      id: `near-${i}`,
      agent: `${HOST}:${agent.port}`,
      zone: 'az-1',
    })),
    close: () => {
      for (const agent of agents) agent.close();
    },
  };
}

/** Opens `count` links to an agent as gates do, with shared counters. */
export async function openGateLinks(
  count: number,
  port: number,
): Promise<{
  readonly links: readonly RpcLink[];
  readonly counters: Counters;
  close(): void;
}> {
  const counters = createCounters();
  const links = await Promise.all(
    Array.from({length: count}, () => openLink(port, counters)),
  );
  return {
    links,
    counters,
    close: () => {
      for (const link of links) link.close();
    },
  };
}

async function openLink(port: number, counters: Counters): Promise<RpcLink> {
  const link = await openRpcLink(`${HOST}:${port}`, counters);
  for (const method of [RpcMethod.load, RpcMethod.chunk, RpcMethod.accepted])
    link.handle(method, () => undefined);
  return link;
}

/**
 * Sums the bytes of control messages in both directions: load reports, records
 * and record versions, but not requests, acks, chunks, cancellations and
 * answers.
 *
 * @example
 * sumControlBytes({'rpc.in.load.bytes': 120}); // 120
 */
export function sumControlBytes(
  counters: Readonly<Record<string, number>>,
): number {
  const methods = [RpcMethod.load, RpcMethod.record, RpcMethod.recordVersion];
  return methods
    .flatMap(method => [`rpc.in.${method}.bytes`, `rpc.out.${method}.bytes`])
    .reduce((sum, name) => sum + (counters[name] ?? 0), 0);
}
