/**
 * Prices one engine as a reader of a part of a prompt. An engine reads parts
 * for others ahead of its own prompts: a helper's part therefore delays the
 * prompts that wait there, and an own part waits for all that stands there.
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
  /** Harm to other streams, in the same two roles. */
  readonly helperHarm: number;
  readonly ownHarm: number;
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

/** Harm to the engine's own prompts, which a helper's part passes. */
function estimateWaiterHarm(
  load: EngineLoad,
  writeMs: number,
  addedMs: number,
  now: number,
): number {
  let harm = 0;
  for (const waiter of load.waiting)
    harm +=
      waiter.value *
      estimateAddedLoss(load.backlogMs + 2 * writeMs, addedMs, {
        leftMs: waiter.goalMs - (now - waiter.placedAt),
        wholeMs: waiter.goalMs,
        leaveAfter: LEAVE_GOALS,
        errorMs: FIRST_EVENT_ERROR_MS,
      });
  return harm;
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
  // A pass that is under way when the part arrives is waited for: half of
  // its writing part on average.
  const startMs = writeMs / 2;
  return {
    candidate,
    partMs: ownPartMs,
    helperDoneMs: startMs + load.helperBacklogMs + ownPartMs,
    ownDoneMs: startMs + load.backlogMs + ownPartMs,
    helperHarm: writerHarm + estimateWaiterHarm(load, writeMs, ownPartMs, now),
    ownHarm: writerHarm,
  };
}
