/**
 * Slopes of the gate: memory by accounts, targets and links; processor time
 * by links and requests; control bytes by links; and how soon it stops
 * routing to a target that leaves or freezes.
 */
import {request} from 'undici';
import {waitMs} from '@nutmeggauge/core';
import {findFreePorts} from '../cluster/ports.js';
import {fitSlope} from './fit.js';
import {
  HOST,
  MEASURE_KEY,
  buildFarTargets,
  buildRecord,
  startAgents,
  startPlatform,
  sumControlBytes,
} from './fixtures.js';
import {measureUntil, startProbe} from './probe.js';
import type {Slope} from './fit.js';
import type {Platform} from './fixtures.js';
import type {Probe} from './probe.js';

/** Time that a process rests before it is measured, in ms. */
const REST_MS = 2000;
const IDLE_MS = 6000;
const LOAD_MS = 6000;

async function startGate(
  runDir: string,
  platform: Platform,
  routing: Readonly<Record<string, unknown>> = {},
): Promise<Probe> {
  const [port, adminPort] = await findFreePorts(2);
  return startProbe('gate', runDir, {
    id: 'gate-m',
    zone: 'az-1',
    listen: {host: HOST, port},
    admin: {listen: {host: HOST, port: adminPort}},
    configService: {url: platform.configUrl},
    routing,
  });
}

/** Memory and the time to take a record in, by number of client accounts. */
async function measureAccounts(runDir: string): Promise<Slope[]> {
  const rss: Array<[number, number]> = [];
  const cpu: Array<[number, number]> = [];
  for (const accounts of [100, 1000, 3700, 7400]) {
    const platform = await startPlatform();
    const gate = await startGate(runDir, platform);
    await waitMs(REST_MS);
    const before = await gate.readUsage();
    const version = platform.config.publish(buildRecord(accounts, []));
    await measureUntil(async () => (await gate.readVersion()) === version);
    await waitMs(REST_MS);
    const after = await gate.readUsage();
    rss.push([accounts, after.rssMb]);
    cpu.push([accounts, after.cpuMs - before.cpuMs]);
    await gate.stop();
    await platform.close();
  }
  return [
    fitSlope('gate.rss_mb_by_accounts', 'client accounts', 'MB', rss),
    fitSlope('gate.record_cpu_ms_by_accounts', 'client accounts', 'ms', cpu),
  ];
}

/** Memory by targets that the record lists but the gate keeps no link to. */
async function measureTargets(runDir: string): Promise<Slope[]> {
  const rss: Array<[number, number]> = [];
  for (const targets of [1, 500, 1500, 3000]) {
    const platform = await startPlatform();
    platform.config.publish(buildRecord(10, buildFarTargets(targets)));
    const gate = await startGate(runDir, platform, {subsetSize: 1});
    await waitMs(REST_MS * 2);
    rss.push([targets, (await gate.readUsage()).rssMb]);
    await gate.stop();
    await platform.close();
  }
  return [fitSlope('gate.rss_mb_by_targets', 'targets', 'MB', rss)];
}

/** Memory, idle processor time and control bytes by links to agents. */
async function measureLinks(runDir: string): Promise<Slope[]> {
  const rss: Array<[number, number]> = [];
  const cpu: Array<[number, number]> = [];
  const bytes: Array<[number, number]> = [];
  for (const links of [1, 25, 100, 200]) {
    const platform = await startPlatform();
    const near = await startAgents(links, platform.plainUrl);
    platform.config.publish(buildRecord(10, near.targets));
    const gate = await startGate(runDir, platform);
    await measureUntil(async () => {
      const targets = await gate.listTargets();
      return targets.length === links && targets.every(t => t.usable);
    });
    await waitMs(REST_MS);
    const before = sumControlBytes(await gate.readCounters());
    cpu.push([links, await gate.measureCoreShare(IDLE_MS)]);
    const after = sumControlBytes(await gate.readCounters());
    bytes.push([links, (after - before) / (IDLE_MS / 1000)]);
    rss.push([links, (await gate.readUsage()).rssMb]);
    near.close();
    await gate.stop();
    await platform.close();
  }
  return [
    fitSlope('gate.rss_mb_by_links', 'links to agents', 'MB', rss),
    fitSlope(
      'gate.idle_core_percent_by_links',
      'links to agents',
      '% of a core',
      cpu,
    ),
    fitSlope('gate.control_bytes_s_by_links', 'idle links', 'bytes/s', bytes),
  ];
}

/** Processor time and control bytes by requests a second, over eight links. */
async function measureRequests(runDir: string): Promise<Slope[]> {
  const cpu: Array<[number, number]> = [];
  const bytes: Array<[number, number]> = [];
  const platform = await startPlatform();
  const near = await startAgents(8, platform.plainUrl);
  platform.config.publish(buildRecord(10, near.targets));
  const gate = await startGate(runDir, platform);
  await measureUntil(async () => {
    const targets = await gate.listTargets();
    return targets.length === 8 && targets.every(t => t.usable);
  });
  for (const rate of [5, 20, 80, 160]) {
    await waitMs(REST_MS);
    const before = sumControlBytes(await gate.readCounters());
    const [share] = await Promise.all([
      gate.measureCoreShare(LOAD_MS),
      sendCalls(gate.port, rate, LOAD_MS),
    ]);
    const after = sumControlBytes(await gate.readCounters());
    cpu.push([rate, share]);
    bytes.push([rate, (after - before) / (LOAD_MS / 1000)]);
  }
  near.close();
  await gate.stop();
  await platform.close();
  return [
    fitSlope(
      'gate.core_percent_by_calls_s',
      'plain calls a second',
      '% of a core',
      cpu,
    ),
    fitSlope(
      'gate.control_bytes_s_by_calls_s',
      'plain calls a second (8 links)',
      'bytes/s',
      bytes,
    ),
  ];
}

