/**
 * Slopes of the gate: memory by accounts and targets, and memory, processor
 * time and control bytes by links to agents, by requests and by streamed text.
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
import {
  REST_MS,
  STREAM_TOKENS,
  fitCalls,
  fitLinks,
  fitSparseCalls,
  fitStreams,
  measureStretch,
  sendAtRate,
} from './role-slopes.js';
import type {Slope} from './fit.js';
import type {Stretch} from './role-slopes.js';
import type {Platform} from './fixtures.js';
import type {Probe} from './probe.js';

const ACCOUNT_COUNTS = [100, 1000, 3700, 7400];
const TARGET_COUNTS = [1, 500, 1500, 3000];
const LINK_COUNTS = [1, 25, 100, 200];
/** Links and calls a second as at the size to design for. */
const SPARSE_LINKS = 100;
const SPARSE_RATES = [1, 2, 4, 8];
const CALL_RATES = [5, 20, 80, 160];

/** Starts a gate process on `platform`, with its administration API. */
export async function startGate(
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

/** Starts a gate with a link to each of `count` agents in this process. */
async function startLinkedGate(
  runDir: string,
  count: number,
  kind: 'plain' | 'engine' = 'plain',
) {
  const platform = await startPlatform();
  const url = kind === 'plain' ? platform.plainUrl : platform.engineUrl;
  const near = await startAgents(count, url, kind);
  const record =
    kind === 'plain'
      ? buildRecord(10, near.targets)
      : buildRecord(10, [], near.targets);
  platform.config.publish(record);
  const gate = await startGate(runDir, platform);
  await measureUntil(async () => {
    const targets = await gate.listTargets();
    return targets.length === count && targets.every(t => t.usable);
  });
  return {
    gate,
    readBytes: async () => sumControlBytes(await gate.readCounters()),
    close: async () => {
      near.close();
      await gate.stop();
      await platform.close();
    },
  };
}

/** Memory and the time to take a record in, by number of client accounts. */
async function measureAccounts(runDir: string): Promise<Slope[]> {
  const rss: Array<[number, number]> = [];
  const cpu: Array<[number, number]> = [];
  for (const accounts of ACCOUNT_COUNTS) {
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
  for (const targets of TARGET_COUNTS) {
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

function measureLinks(runDir: string): Promise<Slope[]> {
  return fitLinks('gate', LINK_COUNTS, async links => {
    const {gate, readBytes, close} = await startLinkedGate(runDir, links);
    const stretch = await measureStretch(gate, readBytes);
    const {rssMb} = await gate.readUsage();
    await close();
    return {...stretch, rssMb};
  });
}

async function post(port: number, path: string, body: string): Promise<void> {
  const response = await request(`http://${HOST}:${port}${path}`, {
    method: 'POST',
    headers: {authorization: `Bearer ${MEASURE_KEY}`},
    body,
  });
  await response.body.dump();
}

/** Runs `fit` on a gate with `links` links that is sent calls. */
async function measureCalls(
  runDir: string,
  links: number,
  fit: (measureAt: (rate: number) => Promise<Stretch>) => Promise<Slope>,
): Promise<Slope> {
  const {gate, readBytes, close} = await startLinkedGate(runDir, links);
  const path = '/v1/services/orders/read-stock';
  const slope = await fit(rate =>
    measureStretch(gate, readBytes, () =>
      sendAtRate(rate, () => post(gate.port, path, '{}')),
    ),
  );
  await close();
  return slope;
}

async function measureStreams(runDir: string): Promise<Slope[]> {
  const {gate, readBytes, close} = await startLinkedGate(runDir, 4, 'engine');
  const slopes = await fitStreams('gate', (rate, prompt) => {
    const body = JSON.stringify({
      model: 'chat',
      prompt,
      max_tokens: STREAM_TOKENS,
      stream: true,
    });
    return measureStretch(gate, readBytes, () =>
      sendAtRate(rate, () => post(gate.port, '/v1/completions', body)),
    );
  });
  await close();
  return slopes;
}

/** Measures every slope of the gate. */
export async function measureGate(runDir: string): Promise<readonly Slope[]> {
  return [
    ...(await measureAccounts(runDir)),
    ...(await measureTargets(runDir)),
    ...(await measureLinks(runDir)),
    await measureCalls(runDir, 8, at => fitCalls('gate', CALL_RATES, at)),
    await measureCalls(runDir, SPARSE_LINKS, at =>
      fitSparseCalls('gate', SPARSE_LINKS, SPARSE_RATES, at),
    ),
    ...(await measureStreams(runDir)),
  ];
}
