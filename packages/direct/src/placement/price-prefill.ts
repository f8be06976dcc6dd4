/**
 * Prices an engine for the prefill of a shard. The newest shard is prefilled
 * first, so it delays every prompt in the prefill queue of the engine. The
 * expected loss of the delayed streams is called interference.
 */
import {estimateDecodeMs} from './engine-model.js';
import {
  ABANDON_TTFT_OBJECTIVES,
  TTFT_ERROR,
  estimateAddedLoss,
  estimateIterationLoss,
  estimatePatienceMs,
} from './loss.js';
import type {EngineCostModel} from '../types.js';
import type {EngineLoad} from './load-tracker.js';

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
  /** Streams that callers cancel if the engine is a helper. */
  readonly helperBrokenStreams: number;
  /** Streams that callers cancel if the engine decodes the answer. */
  readonly decoderBrokenStreams: number;
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
      estimateIterationLoss(decodeMs + iterationPrefillMs, stream) -
      estimateIterationLoss(decodeMs + longestMs, stream);
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
      estimateIterationLoss(overlapMs, placement) -
      estimateIterationLoss(longestMs, placement);
  }
  return sum;
}

/**
 * Counts the decoded streams whose callers outlast every coming iteration but
 * not one with `iterationPrefillMs` of prefill.
 */
function countBrokenStreams(
  load: EngineLoad,
  decodeMs: number,
  iterationPrefillMs: number,
): number {
  const longestMs = Math.max(0, ...load.iterationPrefillsMs);
  return load.decoding.filter(stream => {
    const patienceMs = estimatePatienceMs(stream);
    return (
      decodeMs + longestMs < patienceMs &&
      decodeMs + iterationPrefillMs >= patienceMs
    );
  }).length;
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
    helperBrokenStreams: countBrokenStreams(load, decodeMs, prefillMs),
    decoderBrokenStreams: countBrokenStreams(
      load,
      decodeMs,
      prefillMs + nextIterationPrefillMs,
    ),
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
