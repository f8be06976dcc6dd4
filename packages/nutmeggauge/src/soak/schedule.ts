/**
 * Random fault schedule of the soak, determined by a seed. Faults may overlap;
 * the end of a run is free of faults so that the system can recover.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {StoreMode, TargetMode} from '@nutmeggauge/platform';
import {buildEvacuations} from './schedule-evacuations.js';
import {buildStopSeries} from './schedule-stops.js';
import {buildUnframed} from './schedule-unframed.js';
import type {LinkMode} from './faulty-link.js';
import {FAULT_FREE_TAIL_MS} from './scheduled-fault.js';
import type {FaultAction, ScheduledFault} from './scheduled-fault.js';

export {FAULT_FREE_TAIL_MS} from './scheduled-fault.js';
export type {FaultAction, ScheduledFault} from './scheduled-fault.js';

/**
 * Size of the system, length of the load, and numbers of restores and gate
 * stops.
 */
export interface SoakSizes {
  readonly gates: number;
  readonly targets: number;
  /** Length of the load, in ms. */
  readonly lengthMs: number;
  /** Number of times that the store is restored from an older copy. */
  readonly restores: number;
  /** Number of gates stopped or killed around a suspension of their process. */
  readonly gateStops: number;
  /** Number of targets that announce their leave long before the store knows. */
  readonly leaving?: number;
  /** Number of times that a target asks for rest. */
  readonly resting?: number;
  /** Number of times that the operator evacuates zones. */
  readonly evacuations?: number;
  /** Number of series of stops that overlap. */
  readonly stopSeries?: number;
  /** Number of times that a target answers with neither a length nor chunks. */
  readonly unframed?: number;
}

/** Mean time between the starts of two faults, in ms. */
const MEAN_FAULT_INTERVAL_MS = 450;

/** Duration of the shortest fault, in ms: below every timeout. */
const MIN_FAULT_MS = 100;

/** Duration of the longest fault, in ms: above every timeout. */
const MAX_FAULT_MS = 3500;

/** Age of the newest copy that the store is restored from, in ms. */
const MIN_COPY_AGE_MS = 300;

/** Age of the oldest copy that the store is restored from, in ms. */
const MAX_COPY_AGE_MS = 6000;

/** Time in which every write that a restored copy lacks is repeated, in ms. */
const RESTORE_RECOVERY_MS = 2500;

/** Longest suspension around a stop, in ms: above the callers' idle timeout. */
const MAX_SUSPENSION_MS = 4500;

/** Longest time for which a stopping gate still serves requests, in ms. */
const GRACEFUL_STOP_MS = 3000;

/**
 * Added to a seed, so that restores leave the other faults of the seed
 * unchanged.
 */
const RESTORE_SEED_OFFSET = 0x5eed;

/**
 * Added to a seed, so that gate stops leave the other faults of the seed
 * unchanged.
 */
const GATE_STOP_SEED_OFFSET = 0x570b;

/** Added to a seed, so that announcements leave its other faults unchanged. */
const ANNOUNCEMENT_SEED_OFFSET = 0xa220;

/** Time until the store learns of a leave that a target announces, in ms. */
const UNKNOWN_LEAVE_MS = 5500;

/** Shortest and longest rest that a target asks for, in ms. */
const MIN_REST_MS = 700;
const MAX_REST_MS = 3000;

const STORE_MODES: readonly StoreMode[] = ['busy', 'silent', 'reset'];
const LINK_MODES: readonly LinkMode[] = [
  'delay',
  'refuse',
  'silent',
  'cut-to-target',
  'cut-to-caller',
];
const TARGET_MODES: readonly TargetMode[] = [
  'answer-lost',
  'failing',
  'hanging',
  'full',
];

/**
 * Builds the fault schedule of a seed.
 *
 * @example
 * buildSchedule(7, {gates: 3, targets: 6, lengthMs: 12_000, restores: 2, gateStops: 2});
 */
