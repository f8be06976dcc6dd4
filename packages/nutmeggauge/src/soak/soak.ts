/**
 * Fault soak of direct gates: runs gates as processes under random faults, and
 * checks invariants against what callers and targets observed.
 */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {STANDIN_KINDS} from '@nutmeggauge/platform';
import {Caller} from './callers.js';
import {runCrashingCallers} from './crashing-callers.js';
import {runImpatientCallers} from './impatient-callers.js';
import {runUnrulyCallers} from './unruly-callers.js';
import {LASTING_CALLERS, runLastingCallers} from './lasting-callers.js';
import {findViolations} from './check.js';
import {buildSchedule} from './schedule.js';
import {STOP_SERIES_MS} from './schedule-stops.js';
import {SoakHarness} from './soak-harness.js';
import type {Violation} from './violation.js';
import type {CallerRecord, InjectedFault, SoakHistory} from './history.js';
import type {ScheduledFault} from './schedule.js';

/** Number of concurrent callers. */
const CALLER_COUNT = 12;

/** Time between two requests of one caller, in ms. */
const REQUEST_INTERVAL_MS = 200;

/** Time for the gates to start before the load begins, in ms. */
const GATE_START_MS = 1500;

/**
 * Wait between the last request and the count of held reservations, in ms:
 * above every KV lease.
 */
const RESERVATION_SETTLE_MS = 4500;

/** Interval between two memory samples, in ms. */
const MEMORY_SAMPLE_INTERVAL_MS = 1000;

/** Idle timeout of the gates' connections, in ms. */
const IDLE_TIMEOUT_MS = 15_000;

/**
 * Idle timeout in runs with gate stops, in ms: shorter than a suspension of a
 * gate.
 */
const SHORT_IDLE_TIMEOUT_MS = 2000;

/** Longest text in the written history, in characters. */
const MAX_TEXT_LENGTH = 20_000;

/** Options of a soak run. */
export interface SoakOptions {
  readonly seed: number;
  readonly gates: number;
  readonly targets: number;
  /** Length of the load, in ms. */
  readonly lengthMs: number;
  /** Number of times that the store is restored from an older copy. */
  readonly restores: number;
  /** Number of gates stopped or killed around a suspension of their process. */
  readonly gateStops: number;
  /** Number of callers whose request crashes every target that runs it. */
  readonly crashing: number;
  /** Number of callers that send bursts and leave soon. */
  readonly impatient: number;
  /**
   * Requests per second that a plain service names as its limit, and an engine
   * for the first half of the load; 0 for none.
   */
  readonly limit: number;
  /** Number of targets that announce their leave long before the store knows. */
  readonly leaving: number;
  /** Number of times that a target asks for rest. */
  readonly resting: number;
  /** Number of times that the operator evacuates zones. */
  readonly evacuations: number;
  /** Number of series of stops that overlap, under streams that last longer. */
  readonly stopSeries: number;
  /** Number of times that a target answers with neither a length nor chunks. */
  readonly unframed: number;
  /** Number of crowds of callers that keep no limits. */
  readonly unruly: number;
  /** Whether targets that replace others are cold for a while. */
  readonly coldStarts: boolean;
  /** Whether invariants with a time bound are checked too. */
  readonly hasTiming: boolean;
  /** Folder for the settings and logs of the gates. */
  readonly runDir: string;
}

/** Result of a soak run. */
export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly faults: number;
  /** Number of targets that crashed under a request. */
  readonly crashes: number;
  readonly violations: readonly Violation[];
}

