/**
 * Random schedule of faults, determined by a seed. Faults overlap; the last
 * seconds are calm, for recovery.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {StoreMode, TargetMode} from '@nutmeggauge/platform';
import type {LinkMode} from './faulty-link.js';

/** What is harmed, and how. */
export type FaultAction =
  | {readonly kind: 'gate-kill'; readonly gate: number}
  | {readonly kind: 'gate-drain'; readonly gate: number}
  | {readonly kind: 'gate-pause'; readonly gate: number}
  | {readonly kind: 'gate-reload'; readonly gate: number}
  | {readonly kind: 'all-gates-kill'}
  | {readonly kind: 'busy'}
  | {readonly kind: 'store'; readonly mode: StoreMode}
  | {readonly kind: 'store-history'}
  | {readonly kind: 'store-restore'; readonly ageMs: number}
  | {
      readonly kind: 'store-link';
      readonly gate: number;
      readonly mode: LinkMode;
    }
  | {
      readonly kind: 'caller-link';
      readonly gate: number;
      readonly mode: LinkMode;
    }
  | {
      readonly kind: 'target-link';
      readonly target: number;
      readonly mode: LinkMode;
    }
  | {readonly kind: 'link-reset'; readonly target: number}
  | {readonly kind: 'target-crash'; readonly target: number}
  | {readonly kind: 'target-leave'; readonly target: number}
  | {
      readonly kind: 'target-mode';
      readonly target: number;
      readonly mode: TargetMode;
    }
  | {readonly kind: 'config-change'}
  | {readonly kind: 'key-revoke'};

/** One fault. */
export interface ScheduledFault {
  /** Start, in ms from the start of the load. */
  readonly atMs: number;
  readonly forMs: number;
  readonly action: FaultAction;
}

/** Sizes of the system. */
export interface SoakSizes {
  readonly gates: number;
  readonly targets: number;
  /** Length of the load, in ms. */
  readonly lengthMs: number;
  /** Returns of the store from an older copy. */
  readonly restores: number;
  /** Gates that are told to stop or killed around a suspension. */
  readonly gateStops: number;
}

/** Calm time at the end, in ms: above every timeout of the gates. */
export const CALM_MS = 5000;

/** Mean time between the starts of two faults, in ms. */
const PAUSE_MS = 450;

/** Shortest and longest fault, in ms: below and above every timeout. */
const SHORTEST_MS = 100;
const LONGEST_MS = 3500;

/** Age of the youngest and of the oldest copy, in ms. */
const YOUNGEST_COPY_MS = 300;
const OLDEST_COPY_MS = 6000;

/** Time until all that a copy lacks is written again, in ms. */
const RESTORE_MS = 2500;

/** Longest suspension around a stop, in ms: above the idle timeout of callers. */
const LONGEST_STOP_MS = 4500;

/** Longest time in which a gate that stops still serves, in ms. */
const STOP_MS = 3000;

/** Added to a seed, so that restores leave its other faults as they are. */
const RESTORE_STREAM = 0x5eed;
const STOP_STREAM = 0x570b;

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
 * Draws the faults of a seed.
 *
 * @example
 * buildSchedule(7, {gates: 3, targets: 6, lengthMs: 12_000, restores: 2});
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
  const makers: ReadonlyArray<() => FaultAction> = [
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
  const end = sizes.lengthMs - CALM_MS;
  for (let atMs = draw(2 * PAUSE_MS); atMs < end; atMs += draw(2 * PAUSE_MS)) {
    const drawnMs = SHORTEST_MS + draw(LONGEST_MS - SHORTEST_MS);
    const forMs = Math.min(drawnMs, end - atMs);
    faults.push({atMs, forMs, action: pick(makers)()});
  }
  return [
    ...faults,
    ...buildRestores(seed, sizes.restores, end),
    ...buildGateStops(seed, sizes, end),
  ];
}

/** Ends of a gate amid suspensions, on a busy machine. */
function buildGateStops(
  seed: number,
  {gates, gateStops}: SoakSizes,
  end: number,
): readonly ScheduledFault[] {
  const random = xoroshiro128plus(seed + STOP_STREAM);
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
    // Half of the suspensions begin while the gate stops, the others before.
    const shiftMs = draw(2) === 0 ? draw(STOP_MS) : -draw(LONGEST_STOP_MS);
    const atMs = Math.min(end, Math.max(0, stopAt + shiftMs));
    const forMs = Math.min(SHORTEST_MS + draw(LONGEST_STOP_MS), end - atMs);
    return [
      {atMs: stopAt, forMs: 0, action: {kind, gate}},
      {atMs, forMs, action: {kind: 'gate-pause' as const, gate}},
      {atMs, forMs, action: {kind: 'busy' as const}},
    ];
  }).flat();
}

function buildRestores(
  seed: number,
  count: number,
  end: number,
): readonly ScheduledFault[] {
  const random = xoroshiro128plus(seed + RESTORE_STREAM);
  const draw = (least: number, most: number) => uniformInt(random, least, most);
  return Array.from({length: count}, () => {
    const atMs = draw(0, end - 1);
    const ageMs = draw(YOUNGEST_COPY_MS, OLDEST_COPY_MS);
    const forMs = Math.min(RESTORE_MS, end - atMs);
    return {atMs, forMs, action: {kind: 'store-restore', ageMs}};
  });
}