export function buildSchedule(
  seed: number,
  sizes: SoakSizes,
): readonly ScheduledFault[] {
  const random = xoroshiro128plus(seed);
  const draw = (most: number) => uniformInt(random, 0, most - 1);
  const pick = <T>(list: readonly T[]) => list[draw(list.length)];
  const gate = () => draw(sizes.gates);
  const target = () => draw(sizes.targets);
  const actionFactories: ReadonlyArray<() => FaultAction> = [
    () => ({kind: 'gate-kill', gate: gate()}),
    () => ({kind: 'gate-drain', gate: gate()}),
    () => ({kind: 'gate-pause', gate: gate()}),
    () => ({kind: 'gate-reload', gate: gate()}),
    () => ({kind: 'all-gates-kill'}),
    () => ({kind: 'store', mode: pick(STORE_MODES)}),
    () => ({kind: 'store-history'}),
    () => ({kind: 'store-link', gate: gate(), mode: pick(LINK_MODES)}),
    () => ({kind: 'caller-link', gate: gate(), mode: pick(LINK_MODES)}),
    () => ({kind: 'target-link', target: target(), mode: pick(LINK_MODES)}),
    () => ({kind: 'link-reset', target: target()}),
    () => ({kind: 'target-crash', target: target()}),
    () => ({kind: 'target-leave', target: target()}),
    () => ({kind: 'target-mode', target: target(), mode: pick(TARGET_MODES)}),
    () => ({kind: 'config-change'}),
    () => ({kind: 'key-revoke'}),
  ];
  const faults: ScheduledFault[] = [];
  const end = sizes.lengthMs - FAULT_FREE_TAIL_MS;
  for (
    let atMs = draw(2 * MEAN_FAULT_INTERVAL_MS);
    atMs < end;
    atMs += draw(2 * MEAN_FAULT_INTERVAL_MS)
  ) {
    const drawnMs = MIN_FAULT_MS + draw(MAX_FAULT_MS - MIN_FAULT_MS);
    const forMs = Math.min(drawnMs, end - atMs);
    faults.push({atMs, forMs, action: pick(actionFactories)()});
  }
  return [
    ...faults,
    ...buildRestores(seed, sizes.restores, end),
    ...buildGateStops(seed, sizes, end),
    ...buildAnnouncements(seed, sizes, end),
    ...buildEvacuations(seed, sizes.evacuations ?? 0, end),
    ...buildStopSeries(seed, sizes.stopSeries ?? 0, sizes.gates, end),
    ...buildUnframed(seed, sizes.unframed ?? 0, sizes.targets, end),
  ];
}

/** Builds gate stops, each with a suspension of the gate and a busy machine. */
function buildGateStops(
  seed: number,
  {gates, gateStops}: SoakSizes,
  end: number,
): readonly ScheduledFault[] {
  const random = xoroshiro128plus(seed + GATE_STOP_SEED_OFFSET);
  const draw = (most: number) => uniformInt(random, 0, most - 1);
  const kinds = [
    'gate-drain',
    'gate-drain',
    'gate-drain',
    'gate-kill',
  ] as const;
  return Array.from({length: gateStops}, () => {
    const gate = draw(gates);
    const kind = kinds[draw(kinds.length)];
    const stopAt = draw(end);
    // Half of the suspensions begin while the gate stops, the other half
    // before.
    const shiftMs =
      draw(2) === 0 ? draw(GRACEFUL_STOP_MS) : -draw(MAX_SUSPENSION_MS);
    const atMs = Math.min(end, Math.max(0, stopAt + shiftMs));
    const forMs = Math.min(MIN_FAULT_MS + draw(MAX_SUSPENSION_MS), end - atMs);
    return [
      {atMs: stopAt, forMs: 0, action: {kind, gate}},
      {atMs, forMs, action: {kind: 'gate-pause' as const, gate}},
      {atMs, forMs, action: {kind: 'busy' as const}},
    ];
  }).flat();
}

/** Builds the announcements of targets that leave or want rest. */
function buildAnnouncements(
  seed: number,
  {targets, leaving = 0, resting = 0}: SoakSizes,
  end: number,
): readonly ScheduledFault[] {
  const random = xoroshiro128plus(seed + ANNOUNCEMENT_SEED_OFFSET);
  const draw = (least: number, most: number) => uniformInt(random, least, most);
  const leaves = Array.from({length: leaving}, () => {
    const target = draw(0, targets - 1);
    const atMs = draw(0, Math.max(0, end - UNKNOWN_LEAVE_MS));
    const action = {kind: 'target-announce' as const, target};
    return {atMs, forMs: Math.min(UNKNOWN_LEAVE_MS, end - atMs), action};
  });
  const rests = Array.from({length: resting}, () => {
    const target = draw(0, targets - 1);
    const atMs = draw(0, end - 1);
    const restMs = draw(MIN_REST_MS, MAX_REST_MS);
    const forMs = Math.min(draw(MIN_REST_MS, MAX_FAULT_MS), end - atMs);
    const action = {kind: 'target-rest' as const, target, restMs};
    return {atMs, forMs, action};
  });
  return [...leaves, ...rests];
}

function buildRestores(
  seed: number,
  count: number,
  end: number,
): readonly ScheduledFault[] {
  const random = xoroshiro128plus(seed + RESTORE_SEED_OFFSET);
  const draw = (least: number, most: number) => uniformInt(random, least, most);
  return Array.from({length: count}, () => {
    const atMs = draw(0, end - 1);
    const ageMs = draw(MIN_COPY_AGE_MS, MAX_COPY_AGE_MS);
    const forMs = Math.min(RESTORE_RECOVERY_MS, end - atMs);
    return {atMs, forMs, action: {kind: 'store-restore', ageMs}};
  });
}
