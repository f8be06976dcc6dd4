/**
 * Prices an engine for the prefill of a shard. The newest shard is prefilled
 * first, so it delays every prompt in the prefill queue of the engine. The
 * expected loss of the delayed streams is called interference.
 */
import {estimateDecodeMs} from './engine-model.js';
import {TTFT_ERROR, ITL_ERROR, estimateAddedLoss} from './loss.js';
import type {EngineCostModel} from '../types.js';
import type {EngineLoad} from './load-tracker.js';

/** Multiple of the inter-token latency objective at which callers cancel. */
const ABANDON_ITL_OBJECTIVES = 8;

/** Multiple of the time-to-first-token objective at which callers cancel. */
export const ABANDON_TTFT_OBJECTIVES = 4;

/** Shortest pause after which callers cancel, in ms. */
const MIN_PATIENCE_MS = 2000;

/**
 * Estimates the time without an event after which the caller of a stream
 * cancels, in ms.
 *
 * @example
 * estimatePatienceMs({objectiveMs: 300, itlObjectiveMs: 250}); // 2000
 */
export function estimatePatienceMs(objectives: {
  readonly objectiveMs: number;
  readonly itlObjectiveMs: number;
}): number {
  return Math.max(
    MIN_PATIENCE_MS,
    ABANDON_TTFT_OBJECTIVES * objectives.objectiveMs,
    ABANDON_ITL_OBJECTIVES * objectives.itlObjectiveMs,
  );
}

/** An engine considered for placing one prompt. */
export interface Candidate {
  readonly id: string;
  readonly isRemote: boolean;
  /** Measured slowdown; 1 means configured speed. */
  readonly slowdown: number;
  readonly load: EngineLoad;
}

/** A candidate engine with the cost of prefilling a shard on it. */
export interface PricedEngine {
  readonly candidate: Candidate;
  /** Prefill time of the shard at configured speed, in ms. */
  readonly shardMs: number;
  /** Time until the prefill ends if the engine is a helper, in ms. */
  readonly helperDoneMs: number;
  /** Time until the prefill ends if the engine decodes the answer, in ms. */
  readonly decoderDoneMs: number;
  /** Interference with decoded streams if the engine is a helper. */
  readonly helperDecodeInterference: number;
  /** Interference with decoded streams if the engine decodes the answer. */
  readonly decoderDecodeInterference: number;
  /** Interference with each queued prompt, by placement key. */
  readonly queueInterference: ReadonlyMap<string, number>;
  /** Sum of decode and queue interference if the engine is a helper. */
  readonly helperInterference: number;
}

/**
 * Estimates the interference with decoded streams, whose inter-token latency
 * grows with the longest iteration.
 */
function estimateDecodeInterference(
  load: EngineLoad,
  decodeMs: number,
  iterationPrefillMs: number,
): number {
  const longestMs = Math.max(0, ...load.iterationPrefillsMs);
  const addedMs = iterationPrefillMs - longestMs;
  if (addedMs <= 0) return 0;
  let sum = 0;
  for (const stream of load.decoding)
    sum +=
      stream.value *
      estimateAddedLoss(decodeMs + longestMs, addedMs, {
        remainingMs: stream.itlObjectiveMs,
        wholeMs: stream.itlObjectiveMs,
        abandonMultiple: ABANDON_ITL_OBJECTIVES,
        error: ITL_ERROR,
      });
  return sum;
}

/**
 * Estimates the interference with streams that start decoding while the shard
 * is prefilled: the rest of this prefill delays their second event.
 */
function estimatePendingInterference(
  load: EngineLoad,
  shardEndMs: number,
  prefillMs: number,
): number {
  const longestMs = Math.max(0, ...load.iterationPrefillsMs);
  let sum = 0;
  for (const {placement, prefillDoneMs} of load.pending) {
    const overlapMs = Math.min(prefillMs, shardEndMs - prefillDoneMs);
    if (overlapMs <= longestMs) continue;
    sum +=
      placement.value *
      estimateAddedLoss(longestMs, overlapMs - longestMs, {
        remainingMs: placement.itlObjectiveMs,
        wholeMs: placement.itlObjectiveMs,
        abandonMultiple: ABANDON_ITL_OBJECTIVES,
        error: ITL_ERROR,
      });
  }
  return sum;
}

/**
 * Estimates the interference with queued prompts, which the new shard preempts.
 * A prompt that waits longer for another engine is not delayed by this one.
 */
function estimateQueueInterference(
  load: EngineLoad,
  addedMs: number,
  now: number,
): ReadonlyMap<string, number> {
  const lossByPrompt = new Map<string, number>();
  for (const {placement, shardDoneMs, prefillDoneMs} of load.queued) {
    const delayMs = Math.max(0, addedMs - (prefillDoneMs - shardDoneMs));
    if (delayMs === 0) continue;
    const loss = estimateAddedLoss(prefillDoneMs, delayMs, {
      remainingMs: placement.objectiveMs - (now - placement.placedAt),
      wholeMs: placement.objectiveMs,
      abandonMultiple: ABANDON_TTFT_OBJECTIVES,
      error: TTFT_ERROR,
    });
    lossByPrompt.set(placement.key, placement.value * loss);
  }
  return lossByPrompt;
}

/**
 * Prices an engine for a shard that takes `shardMs` on an idle engine.
 *
 * @example
 * pricePrefill(candidate, 190, engine, performance.now()).helperInterference;
 */
export function pricePrefill(
  candidate: Candidate,
  shardMs: number,
  engine: EngineCostModel,
  now: number,
): PricedEngine {
  const {load, slowdown} = candidate;
  const prefillMs = shardMs * slowdown;
  const isDecoding = load.decoding.length > 0;
  const decodeMs =
    estimateDecodeMs(load.decoding.length, load.contextTokens, engine) *
    slowdown;
  const startMs = load.waitMs + load.lagMs + decodeMs;
  // An iteration with a prompt that this engine decodes also includes the
  // prefill planned for the next iteration.
  const nextIterationPrefillMs = isDecoding
    ? (load.iterationPrefillsMs[0] ?? 0)
    : 0;
  const queueInterference = estimateQueueInterference(
    load,
    prefillMs + decodeMs,
    now,
  );
  const pendingInterference = estimatePendingInterference(
    load,
    startMs + prefillMs,
    prefillMs,
  );
  const helperDecodeInterference =
    estimateDecodeInterference(load, decodeMs, prefillMs) + pendingInterference;
  let helperInterference = helperDecodeInterference;
  for (const loss of queueInterference.values()) helperInterference += loss;
  return {
    candidate,
    shardMs,
    helperDoneMs: startMs + prefillMs,
    decoderDoneMs: startMs + prefillMs + nextIterationPrefillMs,
    helperDecodeInterference,
    decoderDecodeInterference:
      estimateDecodeInterference(
        load,
        decodeMs,
        prefillMs + nextIterationPrefillMs,
      ) + pendingInterference,
    queueInterference,
    helperInterference,
  };
}
