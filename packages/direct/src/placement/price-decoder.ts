/** Prices an engine as the one that decodes the answer. */
import {countFreeKvTokens} from './kv-cache.js';
import {estimateDecodeMs} from './engine-model.js';
import {
  TTFT_ERROR,
  LATE_LOSS,
  ITL_ERROR,
  estimateLoss,
  estimateRisk,
} from './loss.js';
import {ABANDON_TTFT_OBJECTIVES} from './price-prefill.js';
import type {EngineFigures} from '../types.js';
import type {Candidate, PricedEngine} from './price-prefill.js';
import type {PromptDemand} from './prompt-types.js';

/**
 * Price of the first latency-sensitive stream on an engine. It packs short
 * streams on few engines, which leaves the others to long prefills.
 */
const IDLE_ENGINE_PRICE = 0.25;

/** Inter-token objective up to which a stream is latency-sensitive, in ms. */
const TIGHT_ITL_MS = 400;

/** Price of traffic to another availability zone. */
const REMOTE_PRICE = 0.02;

/** Price of each stream above an engine's slots, as a share of its value. */
const OVERFULL_PRICE = 0.5;

/** Share of the slots above which iterations grow long. */
const FULL_SHARE = 0.8;

/**
 * Price of a wait as long as the objective, as a share of a stream's worth:
 * decides between choices that are equally in time.
 */
const WAITING_PRICE = 0.01;

/**
 * Prices an engine by its load and zone.
 *
 * @example
 * priceDecoder(candidate, demand, figures); // 0.25 for an idle engine
 */
export function priceDecoder(
  candidate: Candidate,
  demand: PromptDemand,
  engine: EngineFigures,
): number {
  const {load, isRemote} = candidate;
  const isTight = demand.itlObjectiveMs <= TIGHT_ITL_MS;
  const hasTight =
    load.decoding.some(stream => stream.itlObjectiveMs <= TIGHT_ITL_MS) ||
    load.pending.some(
      ({placement}) => placement.itlObjectiveMs <= TIGHT_ITL_MS,
    );
  const over = load.active + 1 - engine.slots * FULL_SHARE;
  let price = isRemote ? REMOTE_PRICE : 0;
  if (isTight !== hasTight) price += IDLE_ENGINE_PRICE;
  if (over > 0) price += (over / engine.slots) * OVERFULL_PRICE * demand.value;
  if (load.active >= engine.slots)
    price += (load.active + 1 - engine.slots) * OVERFULL_PRICE * demand.value;
  return price;
}

/**
 * Estimates the longest iteration of an engine that decodes this stream beside
 * its others, in ms.
 *
 * @example
 * estimateIterationMs(candidate, 3000, figures);
 */
export function estimateIterationMs(
  {load, slowdown}: Candidate,
  contextTokens: number,
  engine: EngineFigures,
): number {
  const decoding = load.decoding.length + 1;
  const context = load.contextTokens + contextTokens;
  const prefillMs = Math.max(0, ...load.iterationPrefillsMs);
  return estimateDecodeMs(decoding, context, engine) * slowdown + prefillMs;
}

/**
 * Estimates the share of its worth that the new stream loses.
 *
 * @example
 * estimateOwnLoss(200, 60, demand);
 */
export function estimateOwnLoss(
  predictedTtftMs: number,
  iterationMs: number,
  demand: PromptDemand,
): number {
  return (
    estimateLoss(predictedTtftMs, {
      leftMs: demand.objectiveLeftMs,
      wholeMs: demand.objectiveMs,
      abandonAfter: ABANDON_TTFT_OBJECTIVES,
      error: TTFT_ERROR,
    }) +
    LATE_LOSS * estimateRisk(iterationMs, demand.itlObjectiveMs, ITL_ERROR) +
    (WAITING_PRICE * predictedTtftMs) / demand.objectiveMs
  );
}

/**
 * Prices a choice by its decoding engine alone.
 *
 * @example
 * priceAsDecoder(priced, demand, figures);
 */
export function priceAsDecoder(
  priced: PricedEngine,
  demand: PromptDemand,
  engine: EngineFigures,
): number {
  const {candidate, ownDoneMs, ownDecodeInterference, queueInterference} =
    priced;
  const need = demand.promptTokens + demand.maxOutputTokens;
  const missing =
    Math.max(0, need - countFreeKvTokens(candidate.load, engine)) / need;
  const iterationMs = estimateIterationMs(
    candidate,
    demand.promptTokens,
    engine,
  );
  return (
    (estimateOwnLoss(ownDoneMs, iterationMs, demand) + missing) * demand.value +
    ownDecodeInterference +
    sumInterference(queueInterference.values()) +
    priceDecoder(candidate, demand, engine)
  );
}

function sumInterference(losses: Iterable<number>): number {
  let sum = 0;
  for (const loss of losses) sum += loss;
  return sum;
}
