/**
 * Groups of decoded streams with equal objectives. The loss that an iteration
 * causes depends on the objectives and is proportional to the value.
 */
import {
  estimateBreakProbability,
  estimateLateIterationLoss,
  estimatePatienceMs,
  BROKEN_STREAM_LOSS,
} from './loss.js';
import type {Placement} from './placement.js';

/** Streams with the same patience and inter-token latency objective. */
export interface StreamGroup {
  readonly patienceMs: number;
  readonly itlObjectiveMs: number;
  readonly count: number;
  /** Sum of the values of the streams. */
  readonly value: number;
}

/**
 * Sums up streams by what an iteration means to their callers.
 *
 * @example
 * sumStreams(load.decoding).length; // 2
 */
export function sumStreams(
  streams: readonly Placement[],
): readonly StreamGroup[] {
  const groups: StreamGroup[] = [];
  for (const stream of streams) {
    const {itlObjectiveMs, value} = stream;
    const patienceMs = estimatePatienceMs(stream);
    const at = groups.findIndex(
      group =>
        group.patienceMs === patienceMs &&
        group.itlObjectiveMs === itlObjectiveMs,
    );
    const group = groups[at] ?? {
      patienceMs,
      itlObjectiveMs,
      count: 0,
      value: 0,
    };
    groups[at === -1 ? groups.length : at] = {
      ...group,
      count: group.count + 1,
      value: group.value + value,
    };
  }
  return groups;
}

/**
 * Estimates the loss of all streams through an iteration.
 *
 * @example
 * estimateGroupLoss(200, sumStreams(load.decoding));
 */
export function estimateGroupLoss(
  iterationMs: number,
  groups: readonly StreamGroup[],
): number {
  let sum = 0;
  for (const {patienceMs, itlObjectiveMs, count, value} of groups)
    sum +=
      estimateLateIterationLoss(iterationMs, itlObjectiveMs) * value +
      BROKEN_STREAM_LOSS *
        estimateBreakProbability(iterationMs, patienceMs) *
        count;
  return sum;
}
