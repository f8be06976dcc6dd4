/**
 * Random faults of a local cluster, determined by a seed. They come in series
 * and overlap; a process may be suspended for less or more than the idle
 * timeout of its callers' connections.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Fault} from './schedule.js';

/** What random faults may harm. */
export interface RandomFaultsOptions {
  readonly seed: number;
  /** Names of the gates. */
  readonly gates: readonly string[];
  /** Names of the agents and of their targets. */
  readonly backends: readonly string[];
  /** Length of the load, in ms: every fault begins within it and ends with it. */
  readonly lengthMs: number;
}

/** Mean time between the starts of two faults, in ms. */
const PAUSE_MS = 700;

/** Longest suspension of a gate, in ms: above its idle timeout. */
const LONGEST_GATE_PAUSE_MS = 7500;

/** Longest of the other faults, in ms. */
const LONGEST_MS = 3000;

/** Shortest fault, in ms. */
const SHORTEST_MS = 20;

/**
 * Draws the faults of a seed.
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
  const makers: ReadonlyArray<() => Pick<Fault, 'kind' | 'process'>> = [
    // Suspended gates are the most frequent fault.
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
  for (let atMs = draw(PAUSE_MS); atMs < lengthMs; atMs += draw(2 * PAUSE_MS)) {
    const fault = pick(makers)();
    const isGatePause =
      fault.kind === 'pause' && gates.includes(fault.process ?? '');
    const longestMs = isGatePause ? LONGEST_GATE_PAUSE_MS : LONGEST_MS;
    const forMs = SHORTEST_MS + draw(longestMs - SHORTEST_MS);
    faults.push({...fault, atMs, forMs: Math.min(forMs, lengthMs - atMs + 1)});
    // Half of the gates that are told to stop are suspended by then.
    if (fault.kind !== 'stop' || draw(2) === 0) continue;
    const pausedMs = Math.min(atMs, draw(LONGEST_GATE_PAUSE_MS));
    const resumeMs = Math.min(atMs + draw(LONGEST_MS), lengthMs);
    faults.push({
      kind: 'pause',
      process: fault.process,
      atMs: atMs - pausedMs,
      forMs: pausedMs + SHORTEST_MS + resumeMs - atMs,
    });
  }
  return faults;
}
