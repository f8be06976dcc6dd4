/** Series of stops of gates that overlap each other and other planned work. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {CONTACT_MS, GRACE_MS} from '@nutmeggauge/platform';
import {FAULT_FREE_TAIL_MS} from './scheduled-fault.js';
import type {ScheduledFault} from './scheduled-fault.js';

/** Added to a seed, so that series of stops leave its other faults unchanged. */
const STOP_SERIES_SEED_OFFSET = 0x57e9;

/** Latest SIGTERM after the start of a gate that is starting, in ms. */
const MAX_START_MS = 400;

/** Longest time between two SIGTERMs to one gate or to two gates in turn, in ms. */
const MAX_STEP_MS = 3000;

/** Time for gates that the last fault ended to come back, in ms. */
const SETTLE_MS = 1000;

/** Time after the other faults in which series of stops begin, in ms. */
const CALM_STOPS_MS = 5000;

/** Two graces, and the time to start and to serve again, in ms. */
const LAST_STOPS_MS = 2 * GRACE_MS + 4000;

/**
 * Time by which series of stops prolong the load, in ms.
 *
 * @example
 * const endsAt = startedAt + lengthMs + STOP_SERIES_MS;
 */
export const STOP_SERIES_MS =
  CONTACT_MS + SETTLE_MS + CALM_STOPS_MS + LAST_STOPS_MS - FAULT_FREE_TAIL_MS;

/** Draws a whole number below its argument. */
type Draw = (count: number) => number;

/** Builds the faults of one series that begins at a time. */
type SeriesFactory = (
  draw: Draw,
  gates: number,
  atMs: number,
) => readonly ScheduledFault[];

function buildStop(gate: number, atMs: number): ScheduledFault {
  return {atMs, forMs: 0, action: {kind: 'gate-drain', gate}};
}

const SERIES: readonly SeriesFactory[] = [
  /** One gate, whose next process is stopped while it starts. */
  (draw, gates, atMs) => [
    {
      atMs,
      forMs: 2 * GRACE_MS,
      action: {
        kind: 'gate-drain-twice',
        gate: draw(gates),
        afterStartMs: draw(MAX_START_MS + 1),
      },
    },
  ],
  /** One gate, twice. */
  (draw, gates, atMs) => {
    const gate = draw(gates);
    return [buildStop(gate, atMs), buildStop(gate, atMs + draw(MAX_STEP_MS))];
  },
  /** One gate, with a change of its settings and of the configuration. */
  (draw, gates, atMs) => {
    const gate = draw(gates);
    const isReloadFirst = draw(2) === 0;
    const reload: ScheduledFault = {
      atMs,
      forMs: 0,
      action: {kind: 'gate-reload', gate},
    };
    const stop = buildStop(gate, atMs);
    return [
      ...(isReloadFirst ? [reload, stop] : [stop, reload]),
      {atMs, forMs: 0, action: {kind: 'config-change'}},
    ];
  },
  /** All gates in turn, before the earlier ones are back. */
  (draw, gates, atMs) =>
    Array.from({length: gates}, (_, gate) =>
      buildStop(gate, atMs + gate * draw(MAX_STEP_MS)),
    ),
];

/** Leaves time for both stops of a gate that is stopped twice in a row. */
function findLatest({action}: ScheduledFault, end: number): number {
  return action.kind === 'gate-drain-twice' ? Math.max(0, end - GRACE_MS) : end;
}

/**
 * Builds series of stops, one kind after the other; the first kind is drawn from
 * the seed. Every second series happens amid the other faults, the others after
 * them, when no unplanned disturbance excuses anything.
 *
 * @param end - End of the other faults, in ms after the start of the load.
 * @example
 * buildStopSeries(7, 2, 3, 9000);
 */
export function buildStopSeries(
  seed: number,
  count: number,
  gates: number,
  end: number,
): readonly ScheduledFault[] {
  const random = xoroshiro128plus(seed + STOP_SERIES_SEED_OFFSET);
  const draw = (limit: number) => uniformInt(random, 0, limit - 1);
  const first = draw(SERIES.length);
  return Array.from({length: count}, (_, i) => {
    const build = SERIES[(first + i) % SERIES.length];
    const isCalm = i % 2 === 0;
    const from = isCalm ? end + CONTACT_MS + SETTLE_MS : 0;
    const to = isCalm ? from + CALM_STOPS_MS : end;
    return build(draw, gates, from + draw(to - from)).map(fault => ({
      ...fault,
      atMs: Math.max(from, Math.min(findLatest(fault, to), fault.atMs)),
    }));
  }).flat();
}
