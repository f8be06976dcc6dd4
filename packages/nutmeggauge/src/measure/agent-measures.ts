/**
 * Slopes of the agent: memory, idle processor time and control bytes by
 * links to gates, processor time by requests, memory by keys in the ledger.
 */
import {v7 as uuidv7} from 'uuid';
import {RpcMethod, waitMs} from '@nutmeggauge/core';
import {findFreePorts} from '../cluster/ports.js';
import {fitSlope} from './fit.js';
import {
  HOST,
  openGateLinks,
  startPlatform,
  sumControlBytes,
} from './fixtures.js';
import {startProbe} from './probe.js';
import type {DispatchRequest, RpcLink} from '@nutmeggauge/core';
import type {Slope} from './fit.js';
import type {Platform} from './fixtures.js';
import type {Probe} from './probe.js';

const REST_MS = 2000;
const IDLE_MS = 6000;
const LOAD_MS = 6000;
const CALL_WINDOW_MS = 60_000;

async function startAgentProbe(
  runDir: string,
  platform: Platform,
): Promise<Probe> {
  const [port] = await findFreePorts(1);
  return startProbe('agent', runDir, {
    id: 'agent-m',
    zone: 'az-1',
    listen: {host: HOST, port},
    target: {kind: 'plain', url: platform.plainUrl},
    configService: {url: platform.configUrl},
    ledger: {bootstrap: true},
  });
}

let nextCall = 1;

function buildCall(keyed: boolean): DispatchRequest {
  const requestId = `m-${nextCall++}`;
  return {
    requestId,
    account: 'a',
    pool: 'orders',
    kind: 'call',
    op: keyed ? 'place-order' : 'read-stock',
    args: {},
    deadlineAt: Date.now() + CALL_WINDOW_MS,
    notRepeatable: keyed,
    ledgerKey: keyed ? `a:${uuidv7()}` : undefined,
    keyed,
    keyMintedAt: keyed ? Date.now() : undefined,
    recordVersion: 0,
    attempt: 1,
  };
}

/** Memory, idle processor time and control bytes by links to gates. */
async function measureLinks(runDir: string): Promise<Slope[]> {
  const rss: Array<[number, number]> = [];
  const cpu: Array<[number, number]> = [];
  const bytes: Array<[number, number]> = [];
  for (const count of [1, 10, 50, 150]) {
    const platform = await startPlatform();
    const agent = await startAgentProbe(runDir, platform);
    const gates = await openGateLinks(count, agent.port);
    await waitMs(REST_MS);
    const before = sumControlBytes(gates.counters.read());
    cpu.push([count, await agent.measureCoreShare(IDLE_MS)]);
    const after = sumControlBytes(gates.counters.read());
    bytes.push([count, (after - before) / (IDLE_MS / 1000)]);
    rss.push([count, (await agent.readUsage()).rssMb]);
    gates.close();
    await agent.stop();
    await platform.close();
  }
  return [
    fitSlope('agent.rss_mb_by_links', 'links to gates', 'MB', rss),
    fitSlope(
      'agent.idle_core_percent_by_links',
      'links to gates',
      '% of a core',
      cpu,
    ),
    fitSlope('agent.control_bytes_s_by_links', 'idle links', 'bytes/s', bytes),
  ];
}

async function callAtRate(
  links: readonly RpcLink[],
  ratePerSecond: number,
  ms: number,
): Promise<void> {
  const total = Math.round((ratePerSecond * ms) / 1000);
  await Promise.all(
    Array.from({length: total}, async (_, i) => {
      await waitMs((i * 1000) / ratePerSecond);
      await links[i % links.length].call(RpcMethod.dispatch, buildCall(false));
    }),
  );
}

