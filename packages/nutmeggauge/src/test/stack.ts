/**
 * An in-process deployment for tests: stand-ins, agents and a gate in one
 * process, on loopback ports chosen by the operating system.
 */
import {request} from 'undici';
import {AgentSettingsSchema, createAgent} from '@nutmeggauge/agent';
import {findHome, readPort, readSseEvents, waitMs} from '@nutmeggauge/core';
import {createGate, GateSettingsSchema} from '@nutmeggauge/gate';
import {
  startConfigServiceStandIn,
  startEngineStandIn,
  startHostListStandIn,
  startPlainServiceStandIn,
} from '@nutmeggauge/standins';
import type {Agent} from '@nutmeggauge/agent';
import type {Gate} from '@nutmeggauge/gate';
import type {
  ConfigServiceStandIn,
  EngineOptions,
  EngineStandIn,
  HostListStandIn,
  PlainServiceStandIn,
} from '@nutmeggauge/standins';

export const TEST_KEY = 'test-key-0001';
export const SECOND_ACCOUNT_KEY = 'test-key-0002';

export interface Stack {
  readonly gateUrl: string;
  readonly gate: Gate;
  readonly config: ConfigServiceStandIn;
  readonly engines: EngineStandIn[];
  readonly plain: PlainServiceStandIn[];
  readonly agents: Agent[];
  /**
   * Closes the agent of target `index` and starts a new incarnation on the same
   * port.
   */
  restartAgent(index: number): Promise<void>;
  /** Stand-in of the platform's host list; the gate reads it every 50 ms. */
  readonly hostList: HostListStandIn;
  /** Configuration record that was published at the start, with its version. */
  readonly record: Record<string, unknown>;
  close(): Promise<void>;
}

export interface StackOptions {
  readonly engines?: number;
  readonly plain?: number;
  /** Returns the options of the engine with this index. */
  readonly engine?: (index: number) => Partial<EngineOptions>;
  /** Settings of every agent that override those of the stack. */
  readonly agent?: Readonly<Record<string, unknown>>;
  /** Settings of the gate that override those of the stack. */
  readonly gate?: Readonly<Record<string, unknown>>;
  readonly resumable?: boolean;
  /** Number of targets of each pool that the gate connects to; 0 for all. */
  readonly subsetSize?: number;
  readonly routing?: string;
}

export async function startStack(options: StackOptions = {}): Promise<Stack> {
  const config = await startConfigServiceStandIn('127.0.0.1', 0);
  const hostList = await startHostListStandIn('127.0.0.1', 0, 0);
  const engines = await Promise.all(
    Array.from({length: options.engines ?? 2}, (_, i) =>
      startEngineStandIn(
        {id: `engine-${i + 1}`, ...options.engine?.(i)},
        '127.0.0.1',
        0,
      ),
    ),
  );
  const plain = await Promise.all(
    Array.from({length: options.plain ?? 1}, () =>
      startPlainServiceStandIn('127.0.0.1', 0, 5),
    ),
  );
  const targets = [
    ...engines.map((e, i) => ({
      id: `engine-${i + 1}`,
      kind: 'engine' as const,
      url: `http://127.0.0.1:${readPort(e.server)}`,
    })),
    ...plain.map((p, i) => ({
      id: `plain-${i + 1}`,
      kind: 'plain' as const,
      url: `http://127.0.0.1:${readPort(p.server)}`,
    })),
  ];
  const configUrl = `http://127.0.0.1:${readPort(config.server)}`;
  const startAgent = async (
    index: number,
    port: number,
    bootstrap: boolean,
  ) => {
    const {id, kind, url} = targets[index];
    const agent = createAgent(
      AgentSettingsSchema.parse({
        id,
        zone: 'az-1',
        listen: {port},
        target: {kind, url},
        configService: {url: configUrl, waitMs: 2000},
        ledger: {bootstrap},
        loadReportMs: 50,
        heartbeatMs: 200,
        ...options.agent,
      }),
    );
    await agent.start();
    return agent;
  };
  const agents = await Promise.all(
    targets.map((_target, index) => startAgent(index, 0, true)),
  );
  const record = {
    schemaVersion: 1,
    accounts: [
      {
        id: 'acct-a',
        keys: [TEST_KEY],
        pools: ['chat', 'orders'],
        ratePerSecond: 1000,
        maxConcurrent: 1000,
      },
      {
        id: 'acct-b',
        keys: [SECOND_ACCOUNT_KEY],
        pools: ['chat'],
        ratePerSecond: 1000,
        maxConcurrent: 1000,
      },
    ],
    pools: [
      {
        id: 'chat',
        kind: 'engine',
        resumable: options.resumable ?? true,
        targets: targets
          .filter(t => t.kind === 'engine')
          .map((t, i) => ({
            id: t.id,
            agent: `127.0.0.1:${agents[i].port}`,
            zone: 'az-1',
          })),
      },
      {
        id: 'orders',
        kind: 'plain',
        targets: targets
          .map((t, i) => ({t, i}))
          .filter(({t}) => t.kind === 'plain')
          .map(({t, i}) => ({
            id: t.id,
            agent: `127.0.0.1:${agents[i].port}`,
            zone: 'az-1',
          })),
      },
    ],
    rules: [{pool: 'orders', op: 'place-order', notRepeatable: true}],
  };
  const version = config.publish(record);
  const gate = await startTestGate(configUrl, version, {
    routing: options.routing,
    subsetSize: options.subsetSize,
    hostListUrl: `http://127.0.0.1:${readPort(hostList.server)}`,
    settings: options.gate,
  });
  const gateUrl = `http://127.0.0.1:${gate.port}`;
  return {
    gateUrl,
    gate,
    config,
    hostList,
    engines,
    plain,
    agents,
    restartAgent: async index => {
      const {port} = agents[index];
      agents[index].close();
      agents[index] = await startAgent(index, port, false);
      await waitForGate(gate, version);
    },
    record: {...record, version},
    close: async () => {
      gate.close();
      for (const agent of agents) agent.close();
      await Promise.all(
        [...engines, ...plain, config, hostList].map(s => s.close()),
      );
    },
  };
}

