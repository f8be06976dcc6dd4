/**
 * Figures of the configuration watch: how soon a change is in force at every
 * reader, how many reads that costs the service, and how many bytes a change
 * costs a reader.
 */
import {request} from 'undici';
import {createConfigWatcher, createCounters, waitMs} from '@nutmeggauge/core';
import {fitSlope} from './fit.js';
import {buildFarTargets, buildRecord, startPlatform} from './fixtures.js';
import {measureUntil} from './probe.js';
import type {Slope} from './fit.js';

const CHANGES = 10;
const WATCH_MS = 25_000;
const IDLE_MS = 10_000;

/** Milliseconds from a change's publication until every reader holds it. */
async function measureInForce(): Promise<Slope[]> {
  const inForce: Array<[number, number]> = [];
  const reads: Array<[number, number]> = [];
  for (const readers of [50, 350, 1000, 1850]) {
    const platform = await startPlatform();
    platform.config.publish(buildRecord(1, buildFarTargets(60)));
    const watchers = Array.from({length: readers}, () =>
      createConfigWatcher({
        url: platform.configUrl,
        counters: createCounters(),
        waitMs: WATCH_MS,
        sections: ['pools'],
      }),
    );
    for (const watcher of watchers) watcher.start();
    const waitForAll = (version: number) =>
      measureUntil(() => watchers.every(w => w.version >= version));
    await waitForAll(1);
    const took: number[] = [];
    for (let i = 0; i < CHANGES; i++) {
      const targets = buildFarTargets(60 + i);
      took.push(
        await waitForAll(platform.config.publish(buildRecord(1, targets))),
      );
      await waitMs(200);
    }
    inForce.push([readers, Math.max(...took)]);
    const before = platform.config.calls();
    await waitMs(IDLE_MS);
    const idle = (platform.config.calls() - before) / (IDLE_MS / 1000);
    // Within the pause some watches may not come round; the bound is exact.
    reads.push([readers, Math.max(idle, readers / (WATCH_MS / 1000))]);
    for (const watcher of watchers) watcher.stop();
    await platform.close();
  }
  return [
    fitSlope(
      'config.in_force_ms_by_readers',
      'readers',
      'ms, slowest of ten changes',
      inForce,
    ),
    fitSlope(
      'config.reads_s_by_readers',
      'readers',
      'reads/s without changes',
      reads,
    ),
  ];
}

async function readBytes(url: string, query: string): Promise<number> {
  const response = await request(`${url}/v1/records/current?${query}`);
  return (await response.body.text()).length;
}

/** Bytes of a whole record, and of the change of one account. */
async function measureBytes(): Promise<Slope[]> {
  const whole: Array<[number, number]> = [];
  const delta: Array<[number, number]> = [];
  const pools: Array<[number, number]> = [];
  for (const accounts of [100, 1000, 3700, 7400]) {
    const platform = await startPlatform();
    const targets = buildFarTargets(1500);
    platform.config.publish(buildRecord(accounts, targets));
    platform.config.publish(buildRecord(accounts + 1, targets));
    whole.push([accounts, await readBytes(platform.configUrl, 'after=0')]);
    delta.push([accounts, await readBytes(platform.configUrl, 'after=1')]);
    pools.push([
      accounts,
      await readBytes(platform.configUrl, 'after=1&sections=pools'),
    ]);
    await platform.close();
  }
  return [
    fitSlope(
      'config.record_bytes_by_accounts',
      'client accounts (1,500 targets)',
      'bytes',
      whole,
    ),
    fitSlope(
      'config.gate_delta_bytes_by_accounts',
      'client accounts',
      'bytes a change',
      delta,
    ),
    fitSlope(
      'config.agent_delta_bytes_by_accounts',
      'client accounts',
      'bytes a change',
      pools,
    ),
  ];
}

/** Measures every figure of the configuration watch. */
export async function measureConfig(): Promise<readonly Slope[]> {
  return [...(await measureInForce()), ...(await measureBytes())];
}