/** Processor time and control bytes by requests a second, over eight links. */
async function measureRequests(runDir: string): Promise<Slope[]> {
  const cpu: Array<[number, number]> = [];
  const bytes: Array<[number, number]> = [];
  const platform = await startPlatform();
  const agent = await startAgentProbe(runDir, platform);
  const gates = await openGateLinks(8, agent.port);
  for (const rate of [1, 10, 40, 120]) {
    await waitMs(REST_MS);
    const before = sumControlBytes(gates.counters.read());
    const [share] = await Promise.all([
      agent.measureCoreShare(LOAD_MS),
      callAtRate(gates.links, rate, LOAD_MS),
    ]);
    const after = sumControlBytes(gates.counters.read());
    cpu.push([rate, share]);
    bytes.push([rate, (after - before) / (LOAD_MS / 1000)]);
  }
  gates.close();
  await agent.stop();
  await platform.close();
  return [
    fitSlope(
      'agent.core_percent_by_calls_s',
      'plain calls a second',
      '% of a core',
      cpu,
    ),
    fitSlope(
      'agent.control_bytes_s_by_calls_s',
      'plain calls a second (8 links)',
      'bytes/s',
      bytes,
    ),
  ];
}

/** Tokens of each streamed answer. */
const STREAM_TOKENS = 100;

/** Processor time by streamed pieces a second, and by prompt text a second. */
async function measureStreams(runDir: string): Promise<Slope[]> {
  const platform = await startPlatform();
  const [port] = await findFreePorts(1);
  const agent = await startProbe('agent', runDir, {
    id: 'agent-m',
    zone: 'az-1',
    listen: {host: HOST, port},
    target: {kind: 'engine', url: platform.engineUrl},
  });
  const gates = await openGateLinks(4, port);
  const measure = async (ratePerSecond: number, promptChars: number) => {
    await waitMs(REST_MS);
    const prompt = 'p'.repeat(promptChars);
    const total = Math.round((ratePerSecond * LOAD_MS) / 1000);
    const sends = Array.from({length: total}, async (_, i) => {
      await waitMs((i * 1000) / ratePerSecond);
      await gates.links[i % gates.links.length].call(RpcMethod.dispatch, {
        ...buildCall(false),
        kind: 'generate',
        prompt,
        maxTokens: STREAM_TOKENS,
      });
    });
    const [share] = await Promise.all([
      agent.measureCoreShare(LOAD_MS),
      Promise.all(sends),
    ]);
    return share;
  };
  const byPieces: Array<[number, number]> = [];
  for (const rate of [1, 5, 15, 30])
    byPieces.push([rate * STREAM_TOKENS, await measure(rate, 400)]);
  const byPrompt: Array<[number, number]> = [];
  for (const kb of [1, 100, 400, 1000])
    byPrompt.push([kb * 2, await measure(2, kb * 1000)]);
  gates.close();
  await agent.stop();
  await platform.close();
  return [
    fitSlope(
      'agent.core_percent_by_pieces_s',
      'streamed pieces a second',
      '% of a core',
      byPieces,
    ),
    fitSlope(
      'agent.core_percent_by_prompt_kb_s',
      'prompt text, KB a second',
      '% of a core',
      byPrompt,
    ),
  ];
}

/** Memory by keys in the ledger. */
async function measureLedger(runDir: string): Promise<Slope[]> {
  const rss: Array<[number, number]> = [];
  const platform = await startPlatform();
  const agent = await startAgentProbe(runDir, platform);
  const gates = await openGateLinks(1, agent.port);
  let held = 0;
  for (const keys of [0, 5000, 15_000, 30_000]) {
    while (held < keys) {
      const batch = Math.min(40, keys - held);
      await Promise.all(
        Array.from({length: batch}, () =>
          gates.links[0].call(RpcMethod.dispatch, buildCall(true)),
        ),
      );
      held += batch;
    }
    await waitMs(REST_MS);
    rss.push([keys, (await agent.readUsage()).rssMb]);
  }
  gates.close();
  await agent.stop();
  await platform.close();
  return [
    fitSlope('agent.rss_mb_by_ledger_keys', 'keys in the ledger', 'MB', rss),
  ];
}

/** Measures every slope of the agent. */
export async function measureAgent(runDir: string): Promise<readonly Slope[]> {
  return [
    ...(await measureLinks(runDir)),
    ...(await measureRequests(runDir)),
    ...(await measureStreams(runDir)),
    ...(await measureLedger(runDir)),
  ];
}
