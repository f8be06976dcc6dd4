/** Sums up what the callers of a burst got. */
import {CLASSES} from './burst-fleet.js';
import type {BurstStream, PromptClass} from './burst-fleet.js';

/** Counts what the callers of one class got. */
export interface BurstCounts {
  readonly all: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly unanswered: number;
  /** Longest time until a caller was refused, in ms. */
  readonly longestRefusalMs: number;
}

/**
 * Counts what the callers of one class got.
 *
 * @example
 * countResults(streams, 'long').inTime;
 */
export function countResults(
  streams: readonly BurstStream[],
  kind: PromptClass,
): BurstCounts {
  const own = streams.filter(stream => stream.kind === kind);
  const {objectiveMs} = CLASSES[kind];
  const begun = own.flatMap(({at, firstTokenAt}) =>
    firstTokenAt === undefined ? [] : [firstTokenAt - at],
  );
  const refused = own.flatMap(({at, refusedAt}) =>
    refusedAt === undefined ? [] : [refusedAt - at],
  );
  const inTime = begun.filter(ms => ms <= objectiveMs).length;
  return {
    all: own.length,
    inTime,
    late: begun.length - inTime,
    refused: refused.length,
    unanswered: own.length - begun.length - refused.length,
    longestRefusalMs: Math.max(0, ...refused),
  };
}

/**
 * Sums the value of all answers, in units of a short answer in time: a long one
 * is worth 15 times as much, a late one a quarter.
 *
 * @example
 * sumValue(streams);
 */
export function sumValue(streams: readonly BurstStream[]): number {
  const long = countResults(streams, 'long');
  const short = countResults(streams, 'short');
  return 15 * (long.inTime + long.late / 4) + short.inTime + short.late / 4;
}
