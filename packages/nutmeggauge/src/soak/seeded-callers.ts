/** Runs callers of the soak whose requests are drawn from the seed of a run. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Caller} from './callers.js';
import type {CallerRecord} from './history.js';

/** Kind of callers. */
export interface CallerKind {
  /** Prefix of the callers' request ids. */
  readonly name: string;
  /** Added to a seed, so that the callers leave its faults unchanged. */
  readonly seedOffset: number;
  /**
   * Connections of one caller.
   *
   * @default 20
   */
  readonly maxConnections?: number;
}

/** Options of the callers of one run. */
export interface SeededCallersOptions {
  readonly seed: number;
  readonly count: number;
  /** End of the load on the monotonic clock, in ms. */
  readonly endsAt: number;
  readonly idleTimeoutMs: number;
}

/** One caller, and what it draws from the seed. */
export interface SeededCaller {
  readonly index: number;
  readonly caller: Caller;
  /** Draws a whole number below `count`. */
  readonly draw: (count: number) => number;
}

/** Requests that one caller has sent. */
export type SentCalls = ReadonlyArray<Promise<CallerRecord>>;

/**
 * Runs callers at once and resolves with their records.
 *
 * @example
 * const records = await runSeededCallers({name: 'hasty', seedOffset: 7}, options, sendBursts);
 */
export async function runSeededCallers(
  {name, seedOffset, maxConnections}: CallerKind,
  {seed, count, idleTimeoutMs}: SeededCallersOptions,
  send: (caller: SeededCaller) => Promise<SentCalls>,
): Promise<readonly CallerRecord[]> {
  const runCaller = async (index: number) => {
    const random = xoroshiro128plus(seed + seedOffset + index);
    const caller = new Caller(`${name}${index}`, idleTimeoutMs, maxConnections);
    const draw = (limit: number) => uniformInt(random, 0, limit - 1);
    const records = await Promise.all(await send({index, caller, draw}));
    caller.close();
    return records;
  };
  const indexes = Array.from({length: count}, (_, i) => i);
  return (await Promise.all(indexes.map(runCaller))).flat();
}
