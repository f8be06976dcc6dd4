/**
 * Measures cost slopes of the gate: memory per account and target, and memory,
 * CPU time and control bytes per agent link, request and streamed chunk.
 */
import {request} from 'undici';
import {waitMs} from '@nutmeggauge/core';
import {findFreePorts} from '../cluster/ports.js';
import {fitSlope} from './fit.js';
import {
  HOST,
  MEASURE_API_KEY,
  buildUnreachableTargets,
  buildRecord,
  startAgents,
  startLocalStandIns,
  sumControlBytes,
} from './fixtures.js';
import {measureUntil, startMeasuredProcess} from './measured-process.js';
import {
  SETTLE_MS,
  STREAM_TOKENS,
  fitCalls,
  fitLinks,
  fitSparseCalls,
  fitStreams,
  measureInterval,
  sendAtRate,
} from './role-slopes.js';
import type {Slope} from './fit.js';
import type {IntervalUsage} from './role-slopes.js';
import type {LocalStandIns} from './fixtures.js';
import type {MeasuredProcess} from './measured-process.js';

const ACCOUNT_COUNTS = [100, 1000, 3700, 7400];
const TARGET_COUNTS = [1, 500, 1500, 3000];
const LINK_COUNTS = [1, 25, 100, 200];
/** Number of links of one gate at the design size. */
const SPARSE_LINKS = 100;
/** Call rates around that of one gate at the design size, in calls/s. */
const SPARSE_RATES = [1, 2, 4, 8];
const CALL_RATES = [5, 20, 80, 160];

/** Starts a gate process with an admin API, configured by `standIns`. */
export async function startGate(
  runDir: string,
  standIns: LocalStandIns,
  routing: Readonly<Record<string, unknown>> = {},
): Promise<MeasuredProcess> {
  const [port, adminPort] = await findFreePorts(2);
  return startMeasuredProcess('gate', runDir, {
    id: 'gate-m',
    zone: 'az-1',
    listen: {host: HOST, port},
    admin: {listen: {host: HOST, port: adminPort}},
    configService: {url: standIns.configUrl},
    routing,
  });
}

/** Starts a gate process linked to `count` agents inside this process. */
async function startLinkedGate(
  runDir: string,
  count: number,
  kind: 'plain' | 'engine' = 'plain',
) {
  const standIns = await startLocalStandIns();
  const url = kind === 'plain' ? standIns.plainUrl : standIns.engineUrl;
  const localAgents = await startAgents(count, url, kind);
  const record =
    kind === 'plain'
      ? buildRecord(10, localAgents.targets)
      : buildRecord(10, [], localAgents.targets);
  standIns.config.publish(record);
  const gate = await startGate(runDir, standIns);
  await measureUntil(async () => {
    const targets = await gate.listTargets();
    return targets.length === count && targets.every(t => t.usable);
  });
  return {
    gate,
    readBytes: async () => sumControlBytes(await gate.readCounters()),
    close: async () => {
      localAgents.close();
      await gate.stop();
      await standIns.close();
    },
  };
}

/** Measures memory and the CPU time to apply a record, by client accounts. */
async function measureAccounts(runDir: string): Promise<Slope[]> {
  const rss: Array<[number, number]> = [];
  const cpu: Array<[number, number]> = [];
  for (const accounts of ACCOUNT_COUNTS) {
    const standIns = await startLocalStandIns();
    const gate = await startGate(runDir, standIns);
    await waitMs(SETTLE_MS);
    const before = await gate.readUsage();
    const version = standIns.config.publish(buildRecord(accounts, []));
    await measureUntil(async () => (await gate.readVersion()) === version);
    await waitMs(SETTLE_MS);
    const after = await gate.readUsage();
    rss.push([accounts, after.rssMb]);
    cpu.push([accounts, after.cpuMs - before.cpuMs]);
    await gate.stop();
    await standIns.close();
  }
  return [
    fitSlope('gate.rss_mb_by_accounts', 'client accounts', 'MB', rss),
    fitSlope('gate.record_cpu_ms_by_accounts', 'client accounts', 'ms', cpu),
  ];
}

/**
 * Measures memory by number of targets that a gate knows but has no link to.
 */
async function measureTargets(runDir: string): Promise<Slope[]> {
  const rss: Array<[number, number]> = [];
  for (const targets of TARGET_COUNTS) {
    const standIns = await startLocalStandIns();
    standIns.config.publish(buildRecord(10, buildUnreachableTargets(targets)));
    const gate = await startGate(runDir, standIns, {subsetSize: 1});
    await waitMs(SETTLE_MS * 2);
    rss.push([targets, (await gate.readUsage()).rssMb]);
    await gate.stop();
    await standIns.close();
  }
  return [fitSlope('gate.rss_mb_by_targets', 'targets', 'MB', rss)];
}

function measureLinks(runDir: string): Promise<Slope[]> {
  return fitLinks('gate', LINK_COUNTS, async links => {
    const {gate, readBytes, close} = await startLinkedGate(runDir, links);
    const interval = await measureInterval(gate, readBytes);
    const {rssMb} = await gate.readUsage();
    await close();
    return {...interval, rssMb};
  });
}

async function post(port: number, path: string, body: string): Promise<void> {
  const response = await request(`http://${HOST}:${port}${path}`, {
    method: 'POST',
    headers: {authorization: `Bearer ${MEASURE_API_KEY}`},
    body,
  });
  await response.body.dump();
}

/** Runs `fit` on a gate that receives calls and has `links` agent links. */
async function measureCalls(
  runDir: string,
  links: number,
  fit: (measureAt: (rate: number) => Promise<IntervalUsage>) => Promise<Slope>,
): Promise<Slope> {
  const {gate, readBytes, close} = await startLinkedGate(runDir, links);
  const path = '/v1/services/orders/read-stock';
  const slope = await fit(rate =>
    measureInterval(gate, readBytes, () =>
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
    return measureInterval(gate, readBytes, () =>
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
