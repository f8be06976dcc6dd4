/**
 * Prices one engine as a reader of a part of a prompt. Whatever comes last is
 * read first, so a part is read at once and delays every prompt of which a
 * part stands there.
 */
import {estimateWriteMs} from './engine-model.js';
import {FIRST_EVENT_ERROR, PAUSE_ERROR, estimateAddedLoss} from './loss.js';
import type {EngineFigures} from '../types.js';
import type {EngineLoad} from './load-book.js';

/** Pause objectives after which callers leave a stream that has begun. */
const LEAVE_GAPS = 8;

/** Objectives after which callers leave a stream that has not begun. */
export const LEAVE_GOALS = 4;

/** One engine that may be chosen. */
export interface Candidate {
  readonly id: string;
  readonly isRemote: boolean;
  /** Measured slowness, 1 is as configured. */
  readonly pace: number;
  readonly load: EngineLoad;
}

/** One engine with what a part of the prompt would mean there. */
export interface PricedReader {
  readonly candidate: Candidate;
  /** Reading of the part as configured, in ms. */
  readonly partMs: number;
  /** Time until the part is read, as a helper's and as the first engine's. */
  readonly helperDoneMs: number;
  readonly ownDoneMs: number;
  /** Harm to the streams that the engine writes, either way. */
  readonly helperWriterHarm: number;
  readonly ownWriterHarm: number;
  /** Harm to each prompt that the part passes, by its key. */
  readonly waiterHarms: ReadonlyMap<string, number>;
  /** Writers and waiters together, as a helper. */
  readonly helperHarm: number;
}

/**
 * Harm to the streams that the engine writes: their longest pause grows to
 * the longest pass, which now may be one that reads the part.
 */
function estimateWriterHarm(
  load: EngineLoad,
  writeMs: number,
  passReadMs: number,
): number {
  const longestMs = Math.max(0, ...load.passReadsMs);
  const addedMs = passReadMs - longestMs;
  if (addedMs <= 0) return 0;
  let harm = 0;
  for (const writer of load.writers)
    harm +=
      writer.value *
      estimateAddedLoss(writeMs + longestMs, addedMs, {
        leftMs: writer.gapGoalMs,
        wholeMs: writer.gapGoalMs,
        leaveAfter: LEAVE_GAPS,
        error: PAUSE_ERROR,
      });
  return harm;
}

/**
 * Harm to the streams that the engine will write before the part is read: the
 * rest of it then is one pass, between their first two events. Priced for
 * streams under way alone, parts were put on engines whose prompts other
 * engines were still reading, and 24 of 57 streams of a middle size paused for
 * 800 ms and more where 600 were allowed.
 */
function estimateNextWriterHarm(
  load: EngineLoad,
  partEndMs: number,
  readMs: number,
): number {
  const longestMs = Math.max(0, ...load.passReadsMs);
  let harm = 0;
  for (const {placement, readDoneMs} of load.waiting) {
    const leftMs = Math.min(readMs, partEndMs - readDoneMs);
    if (leftMs <= longestMs) continue;
    harm +=
      placement.value *
      estimateAddedLoss(longestMs, leftMs - longestMs, {
        leftMs: placement.gapGoalMs,
        wholeMs: placement.gapGoalMs,
        leaveAfter: LEAVE_GAPS,
        error: PAUSE_ERROR,
      });
  }
  return harm;
}

/**
 * Harm to the prompts of which a part stands here: what is newest is read
 * first. One that waits longer for another engine is not delayed by this one.
 */
function estimateWaiterHarms(
  load: EngineLoad,
  addedMs: number,
  now: number,
): ReadonlyMap<string, number> {
  const harms = new Map<string, number>();
  for (const {placement, doneMs, readDoneMs} of load.queued) {
    const delayMs = Math.max(0, addedMs - (readDoneMs - doneMs));
    if (delayMs === 0) continue;
    const harm = estimateAddedLoss(readDoneMs, delayMs, {
      leftMs: placement.goalMs - (now - placement.placedAt),
      wholeMs: placement.goalMs,
      leaveAfter: LEAVE_GOALS,
      error: FIRST_EVENT_ERROR,
    });
    harms.set(placement.key, placement.value * harm);
  }
  return harms;
}

/**
 * Prices an engine for a part that it would read in `partMs` undisturbed.
 *
 * @example
 * priceReader(candidate, 190, figures, performance.now()).helperHarm;
 */
export function priceReader(
  candidate: Candidate,
  partMs: number,
  engine: EngineFigures,
  now: number,
): PricedReader {
  const {load, pace} = candidate;
  const readMs = partMs * pace;
  const isWriting = load.writers.length > 0;
  const writeMs =
    estimateWriteMs(load.writers.length, load.contextTokens, engine) * pace;
  const startMs = load.waitMs + load.overdueMs + writeMs;
  // A pass that reads an own prompt goes on with what the next one would read.
  const besideMs = isWriting ? (load.passReadsMs[0] ?? 0) : 0;
  const waiterHarms = estimateWaiterHarms(load, readMs + writeMs, now);
  const nextHarm = estimateNextWriterHarm(load, startMs + readMs, readMs);
  const helperWriterHarm = estimateWriterHarm(load, writeMs, readMs) + nextHarm;
  let helperHarm = helperWriterHarm;
  for (const harm of waiterHarms.values()) helperHarm += harm;
  return {
    candidate,
    partMs,
    helperDoneMs: startMs + readMs,
    ownDoneMs: startMs + readMs + besideMs,
    helperWriterHarm,
    ownWriterHarm:
      estimateWriterHarm(load, writeMs, readMs + besideMs) + nextHarm,
    waiterHarms,
    helperHarm,
  };
}
