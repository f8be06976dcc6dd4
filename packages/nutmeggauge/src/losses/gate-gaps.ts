/**
 * Times without a gate: from the last line of one life to the next
 * `gate_started`. What would have arrived is estimated from the gate's usual
 * load.
 */
import type {GateLife} from './gate-lives.js';
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
function sumServedMs(lives: readonly GateLife[]): number {
  let sum = 0;
  for (const {lines} of lives)
    sum += Math.max(0, lines[lines.length - 1].t - lines[0].t);
  return sum;
}

function listProcs(lives: readonly GateLife[]): readonly string[] {
  return [...new Set(lives.map(({proc}) => proc))];
}

/**
 * Estimates the worth of the requests that each gate receives in a ms.
 *
 * @example
 * estimateRates(lives, requests).get('gate-1');
 */
export function estimateRates(
  lives: readonly GateLife[],
  requests: readonly JudgedRequest[],
): WorthRates {
  const worths = new Map<string, number>();
  for (const {attempt, worth} of requests)
    worths.set(attempt.proc, (worths.get(attempt.proc) ?? 0) + worth);
  return new Map(
    listProcs(lives).map(proc => {
      const servedMs = sumServedMs(lives.filter(life => life.proc === proc));
      const worth = worths.get(proc) ?? 0;
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
  lives: readonly GateLife[],
  rates: WorthRates,
): readonly GateGap[] {
  return listProcs(lives).flatMap(proc =>
    listGapsOf(
      lives.filter(life => life.proc === proc),
      rates.get(proc) ?? 0,
    ),
  );
}

function listGapsOf(
  lives: readonly GateLife[],
  rate: number,
): readonly GateGap[] {
  const gaps: GateGap[] = [];
  let before: GateLife | undefined;
  for (const life of lives) {
    // After a failed start the gap continues.
    if (before !== undefined && life.servesFrom === undefined) continue;
    if (before !== undefined && life.servesFrom !== undefined)
      gaps.push(buildGap(before, life.servesFrom, rate));
    before = life;
  }
  return gaps;
}

function buildGap(before: GateLife, to: number, rate: number): GateGap {
  const {proc, hasDrained, lines} = before;
  const from = lines[lines.length - 1].t;
  const ms = Math.max(0, to - from);
  return {proc, from, to, ms, hasDrained, estimatedWorth: ms * rate};
}
