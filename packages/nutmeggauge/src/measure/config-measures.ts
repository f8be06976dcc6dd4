/**
 * Measures the configuration watch: the time until a change is in force at
 * every reader, the read rate at the configuration service, and the bytes that
 * a reader downloads per change.
 */
import {request} from 'undici';
import {createConfigWatcher, createCounters, waitMs} from '@nutmeggauge/core';
import {fitSlope} from './fit.js';
import {
  buildUnreachableTargets,
  buildRecord,
  startLocalStandIns,
} from './fixtures.js';
import {measureUntil} from './measured-process.js';
import type {Slope} from './fit.js';

const CHANGE_COUNT = 10;
const WATCH_MS = 25_000;
const IDLE_MS = 10_000;

/**
 * Measures the time from publishing a change until every reader has it, and the
 * read rate without changes, by number of readers.
 */
async function measurePropagation(): Promise<Slope[]> {
  const propagationMs: Array<[number, number]> = [];
  const readRates: Array<[number, number]> = [];
  for (const readers of [50, 350, 1000, 1850]) {
    const standIns = await startLocalStandIns();
    standIns.config.publish(buildRecord(1, buildUnreachableTargets(60)));
    const watchers = Array.from({length: readers}, () =>
      createConfigWatcher({
        url: standIns.configUrl,
        counters: createCounters(),
        waitMs: WATCH_MS,
        sections: ['pools'],
      }),
    );
    for (const watcher of watchers) watcher.start();
    const waitForAll = (version: number) =>
      measureUntil(() => watchers.every(w => w.version >= version));
    await waitForAll(1);
    const durationsMs: number[] = [];
    for (let i = 0; i < CHANGE_COUNT; i++) {
      const targets = buildUnreachableTargets(60 + i);
      durationsMs.push(
        await waitForAll(standIns.config.publish(buildRecord(1, targets))),
      );
      await waitMs(200);
    }
    propagationMs.push([readers, Math.max(...durationsMs)]);
    const before = standIns.config.calls();
    await waitMs(IDLE_MS);
    const idleReadsPerSecond =
      (standIns.config.calls() - before) / (IDLE_MS / 1000);
    // Watches may last longer than the idle interval, so that too few reads are
    // counted; readers / WATCH_MS is the exact lower bound.
    readRates.push([
      readers,
      Math.max(idleReadsPerSecond, readers / (WATCH_MS / 1000)),
    ]);
    for (const watcher of watchers) watcher.stop();
    await standIns.close();
  }
  return [
    fitSlope(
      'config.in_force_ms_by_readers',
      'readers',
      'ms, slowest of ten changes',
      propagationMs,
    ),
    fitSlope(
      'config.reads_s_by_readers',
      'readers',
      'reads/s without changes',
      readRates,
    ),
  ];
}

async function fetchRecordSize(url: string, query: string): Promise<number> {
  const response = await request(`${url}/v1/records/current?${query}`);
  return (await response.body.text()).length;
}

/** Measures the size of a full record and of the delta for one new account. */
async function measureRecordSizes(): Promise<Slope[]> {
  const fullBytes: Array<[number, number]> = [];
  const deltaBytes: Array<[number, number]> = [];
  const pools: Array<[number, number]> = [];
  for (const accounts of [100, 1000, 3700, 7400]) {
    const standIns = await startLocalStandIns();
    const targets = buildUnreachableTargets(1500);
    standIns.config.publish(buildRecord(accounts, targets));
    standIns.config.publish(buildRecord(accounts + 1, targets));
    fullBytes.push([
      accounts,
      await fetchRecordSize(standIns.configUrl, 'after=0'),
    ]);
    deltaBytes.push([
      accounts,
      await fetchRecordSize(standIns.configUrl, 'after=1'),
    ]);
    pools.push([
      accounts,
      await fetchRecordSize(standIns.configUrl, 'after=1&sections=pools'),
    ]);
    await standIns.close();
  }
  return [
    fitSlope(
      'config.record_bytes_by_accounts',
      'client accounts (1,500 targets)',
      'bytes',
      fullBytes,
    ),
    fitSlope(
      'config.gate_delta_bytes_by_accounts',
      'client accounts',
      'bytes a change',
      deltaBytes,
    ),
    fitSlope(
      'config.agent_delta_bytes_by_accounts',
      'client accounts',
      'bytes a change',
      pools,
    ),
  ];
}

/** Measures every slope of the configuration watch. */
export async function measureConfig(): Promise<readonly Slope[]> {
  return [...(await measurePropagation()), ...(await measureRecordSizes())];
}
