/**
 * Times without a gate: from the last line of one life to the next
 * `gate_started`. What would have arrived is estimated from the gate's usual
 * load.
 */
import type {GateIncarnation} from './gate-incarnations.js';
import type {JudgedRequest} from './judge-request.js';

/** One time without a gate. */
export interface GateGap {
  readonly proc: string;
  /** Wall clock of the gate, in ms. */
  readonly from: number;
  readonly to: number;
  /** Length in ms; 0 if the clock was set back. */
  readonly ms: number;
  /** The gate had drained, so callers had been sent elsewhere. */
  readonly hasDrained: boolean;
  /** Estimated worth of the requests that would have arrived. */
  readonly estimatedWorth: number;
}

/** Worth of the requests that one gate receives in a ms. */
export type WorthRates = ReadonlyMap<string, number>;

/** Time for which a gate logged, in ms. */
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
 * Estimates the worth of the requests that each gate receives in a ms.
 *
 * @example
 * estimateRates(lives, requests).get('gate-1');
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
 * listGaps(lives, estimateRates(lives, requests));
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
    // After a failed start the gap continues.
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
