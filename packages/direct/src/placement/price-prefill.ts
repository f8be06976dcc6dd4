/**
 * Prices an engine for the prefill of a shard. The newest shard goes first, so
 * it delays every prompt in the engine's queue.
 */
import {estimateDecodeMs} from './engine-model.js';
import {TTFT_ERROR, ITL_ERROR, estimateAddedLoss} from './loss.js';
import type {EngineFigures} from '../types.js';
import type {EngineLoad} from './load-tracker.js';

/** Multiple of the inter-token objective at which callers leave. */
const ABANDON_ITL_OBJECTIVES = 8;

/** Multiple of the first token's objective at which callers leave. */
export const ABANDON_TTFT_OBJECTIVES = 4;

/** An engine that may be chosen. */
export interface Candidate {
  readonly id: string;
  readonly isRemote: boolean;
  /** Measured slowdown; 1 is as configured. */
  readonly slowdown: number;
  readonly load: EngineLoad;
}

/** An engine with the cost of a shard on it. */
export interface PricedEngine {
  readonly candidate: Candidate;
  /** Prefill time of the shard as configured, in ms. */
  readonly shardMs: number;
  /**
   * Time until the prefill ends, as a helper and as the decoding engine, in ms.
   */
  readonly helperDoneMs: number;
  readonly ownDoneMs: number;
  /** Interference with the streams that the engine decodes, in either role. */
  readonly helperDecodeInterference: number;
  readonly ownDecodeInterference: number;
  /** Interference with each queued prompt, by its key. */
  readonly queueInterference: ReadonlyMap<string, number>;
  /** Decode and queue interference together, as a helper. */
  readonly helperInterference: number;
}

/**
 * Interference with decoded streams: their inter-token latency grows with the
 * longest iteration.
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
        leftMs: stream.itlObjectiveMs,
        wholeMs: stream.itlObjectiveMs,
        abandonAfter: ABANDON_ITL_OBJECTIVES,
        error: ITL_ERROR,
      });
  return sum;
}

/**
 * Interference with streams that start decoding while the shard is prefilled:
 * the rest of it falls between their first two events.
 */
function estimatePendingInterference(
  load: EngineLoad,
  shardEndMs: number,
  prefillMs: number,
): number {
  const longestMs = Math.max(0, ...load.iterationPrefillsMs);
  let sum = 0;
  for (const {placement, prefillDoneMs} of load.pending) {
    const leftMs = Math.min(prefillMs, shardEndMs - prefillDoneMs);
    if (leftMs <= longestMs) continue;
    sum +=
      placement.value *
      estimateAddedLoss(longestMs, leftMs - longestMs, {
        leftMs: placement.itlObjectiveMs,
        wholeMs: placement.itlObjectiveMs,
        abandonAfter: ABANDON_ITL_OBJECTIVES,
        error: ITL_ERROR,
      });
  }
  return sum;
}

/**
 * Interference with queued prompts: the new shard preempts them. A prompt that
 * waits longer for another engine is not delayed by this one.
 */
function estimateQueueInterference(
  load: EngineLoad,
  addedMs: number,
  now: number,
): ReadonlyMap<string, number> {
  const byKey = new Map<string, number>();
  for (const {placement, doneMs, prefillDoneMs} of load.queued) {
    const delayMs = Math.max(0, addedMs - (prefillDoneMs - doneMs));
    if (delayMs === 0) continue;
    const loss = estimateAddedLoss(prefillDoneMs, delayMs, {
      leftMs: placement.objectiveMs - (now - placement.placedAt),
      wholeMs: placement.objectiveMs,
      abandonAfter: ABANDON_TTFT_OBJECTIVES,
      error: TTFT_ERROR,
    });
    byKey.set(placement.key, placement.value * loss);
  }
  return byKey;
}

/**
 * Prices an engine for a shard that takes `shardMs` on an idle one.
 *
 * @example
 * pricePrefill(candidate, 190, figures, performance.now()).helperInterference;
 */
export function pricePrefill(
  candidate: Candidate,
  shardMs: number,
  engine: EngineFigures,
  now: number,
): PricedEngine {
  const {load, slowdown} = candidate;
  const prefillMs = shardMs * slowdown;
  const isDecoding = load.decoding.length > 0;
  const decodeMs =
    estimateDecodeMs(load.decoding.length, load.contextTokens, engine) *
    slowdown;
  const startMs = load.waitMs + load.lagMs + decodeMs;
  // An iteration with an own prompt also takes what the next one would prefill.
  const besideMs = isDecoding ? (load.iterationPrefillsMs[0] ?? 0) : 0;
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
  for (const one of queueInterference.values()) helperInterference += one;
  return {
    candidate,
    shardMs,
    helperDoneMs: startMs + prefillMs,
    ownDoneMs: startMs + prefillMs + besideMs,
    helperDecodeInterference,
    ownDecodeInterference:
      estimateDecodeInterference(load, decodeMs, prefillMs + besideMs) +
      pendingInterference,
    queueInterference,
    helperInterference,
  };
}
