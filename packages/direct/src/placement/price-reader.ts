/**
 * Prices one engine as a reader of a part of a prompt. A helper's part is
 * read at once and delays every prompt of which a part stands there; an own
 * part waits for all that stands there and delays nobody.
 */
import {estimateWriteMs} from './engine-model.js';
import {
  FIRST_EVENT_ERROR_MS,
  PAUSE_ERROR_MS,
  estimateAddedLoss,
} from './loss.js';
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
  readonly partMs: number;
  /** Time until the part is read, as a helper's and as the first engine's. */
  readonly helperDoneMs: number;
  readonly ownDoneMs: number;
  /** Harm to the streams that the engine writes. */
  readonly writerHarm: number;
  /** Harm to each prompt that a helper's part passes, by its key. */
  readonly waiterHarms: ReadonlyMap<string, number>;
  /** Both together, as a helper. */
  readonly helperHarm: number;
}

/** Harm to the streams that the engine writes: one pass reads the part too. */
function estimateWriterHarm(
  load: EngineLoad,
  writeMs: number,
  addedMs: number,
): number {
  const passMs = writeMs + load.backlogMs;
  let harm = 0;
  for (const writer of load.writers)
    harm +=
      writer.value *
      estimateAddedLoss(passMs, addedMs, {
        leftMs: writer.gapGoalMs,
        wholeMs: writer.gapGoalMs,
        leaveAfter: LEAVE_GAPS,
        errorMs: PAUSE_ERROR_MS,
      });
  return harm;
}

/**
 * Harm to the prompts of which a part stands here: a helper's part goes ahead
 * of it. One that waits longer for another engine is not delayed by this one.
 */
function estimateWaiterHarms(
  load: EngineLoad,
  writeMs: number,
  addedMs: number,
  now: number,
): ReadonlyMap<string, number> {
  const harms = new Map<string, number>();
  for (const {placement, doneMs, readDoneMs} of load.queued) {
    const delayMs = Math.max(0, addedMs - (readDoneMs - doneMs));
    if (delayMs === 0) continue;
    const harm = estimateAddedLoss(readDoneMs + 2 * writeMs, delayMs, {
      leftMs: placement.goalMs - (now - placement.placedAt),
      wholeMs: placement.goalMs,
      leaveAfter: LEAVE_GOALS,
      errorMs: FIRST_EVENT_ERROR_MS,
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
  const ownPartMs = partMs * pace;
  const writeMs =
    estimateWriteMs(load.writers.length, load.contextTokens, engine) * pace;
  const writerHarm = estimateWriterHarm(load, writeMs, ownPartMs);
  const waiterHarms = estimateWaiterHarms(load, writeMs, ownPartMs, now);
  let helperHarm = writerHarm;
  for (const harm of waiterHarms.values()) helperHarm += harm;
  // A pass that is under way when the part arrives is waited for: half of
  // its writing part on average.
  const startMs = writeMs / 2;
  return {
    candidate,
    partMs: ownPartMs,
    helperDoneMs: startMs + load.overdueMs + ownPartMs,
    ownDoneMs: startMs + load.backlogMs + ownPartMs,
    writerHarm,
    waiterHarms,
    helperHarm,
  };
}
