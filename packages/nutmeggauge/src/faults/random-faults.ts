/**
 * Random faults of a local cluster, determined by a seed. Faults follow each
 * other and may overlap; a process may be suspended for less or more than the
 * idle timeout of its callers' connections.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Fault} from './schedule.js';

/** Processes that random faults may affect, and the time span of the faults. */
export interface RandomFaultsOptions {
  readonly seed: number;
  /** Names of the gates. */
  readonly gates: readonly string[];
  /** Names of the agents and of their targets. */
  readonly backends: readonly string[];
  /**
   * Length of the load, in ms: every fault begins during the load and ends at
   * most `MIN_FAULT_MS` after the load.
   */
  readonly lengthMs: number;
}

/** Mean time between the starts of two faults, in ms. */
const MEAN_FAULT_INTERVAL_MS = 700;

/**
 * Longest suspension of a gate, in ms: above the idle timeout of its
 * connections.
 */
const MAX_GATE_PAUSE_MS = 7500;

/** Longest duration of a fault other than the suspension of a gate, in ms. */
const MAX_FAULT_MS = 3000;

/** Shortest duration of a fault, in ms. */
const MIN_FAULT_MS = 20;

/**
 * Builds the random faults of a seed.
 *
 * @example
 * buildRandomFaults({seed: 7, gates: ['gate-1'], backends: ['engine-01'], lengthMs: 30_000});
 */
export function buildRandomFaults(
  options: RandomFaultsOptions,
): readonly Fault[] {
  const {gates, backends, lengthMs} = options;
  const random = xoroshiro128plus(options.seed);
  const draw = (most: number) => uniformInt(random, 0, most - 1);
  const pick = <T>(list: readonly T[]) => list[draw(list.length)];
  const faultFactories: ReadonlyArray<() => Pick<Fault, 'kind' | 'process'>> = [
    // Listed three times, so that suspended gates are the most frequent fault.
    () => ({kind: 'pause', process: pick(gates)}),
    () => ({kind: 'pause', process: pick(gates)}),
    () => ({kind: 'pause', process: pick(gates)}),
    () => ({kind: 'stop', process: pick(gates)}),
    () => ({kind: 'kill', process: pick(gates)}),
    () => ({kind: 'pause', process: pick(backends)}),
    () => ({kind: 'kill', process: pick(backends)}),
    () => ({kind: 'busy'}),
    () => ({kind: pick(['config-down', 'config-stale'])}),
  ];
  const faults: Fault[] = [];
  for (
    let atMs = draw(MEAN_FAULT_INTERVAL_MS);
    atMs < lengthMs;
    atMs += draw(2 * MEAN_FAULT_INTERVAL_MS)
  ) {
    const fault = pick(faultFactories)();
    const isGatePause =
      fault.kind === 'pause' && gates.includes(fault.process ?? '');
    const longestMs = isGatePause ? MAX_GATE_PAUSE_MS : MAX_FAULT_MS;
    const forMs = MIN_FAULT_MS + draw(longestMs - MIN_FAULT_MS);
    faults.push({...fault, atMs, forMs: Math.min(forMs, lengthMs - atMs + 1)});
    // Half of the stopped gates are suspended when SIGTERM is sent.
    if (fault.kind !== 'stop' || draw(2) === 0) continue;
    const pausedBeforeMs = Math.min(atMs, draw(MAX_GATE_PAUSE_MS));
    const resumeMs = Math.min(atMs + draw(MAX_FAULT_MS), lengthMs);
    faults.push({
      kind: 'pause',
      process: fault.process,
      atMs: atMs - pausedBeforeMs,
      forMs: pausedBeforeMs + MIN_FAULT_MS + resumeMs - atMs,
    });
  }
  return faults;
}