/**
 * Runs the soak with one seed and returns the violated invariants.
 *
 * @example
 * const {violations} = await runSoak({seed: 7, gates: 3, targets: 6, lengthMs: 12_000, restores: 2, gateStops: 2, crashing: 1, impatient: 1, limit: 0, leaving: 1, resting: 1, evacuations: 1, stopSeries: 2, unframed: 3, unruly: 1, coldStarts: true, hasTiming: true, runDir: 'runs/soak-7'});
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const idleTimeoutMs =
    options.gateStops > 0 ? SHORT_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
  const {runDir, gates, targets} = options;
  const harness = new SoakHarness(runDir, gates, targets, idleTimeoutMs, {
    limit: options.limit,
    hasZones: options.evacuations > 0,
    hasColdStarts: options.coldStarts,
    hasLongStreams: options.stopSeries > 0,
  });
  await harness.start();
  try {
    await sleep(GATE_START_MS);
    const history = await runLoad(harness, options, idleTimeoutMs);
    const violations = findViolations(history, options.hasTiming);
    writeHistory(options.runDir, history, violations);
    return {
      seed: options.seed,
      requests: history.records.length,
      served: history.records.filter(({status}) => status === 200).length,
      faults: history.faults.length,
      crashes: history.crashes.length,
      violations,
    };
  } finally {
    await harness.close();
  }
}

async function runLoad(
  harness: SoakHarness,
  options: SoakOptions,
  idleTimeoutMs: number,
): Promise<SoakHistory> {
  const startedAt = performance.now();
  const endsAt =
    startedAt +
    options.lengthMs +
    (options.stopSeries > 0 ? STOP_SERIES_MS : 0);
  const sampler = setInterval(
    () => void harness.sampleMemory(),
    MEMORY_SAMPLE_INTERVAL_MS,
  );
  const faults = Promise.all(
    buildSchedule(options.seed, options).map(fault =>
      runFault(harness, startedAt, fault),
    ),
  );
  const crashing = runCrashingCallers(harness, {
    seed: options.seed,
    count: options.crashing,
    endsAt,
    idleTimeoutMs,
  });
  setTimeout(() => harness.targets.endEngineLimit(), options.lengthMs / 2);
  const impatient = runImpatientCallers(harness, {
    seed: options.seed,
    count: options.impatient,
    endsAt,
    idleTimeoutMs,
  });
  const lasting = runLastingCallers(harness, {
    seed: options.seed,
    count: options.stopSeries > 0 ? LASTING_CALLERS : 0,
    endsAt,
    idleTimeoutMs,
  });
  const unruly = runUnrulyCallers(harness, {
    seed: options.seed,
    count: options.unruly,
    endsAt,
  });
  const records = await Promise.all(
    Array.from({length: CALLER_COUNT}, (_, i) =>
      runCaller(harness, i, endsAt, new Caller(`c${i}`, idleTimeoutMs)),
    ),
  );
  const endedAt = performance.now();
  clearInterval(sampler);
  await lasting;
  await unruly;
  await sleep(RESERVATION_SETTLE_MS);
  return {
    gateCount: options.gates,
    startedAt,
    endedAt: endsAt < endedAt ? endsAt : endedAt,
    records: records.flat(),
    crashing: await crashing,
    impatient: await impatient,
    lasting: await lasting,
    limits: harness.targets.limits,
    crashes: harness.targets.crashes,
    runs: harness.targets.runs,
    refusals: harness.targets.refusals,
    reservations: harness.targets.listReservations(),
    coldPeaks: harness.targets.listColdPeaks(),
    evacuations: harness.evacuations.listSpans(),
    faults: await faults,
    published: harness.published,
    exits: harness.exits,
    stops: harness.stops,
    outages: harness.outages,
    heldTickets: harness.targets.listHeldReservations(),
    peakBytes: harness.peakBytes,
  };
}

async function runFault(
  harness: SoakHarness,
  startedAt: number,
  fault: ScheduledFault,
): Promise<InjectedFault> {
  await sleep(Math.max(0, startedAt + fault.atMs - performance.now()));
  const beganAt = performance.now();
  const endFault = harness.beginFault(fault.action);
  await sleep(fault.forMs);
  endFault();
  return {action: fault.action, beganAt, endedAt: performance.now()};
}

/**
 * Sends one caller's requests at a constant rate, without waiting for answers.
 */
async function runCaller(
  harness: SoakHarness,
  index: number,
  endsAt: number,
  caller: Caller,
): Promise<readonly CallerRecord[]> {
  const calls: Array<Promise<CallerRecord>> = [];
  const {endpoints} = harness;
  while (performance.now() < endsAt) {
    const requestIndex = index + calls.length;
    calls.push(
      caller.call(
        endpoints[requestIndex % endpoints.length],
        STANDIN_KINDS[calls.length % STANDIN_KINDS.length],
        harness.key,
      ),
    );
    await sleep(REQUEST_INTERVAL_MS);
  }
  const records = await Promise.all(calls);
  caller.close();
  return records;
}

/** Shortens a large body in the history. */
function formatText(_key: string, value: unknown): unknown {
  if (typeof value !== 'string' || value.length <= MAX_TEXT_LENGTH)
    return value;
  return `${value.slice(0, MAX_TEXT_LENGTH)}… (${value.length} in all)`;
}

/** Writes the violations and the history into the folder of the gates' logs. */
function writeHistory(
  runDir: string,
  history: SoakHistory,
  violations: readonly Violation[],
): void {
  const text = JSON.stringify(
    {violations, ...history, limits: Object.fromEntries(history.limits)},
    formatText,
    1,
  );
  writeFileSync(join(runDir, 'history.json'), text);
}