async function sendCalls(
  port: number,
  ratePerSecond: number,
  ms: number,
): Promise<void> {
  const total = Math.round((ratePerSecond * ms) / 1000);
  await Promise.all(
    Array.from({length: total}, async (_, i) => {
      await waitMs((i * 1000) / ratePerSecond);
      const response = await request(
        `http://${HOST}:${port}/v1/services/orders/read-stock`,
        {
          method: 'POST',
          headers: {authorization: `Bearer ${MEASURE_KEY}`},
          body: '{}',
        },
      );
      await response.body.dump();
    }),
  );
}

/** Tokens of each streamed answer. */
const STREAM_TOKENS = 100;

/** Starts a gate before four engines' agents, ready to stream. */
async function startStreaming(runDir: string) {
  const platform = await startPlatform();
  const near = await startAgents(4, platform.engineUrl, 'engine');
  platform.config.publish(buildRecord(1, [], near.targets));
  const gate = await startGate(runDir, platform);
  await measureUntil(async () => {
    const targets = await gate.listTargets();
    return targets.length === 4 && targets.every(t => t.usable);
  });
  return {
    gate,
    close: async () => {
      near.close();
      await gate.stop();
      await platform.close();
    },
  };
}

/** Processor time by streamed pieces a second, and by prompt text a second. */
async function measureStreams(runDir: string): Promise<Slope[]> {
  const {gate, close} = await startStreaming(runDir);
  const measure = async (ratePerSecond: number, promptChars: number) => {
    await waitMs(REST_MS);
    const [share] = await Promise.all([
      gate.measureCoreShare(LOAD_MS),
      sendStreams(gate.port, ratePerSecond, 'p'.repeat(promptChars)),
    ]);
    return share;
  };
  const byPieces: Array<[number, number]> = [];
  for (const rate of [1, 5, 15, 30])
    byPieces.push([rate * STREAM_TOKENS, await measure(rate, 400)]);
  const byPrompt: Array<[number, number]> = [];
  for (const kb of [1, 100, 400, 1000])
    byPrompt.push([kb * 2, await measure(2, kb * 1000)]);
  await close();
  return [
    fitSlope(
      'gate.core_percent_by_pieces_s',
      'streamed pieces a second',
      '% of a core',
      byPieces,
    ),
    fitSlope(
      'gate.core_percent_by_prompt_kb_s',
      'prompt text, KB a second',
      '% of a core',
      byPrompt,
    ),
  ];
}

async function sendStreams(
  port: number,
  ratePerSecond: number,
  prompt: string,
): Promise<void> {
  const total = Math.round((ratePerSecond * LOAD_MS) / 1000);
  const body = JSON.stringify({
    model: 'chat',
    prompt,
    max_tokens: STREAM_TOKENS,
    stream: true,
  });
  await Promise.all(
    Array.from({length: total}, async (_, i) => {
      await waitMs((i * 1000) / ratePerSecond);
      const response = await request(`http://${HOST}:${port}/v1/completions`, {
        method: 'POST',
        headers: {authorization: `Bearer ${MEASURE_KEY}`},
        body,
      });
      await response.body.dump();
    }),
  );
}

/** Measures every slope of the gate. */
export async function measureGate(runDir: string): Promise<readonly Slope[]> {
  return [
    ...(await measureAccounts(runDir)),
    ...(await measureTargets(runDir)),
    ...(await measureLinks(runDir)),
    ...(await measureRequests(runDir)),
    ...(await measureStreams(runDir)),
  ];
}

/** How soon a gate stops routing to a target, in ms. */
export interface LeavingBounds {
  /** After its agent began to drain. */
  readonly drainMs: number;
  /** After its agent was paused (SIGSTOP). */
  readonly freezeMs: number;
  /** After its agent was killed (SIGKILL). */
  readonly killMs: number;
}

/** Measures how soon a gate stops routing to a target that goes. */
export async function measureLeaving(runDir: string): Promise<LeavingBounds> {
  const platform = await startPlatform();
  const ports = await findFreePorts(3);
  const agents = await Promise.all(
    ports.map((port, i) =>
      startProbe('agent', runDir, {
        id: `t-${i}`,
        zone: 'az-1',
        listen: {host: HOST, port},
        target: {kind: 'plain', url: platform.plainUrl},
        ledger: {bootstrap: true},
      }),
    ),
  );
  const targets = ports.map((port, i) => ({
    id: `t-${i}`,
    agent: `${HOST}:${port}`,
    zone: 'az-1',
  }));
  platform.config.publish(buildRecord(1, targets));
  const gate = await startGate(runDir, platform);
  const isUsable = async (id: string) =>
    (await gate.listTargets()).find(t => t.id === id)?.usable === true;
  await measureUntil(async () =>
    (await Promise.all(targets.map(t => isUsable(t.id)))).every(Boolean),
  );
  const measure = (index: number, signal: NodeJS.Signals) => {
    agents[index].signal(signal);
    return measureUntil(async () => !(await isUsable(`t-${index}`)));
  };
  const bounds = {
    drainMs: await measure(0, 'SIGTERM'),
    freezeMs: await measure(1, 'SIGSTOP'),
    killMs: await measure(2, 'SIGKILL'),
  };
  await Promise.all([...agents, gate].map(probe => probe.stop()));
  await platform.close();
  return bounds;
}
