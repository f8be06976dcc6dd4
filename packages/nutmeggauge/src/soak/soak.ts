/**
 * Fault soak: gates as processes, random faults, and invariants checked from
 * what callers and targets saw.
 */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {STANDIN_KINDS} from '@nutmeggauge/platform';
import {Caller} from './callers.js';
import {findViolations} from './check.js';
import {buildSchedule} from './schedule.js';
import {SoakWorld} from './soak-world.js';
import type {Violation} from './violation.js';
import type {CallerRecord, PlayedFault, SoakHistory} from './history.js';
import type {ScheduledFault} from './schedule.js';

/** Number of callers, and the time between two requests of each, in ms. */
const CALLERS = 12;
const REQUEST_EVERY_MS = 200;

/** Time for the gates to start before the load, in ms. */
const START_MS = 1500;

/** Time after the last request, in ms: above every KV lease. */
const SETTLE_MS = 4500;

/** How often memory is sampled, in ms. */
const MEMORY_EVERY_MS = 1000;

/** Idle timeout of the gates, in ms, and a shorter one than a suspension. */
const IDLE_MS = 15_000;
const SHORT_IDLE_MS = 2000;

/** Options of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly gates: number;
  readonly targets: number;
  /** Length of the load, in ms. */
  readonly lengthMs: number;
  /** Returns of the store from an older copy. */
  readonly restores: number;
  /** Gates that are told to stop or killed around a suspension. */
  readonly gateStops: number;
  /** Also checks invariants with a time bound. */
  readonly hasTiming: boolean;
  /** Folder for settings and logs of the gates. */
  readonly runDir: string;
}

/** Result of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly faults: number;
  readonly violations: readonly Violation[];
}

/**
 * Runs one seed.
 *
 * @example
 * const {violations} = await runSoak({seed: 7, gates: 3, targets: 6, lengthMs: 12_000, restores: 2, gateStops: 2, hasTiming: true, runDir: 'runs/soak-7'});
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const idleTimeoutMs = options.gateStops > 0 ? SHORT_IDLE_MS : IDLE_MS;
  const {runDir, gates, targets} = options;
  const world = new SoakWorld(runDir, gates, targets, idleTimeoutMs);
  await world.start();
  try {
    await sleep(START_MS);
    const history = await runLoad(world, options, idleTimeoutMs);
    const violations = findViolations(history, options.hasTiming);
    writeHistory(options.runDir, history, violations);
    return {
      seed: options.seed,
      requests: history.records.length,
      served: history.records.filter(({status}) => status === 200).length,
      faults: history.faults.length,
      violations,
    };
  } finally {
    await world.close();
  }
}

async function runLoad(
  world: SoakWorld,
  options: SoakOptions,
  idleTimeoutMs: number,
): Promise<SoakHistory> {
  const startedAt = performance.now();
  const endsAt = startedAt + options.lengthMs;
  const sampler = setInterval(() => void world.sampleMemory(), MEMORY_EVERY_MS);
  const faults = Promise.all(
    buildSchedule(options.seed, options).map(fault =>
      runFault(world, startedAt, fault),
    ),
  );
  const records = await Promise.all(
    Array.from({length: CALLERS}, (_, i) =>
      runCaller(world, i, endsAt, new Caller(`c${i}`, idleTimeoutMs)),
    ),
  );
  const endedAt = performance.now();
  clearInterval(sampler);
  await sleep(SETTLE_MS);
  return {
    startedAt,
    endedAt: endsAt < endedAt ? endsAt : endedAt,
    records: records.flat(),
    runs: world.runs,
    faults: await faults,
    published: world.published,
    exits: world.exits,
    outages: world.outages,
    heldTickets: world.listHeldTickets(),
    peakBytes: world.peakBytes,
  };
}

async function runFault(
  world: SoakWorld,
  startedAt: number,
  fault: ScheduledFault,
): Promise<PlayedFault> {
  await sleep(Math.max(0, startedAt + fault.atMs - performance.now()));
  const beganAt = performance.now();
  const end = world.begin(fault.action);
  await sleep(fault.forMs);
  end();
  return {action: fault.action, beganAt, endedAt: performance.now()};
}

/** Sends at a constant rate, without waiting for answers. */
async function runCaller(
  world: SoakWorld,
  index: number,
  endsAt: number,
  caller: Caller,
): Promise<readonly CallerRecord[]> {
  const calls: Array<Promise<CallerRecord>> = [];
  const {entries} = world;
  while (performance.now() < endsAt) {
    const number = index + calls.length;
    calls.push(
      caller.call(
        entries[number % entries.length],
        STANDIN_KINDS[calls.length % STANDIN_KINDS.length],
        world.key,
      ),
    );
    await sleep(REQUEST_EVERY_MS);
  }
  const records = await Promise.all(calls);
  caller.close();
  return records;
}

/** Writes the history beside the gates' logs. */
function writeHistory(
  runDir: string,
  history: SoakHistory,
  violations: readonly Violation[],
): void {
  const text = JSON.stringify({violations, ...history}, null, 1);
  writeFileSync(join(runDir, 'history.json'), text);
}