/** Headers that authenticate client account `acct-a`. */
export const TEST_AUTH = {authorization: `Bearer ${TEST_KEY}`};

/** Places a non-repeatable order with an Idempotency-Key. */
export function placeOrder(stack: Stack, key: string) {
  return postJson(
    `${stack.gateUrl}/v1/services/orders/place-order`,
    {sku: 'kit'},
    {...TEST_AUTH, 'idempotency-key': key},
  );
}

/** Counts the runs of the order with `key` at all plain services. */
export function countExecutions(stack: Stack, key: string): number {
  return stack.plain
    .flatMap(service => service.executions)
    .filter(execution => execution.ledgerKey === `acct-a:${key}`).length;
}

/**
 * Returns the index of the plain service that is the home of the order with
 * `key`.
 */
export function findHomeIndex(stack: Stack, key: string): number {
  const ids = stack.plain.map((_service, i) => `plain-${i + 1}`);
  return ids.indexOf(findHome(ids, `acct-a:${key}`) ?? '');
}

/** Reads a page of a gate's administration API. */
export async function readAdmin<T>(gate: Gate, page: string): Promise<T> {
  const response = await request(
    `http://127.0.0.1:${gate.adminPort}/v1/${page}`,
  );
  return (await response.body.json()) as T;
}

/** Reads which targets are usable according to the gate, by target id. */
export async function readTargetUsability(
  stack: Stack,
): Promise<Record<string, boolean>> {
  const {targets} = await readAdmin<{
    targets: Array<{id: string; usable: boolean}>;
  }>(stack.gate, 'targets');
  return Object.fromEntries(targets.map(t => [t.id, t.usable]));
}

/**
 * Publishes the stack's record with changed chat targets; returns the version.
 */
export function publishChatTargets(
  stack: Stack,
  change: (targets: readonly object[]) => readonly object[],
): number {
  const pools = (
    stack.record.pools as Array<{id: string; targets: readonly object[]}>
  ).map(pool =>
    pool.id === 'chat' ? {...pool, targets: change(pool.targets)} : pool,
  );
  return stack.config.publish({...stripVersion(stack.record), pools});
}

/**
 * Starts a gate that reads its configuration at `configUrl`, and waits until it
 * has applied record `version`.
 */
