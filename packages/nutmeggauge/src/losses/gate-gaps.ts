/**
 * Finds the gaps in which a gate did not run: from the last line of one
 * incarnation to the next `gate_started`. The worth of the requests missed in a
 * gap is estimated from the gate's average load.
 */
import type {GateIncarnation} from './gate-incarnations.js';
import type {JudgedRequest} from './judge-request.js';

/** A gap between two incarnations of a gate. */
export interface GateGap {
  readonly proc: string;
  /** Start of the gap as wall-clock time of the gate, in ms. */
  readonly from: number;
  readonly to: number;
  /** Length of the gap, in ms; 0 if the clock was set back. */
  readonly ms: number;
  /**
   * Whether the gate had finished its drain before the gap, so that callers had
   * been sent to other gates.
   */
  readonly hasDrained: boolean;
  /** Estimated worth of the requests that would have arrived in the gap. */
  readonly estimatedWorth: number;
}

/** Worth of the requests that each gate receives per ms, by process name. */
export type WorthRates = ReadonlyMap<string, number>;

/** Sums the time in which a gate logged, in ms. */
function sumServedMs(incarnations: readonly GateIncarnation[]): number {
  let sum = 0;
  for (const {lines} of incarnations)
    sum += Math.max(0, lines[lines.length - 1].t - lines[0].t);
  return sum;
}

function listProcs(
  incarnations: readonly GateIncarnation[],
): readonly string[] {
  return [...new Set(incarnations.map(({proc}) => proc))];
}

/**
 * Estimates the worth of the requests that each gate receives per ms.
 *
 * @example
 * estimateRates(incarnations, requests).get('gate-1');
 */
export function estimateRates(
  incarnations: readonly GateIncarnation[],
  requests: readonly JudgedRequest[],
): WorthRates {
  const worthByProc = new Map<string, number>();
  for (const {attempt, worth} of requests)
    worthByProc.set(attempt.proc, (worthByProc.get(attempt.proc) ?? 0) + worth);
  return new Map(
    listProcs(incarnations).map(proc => {
      const servedMs = sumServedMs(
        incarnations.filter(gateIncarnation => gateIncarnation.proc === proc),
      );
      const worth = worthByProc.get(proc) ?? 0;
      return [proc, servedMs > 0 ? worth / servedMs : 0];
    }),
  );
}

/**
 * Lists the gaps of all gates.
 *
 * @example
 * listGaps(incarnations, estimateRates(incarnations, requests));
 */
export function listGaps(
  incarnations: readonly GateIncarnation[],
  rates: WorthRates,
): readonly GateGap[] {
  return listProcs(incarnations).flatMap(proc =>
    listGapsOfGate(
      incarnations.filter(gateIncarnation => gateIncarnation.proc === proc),
      rates.get(proc) ?? 0,
    ),
  );
}

function listGapsOfGate(
  incarnations: readonly GateIncarnation[],
  rate: number,
): readonly GateGap[] {
  const gaps: GateGap[] = [];
  let before: GateIncarnation | undefined;
  for (const gateIncarnation of incarnations) {
    // An incarnation that failed to start does not end the gap.
    if (before !== undefined && gateIncarnation.servesFrom === undefined)
      continue;
    if (before !== undefined && gateIncarnation.servesFrom !== undefined)
      gaps.push(buildGap(before, gateIncarnation.servesFrom, rate));
    before = gateIncarnation;
  }
  return gaps;
}

function buildGap(before: GateIncarnation, to: number, rate: number): GateGap {
  const {proc, hasDrained, lines} = before;
  const from = lines[lines.length - 1].t;
  const ms = Math.max(0, to - from);
  return {proc, from, to, ms, hasDrained, estimatedWorth: ms * rate};
}
