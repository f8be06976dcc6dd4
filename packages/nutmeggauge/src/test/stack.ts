/**
 * An in-process deployment for tests: stand-ins, agents and a gate in one
 * process on loopback ports picked by the system.
 */
import {request} from 'undici';
import {createAgent} from '@nutmeggauge/agent';
import {waitMs} from '@nutmeggauge/core';
import {createGate, GateSettingsSchema} from '@nutmeggauge/gate';
import {AgentSettingsSchema} from '@nutmeggauge/agent';
import {
  startConfigServiceStandIn,
  startEngineStandIn,
  startPlainServiceStandIn,
} from '@nutmeggauge/standins';
import type {Agent} from '@nutmeggauge/agent';
import type {Gate} from '@nutmeggauge/gate';
import type {
  ConfigServiceStandIn,
  EngineOptions,
  EngineStandIn,
  PlainServiceStandIn,
} from '@nutmeggauge/standins';

export const TEST_KEY = 'test-key-0001';
export const OTHER_KEY = 'test-key-0002';

export interface Stack {
  readonly gateUrl: string;
  readonly gate: Gate;
  readonly config: ConfigServiceStandIn;
  readonly engines: EngineStandIn[];
  readonly plain: PlainServiceStandIn[];
  readonly agents: Agent[];
  /** The record published at start, with version. */
  readonly record: Record<string, unknown>;
  close(): Promise<void>;
}

export interface StackOptions {
  readonly engines?: number;
  readonly plain?: number;
  readonly engine?: Partial<EngineOptions>;
  readonly routing?: string;
}

const portOf = (server: {address(): unknown}) =>
  (server.address() as {port: number}).port;

export async function startStack(options: StackOptions = {}): Promise<Stack> {
  const config = await startConfigServiceStandIn('127.0.0.1', 0);
  const engines = await Promise.all(
    Array.from({length: options.engines ?? 2}, (_, i) =>
      startEngineStandIn(
        {id: `engine-${i + 1}`, ...options.engine},
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
      url: `http://127.0.0.1:${portOf(e.server)}`,
    })),
    ...plain.map((p, i) => ({
      id: `plain-${i + 1}`,
      kind: 'plain' as const,
      url: `http://127.0.0.1:${portOf(p.server)}`,
    })),
  ];
  const agents = await Promise.all(
    targets.map(async t => {
      const agent = createAgent(
        AgentSettingsSchema.parse({
          id: t.id,
          zone: 'az-1',
          listen: {port: 0},
          target: {kind: t.kind, url: t.url},
          loadReportMs: 50,
        }),
      );
      await agent.start();
      return agent;
    }),
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
        keys: [OTHER_KEY],
        pools: ['chat'],
        ratePerSecond: 1000,
        maxConcurrent: 1000,
      },
    ],
    pools: [
      {
        id: 'chat',
        kind: 'engine',
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
  const configUrl = `http://127.0.0.1:${portOf(config.server)}`;
  const gate = await startTestGate(configUrl, version, options.routing);
  const gateUrl = `http://127.0.0.1:${gate.port}`;
  return {
    gateUrl,
    gate,
    config,
    engines,
    plain,
    agents,
    record: {...record, version},
    close: async () => {
      gate.close();
      for (const agent of agents) agent.close();
      await Promise.all([...engines, ...plain, config].map(s => s.close()));
    },
  };
}

/** Starts a gate on the configuration service at `configUrl` and waits for `version`. */
export async function startTestGate(
  configUrl: string,
  version: number,
  routing = 'least-outstanding',
): Promise<Gate> {
  const gate = createGate(
    GateSettingsSchema.parse({
      id: 'gate-t',
      zone: 'az-1',
      listen: {port: 0},
      configService: {url: configUrl, waitMs: 2000},
      routing: {policy: routing},
      drainTimeoutMs: 10_000,
    }),
  );
  await gate.start();
  await waitForGate(`http://127.0.0.1:${gate.port}`, version);
  return gate;
}

/** A copy of a published record without its `version`, ready to publish again. */
export function stripVersion(
  record: Readonly<Record<string, unknown>>,
): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(record).filter(([key]) => key !== 'version'),
  );
}

/** Polls `check` every 10 ms
 until it holds; fails after `timeoutMs`. */
export async function waitUntil(
  check: () => boolean | Promise<boolean>,
  timeoutMs = 5000,
): Promise<void> {
  const giveUpAt = Date.now() + timeoutMs;
  while (!(await check())) {
    if (Date.now() > giveUpAt) throw new Error('condition not reached');
    await waitMs(10);
  }
}

/** Streams a completion; calls `onPiece` after each piece with the count so far. */
export async function streamCompletion(
  gateUrl: string,
  body: object,
  headers: Record<string, string>,
  onPiece: (count: number) => void = () => {},
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
  let buffer = '';
  let text = '';
  let done = false;
  let error: {type: string; reason: string} | undefined;
  let count = 0;
  for await (const part of response.body) {
    buffer += part.toString();
    const blocks = buffer.split('\n\n');
    buffer = blocks.pop() ?? '';
    for (const block of blocks) {
      const data = block.slice(block.indexOf('data: ') + 6);
      if (block.startsWith('event: error'))
        error = (JSON.parse(data) as {error: typeof error}).error;
      else if (data === '[DONE]') done = true;
      else {
        text += (JSON.parse(data) as {choices: Array<{text: string}>})
          .choices[0].text;
        onPiece(++count);
      }
    }
  }
  return {status: 200, text, done, error};
}

/** The whole answer the engine stand-in gives for `n` tokens. */
export function renderWholeAnswer(n: number): string {
  return Array.from({length: n}, (_, i) => ` t${i}`).join('');
}

/** Waits until the gate has `version` and every target is usable. */
export async function waitForGate(
  gateUrl: string,
  version: number,
): Promise<void> {
  for (let i = 0; i < 400; i++) {
    try {
      const response = await request(`${gateUrl}/healthz`);
      const health = (await response.body.json()) as {
        configVersion: number;
        targets: Array<{usable: boolean}>;
      };
      if (
        health.configVersion >= version &&
        health.targets.every(t => t.usable)
      )
        return;
    } catch {
      // not listening yet
    }
    await waitMs(25);
  }
  throw new Error('gate not ready');
}

/** Posts JSON to the gate and returns status, headers and parsed body. */
export async function postJson(
  url: string,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<{
  status: number;
  headers: Record<string, unknown>;
  // Tests read answers field by field; a schema per answer would only restate them.
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
    // SSE or empty bodies stay text
  }
  return {status: response.statusCode, headers: response.headers, body: parsed};
}
