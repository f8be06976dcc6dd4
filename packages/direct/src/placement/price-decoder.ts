/** Prices engines as the decoding engine of a prompt. */
import {countFreeKvTokens} from './kv-cache.js';
import {estimateDecodeMs} from './engine-model.js';
import {
  ABANDON_TTFT_OBJECTIVES,
  TTFT_ERROR,
  estimateIterationLoss,
  estimateLoss,
} from './loss.js';
import type {EngineCostModel} from '../types.js';
import type {Candidate, PricedEngine} from './price-prefill.js';
import type {PromptDemand} from './prompt-types.js';

/**
 * Price of the first latency-sensitive stream on an engine, and of any other
 * stream beside such streams. Packs short streams on few engines, so that the
 * remaining engines can run long prefills.
 */
const ITL_MISMATCH_PRICE = 0.25;

/**
 * Maximum inter-token latency objective of a latency-sensitive stream, in ms.
 */
const LATENCY_SENSITIVE_ITL_MS = 400;

/** Price of an engine in another availability zone, for cross-zone traffic. */
const REMOTE_ZONE_PRICE = 0.02;

/** Price of each stream above an engine's slots, as a share of its value. */
const EXCESS_STREAM_PRICE = 0.5;

/** Share of occupied slots above which iterations become long. */
const HIGH_LOAD_SHARE = 0.8;

/**
 * Price of a wait as long as the objective, as a share of a stream's value:
 * breaks ties between choices that all meet the objective.
 */
const WAITING_PRICE = 0.01;

/**
 * Prices an engine by its number of streams and its availability zone.
 *
 * @example
 * priceLoadAndZone(candidate, demand, engine); // 0.25 for an idle engine
 */
export function priceLoadAndZone(
  candidate: Candidate,
  demand: PromptDemand,
  engine: EngineCostModel,
): number {
  const {load, isRemote} = candidate;
  const isLatencySensitive = demand.itlObjectiveMs <= LATENCY_SENSITIVE_ITL_MS;
  const hasLatencySensitive =
    load.decodingGroups.some(
      group => group.itlObjectiveMs <= LATENCY_SENSITIVE_ITL_MS,
    ) ||
    load.pending.some(
      ({placement}) => placement.itlObjectiveMs <= LATENCY_SENSITIVE_ITL_MS,
    );
  const excessStreams = load.active + 1 - engine.slots * HIGH_LOAD_SHARE;
  let price = isRemote ? REMOTE_ZONE_PRICE : 0;
  // Packing pays only as far as the streams of the other gates are known.
  if (isLatencySensitive !== hasLatencySensitive)
    price += ITL_MISMATCH_PRICE * (demand.heardShare ?? 1);
  if (excessStreams > 0)
    price +=
      (excessStreams / engine.slots) * EXCESS_STREAM_PRICE * demand.value;
  if (load.active >= engine.slots)
    price +=
      (load.active + 1 - engine.slots) * EXCESS_STREAM_PRICE * demand.value;
  return price;
}

/**
 * Estimates the longest iteration of an engine that decodes one more stream, in
 * ms.
 *
 * @example
 * estimateIterationMs(candidate, 3000, engine);
 */
export function estimateIterationMs(
  {load, slowdown}: Candidate,
  contextTokens: number,
  engine: EngineCostModel,
): number {
  const decoding = load.decoding.length + 1;
  const context = load.contextTokens + contextTokens;
  const decodeMs = estimateDecodeMs(decoding, context, engine) * slowdown;
  return decodeMs + load.longestPrefillMs;
}

/**
 * Estimates the loss of the new stream, in units of the value of a short
 * stream.
 *
 * @example
 * estimateStreamLoss(200, 60, demand);
 */
export function estimateStreamLoss(
  predictedTtftMs: number,
  iterationMs: number,
  demand: PromptDemand,
): number {
  return (
    estimateTtftLoss(predictedTtftMs, demand) +
    estimateIterationLoss(iterationMs, demand)
  );
}

/** Estimates the loss of the new stream until its first token. */
function estimateTtftLoss(
  predictedTtftMs: number,
  demand: PromptDemand,
): number {
  const loss =
    estimateLoss(predictedTtftMs, {
      remainingMs: demand.objectiveLeftMs,
      wholeMs: demand.objectiveMs,
      abandonMultiple: ABANDON_TTFT_OBJECTIVES,
      error: TTFT_ERROR,
    }) +
    (WAITING_PRICE * predictedTtftMs) / demand.objectiveMs;
  return loss * demand.value;
}

/**
 * Prices engines as the decoding engine of one prompt, without helpers. What
 * does not depend on the size of the shard is computed once for each engine.
 *
 * @example
 * new DecoderPricer(demand, engine).price(priced);
 */
export class DecoderPricer {
  private readonly fixedPrices = new Map<Candidate, number>();

  constructor(
    private readonly demand: PromptDemand,
    private readonly engine: EngineCostModel,
  ) {}

  price(priced: PricedEngine): number {
    const {candidate, doneMs, interference} = priced;
    return (
      estimateTtftLoss(doneMs, this.demand) +
      this.findFixedPrice(candidate) +
      interference
    );
  }

  private findFixedPrice(candidate: Candidate): number {
    let price = this.fixedPrices.get(candidate);
    if (price === undefined) {
      price = this.priceWithoutPrefill(candidate);
      this.fixedPrices.set(candidate, price);
    }
    return price;
  }

  private priceWithoutPrefill(candidate: Candidate): number {
    const {demand, engine} = this;
    const neededTokens = demand.promptTokens + demand.maxOutputTokens;
    const missingKvShare =
      Math.max(0, neededTokens - countFreeKvTokens(candidate.load, engine)) /
      neededTokens;
    const iterationMs = estimateIterationMs(
      candidate,
      demand.promptTokens,
      engine,
    );
    return (
      estimateIterationLoss(iterationMs, demand) +
      missingKvShare * demand.value +
      priceLoadAndZone(candidate, demand, engine)
    );
  }
}