export async function startTestGate(
  configUrl: string,
  version: number,
  options: {
    readonly routing?: string;
    readonly hostListUrl?: string;
    readonly subsetSize?: number;
    readonly peers?: readonly string[];
    readonly settings?: Readonly<Record<string, unknown>>;
  } = {},
): Promise<Gate> {
  const gate = createGate(
    GateSettingsSchema.parse({
      id: 'gate-t',
      zone: 'az-1',
      listen: {port: 0},
      configService: {url: configUrl, waitMs: 2000},
      hostList:
        options.hostListUrl === undefined
          ? undefined
          : {url: options.hostListUrl, pollMs: 50},
      admin: {listen: {port: 0}},
      relay: {listen: {port: 0}, peers: options.peers, periodMs: 100},
      routing: {
        policy: options.routing ?? 'least-outstanding',
        heartbeatStaleMs: 10_000,
        subsetSize: options.subsetSize,
        acceptTimeoutMs: 300,
      },
      drainNoticeMs: 0,
      drainTimeoutMs: 10_000,
      ...options.settings,
    }),
  );
  await gate.start();
  await waitForGate(gate, version);
  return gate;
}

/**
 * Copies a published record without its `version`, so that the copy can be
 * published.
 */
export function stripVersion(
  record: Readonly<Record<string, unknown>>,
): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(record).filter(([key]) => key !== 'version'),
  );
}

/**
 * Polls `check` every 10 ms until it returns true; throws after `timeoutMs`.
 */
export async function waitUntil(
  check: () => boolean | Promise<boolean>,
  timeoutMs = 5000,
): Promise<void> {
  const timeoutAt = Date.now() + timeoutMs;
  while (!(await check())) {
    if (Date.now() > timeoutAt)
      throw new Error('condition not met before the timeout');
    await waitMs(10);
  }
}

/**
 * Streams a completion; calls `onChunk` after each text chunk with the number
 * of chunks so far.
 */
export async function streamCompletion(
  gateUrl: string,
  body: object,
  headers: Record<string, string>,
  onChunk: (count: number) => void = () => {},
  signal?: AbortSignal,
): Promise<{
  status: number;
  text: string;
  done: boolean;
  error?: {type: string; reason: string};
}> {
  const response = await request(`${gateUrl}/v1/completions`, {
    method: 'POST',
    headers: {'content-type': 'application/json', ...headers},
    body: JSON.stringify({...body, stream: true}),
    signal,
  });
  if (response.statusCode !== 200) {
    const error = (
      (await response.body.json()) as {error: {type: string; reason: string}}
    ).error;
    return {status: response.statusCode, text: '', done: false, error};
  }
  let text = '';
  let done = false;
  let error: {type: string; reason: string} | undefined;
  let count = 0;
  for await (const {event, data} of readSseEvents(response.body)) {
    if (event === 'error')
      error = (JSON.parse(data) as {error: typeof error}).error;
    else if (data === '[DONE]') done = true;
    else {
      text += (JSON.parse(data) as {choices: Array<{text: string}>}).choices[0]
        .text;
      onChunk(++count);
    }
  }
  return {status: 200, text, done, error};
}

/**
 * Renders the complete text that an engine stand-in with this letter generates
 * for `tokenCount` tokens.
 */
export function renderCompleteAnswer(tokenCount: number, letter = 't'): string {
  return Array.from({length: tokenCount}, (_, i) => ` ${letter}${i}`).join('');
}

/**
 * Waits until the gate has applied record `version` or a newer record and every
 * target is usable.
 */
export async function waitForGate(gate: Gate, version: number): Promise<void> {
  await waitUntil(async () => {
    const {record} = await readAdmin<{record: {version: number}}>(
      gate,
      'status',
    );
    const {targets} = await readAdmin<{targets: Array<{usable: boolean}>}>(
      gate,
      'targets',
    );
    return record.version >= version && targets.every(t => t.usable);
  }, 10_000);
}

/**
 * Posts JSON and returns status, headers and body of the response, parsed if it
 * is JSON.
 */
export async function postJson(
  url: string,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<{
  status: number;
  headers: Record<string, unknown>;
  // Tests read single fields of responses; a schema per response would only
  // repeat them.
  // eslint-disable-next-line @typescript-eslint/no-explicit-any
  body: any;
}> {
  const response = await request(url, {
    method: 'POST',
    headers: {'content-type': 'application/json', ...headers},
    body: JSON.stringify(body),
  });
  const text = await response.body.text();
  let parsed: unknown = text;
  try {
    parsed = JSON.parse(text);
  } catch {
    // Event streams and empty bodies are returned as text.
  }
  return {status: response.statusCode, headers: response.headers, body: parsed};
}
