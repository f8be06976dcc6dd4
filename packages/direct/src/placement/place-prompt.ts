/**
 * Chooses the engines for a prompt. The cost of a choice is the expected loss
 * of all callers: this stream may miss its objectives, and its prefill
 * interferes with streams that the chosen engines decode or have queued.
 */
import {planReservations} from './kv-cache.js';
import {estimatePrefillMs} from './engine-model.js';
import {
  estimateIterationMs,
  estimateOwnLoss,
  priceAsDecoder,
  priceDecoder,
} from './price-decoder.js';
import {pricePrefill} from './price-prefill.js';
import type {EngineFigures} from '../types.js';
import type {Placement} from './load-tracker.js';
import type {Candidate, PricedEngine} from './price-prefill.js';
import type {PromptChoice, PromptDemand} from './prompt-types.js';

/** Price of each helper: one more engine whose failure fails the prefill. */
const HELPER_PRICE = 0.01;

/** Most engines that prefill one prompt, the decoding engine included. */
export const MAX_PREFILL_ENGINES = 16;

/**
 * Smallest shard worth an engine of its own, in ms: smaller ones wait longer
 * for an iteration than they take.
 */
const MIN_SHARD_MS = 25;

/**
 * Engines that are tried as the decoding engine for each number of shards.
 * Keeps the cost of a choice within the processor share of a small host.
 */
const MAX_DECODERS = 12;

/**
 * Estimates the worth of a stream relative to others, by prompt size.
 *
 * @example
 * estimateValue(154_000); // 16.4
 */
export function estimateValue(promptTokens: number): number {
  return 1 + promptTokens / 10_000;
}

/**
 * Picks the engines with the least interference, one more than needed, as the
 * decoding engine may be among them. Engines with as many shards as slots would
 * refuse another one.
 */
function pickHelpers(
  priced: readonly PricedEngine[],
  count: number,
  engine: EngineFigures,
): readonly PricedEngine[] {
  return priced
    .filter(({candidate}) => candidate.load.helping < engine.slots)
    .sort(
      (a, b) =>
        a.helperInterference - b.helperInterference ||
        a.helperDoneMs - b.helperDoneMs,
    )
    .slice(0, count);
}

/** Picks the engines that are cheapest for decoding. */
function pickDecoders(
  priced: readonly PricedEngine[],
  demand: PromptDemand,
  engine: EngineFigures,
): readonly PricedEngine[] {
  if (priced.length <= MAX_DECODERS) return priced;
  const costs = new Map(
    priced.map(one => [one, priceAsDecoder(one, demand, engine)]),
  );
  const findCost = (one: PricedEngine) => costs.get(one) ?? Infinity;
  return [...priced]
    .sort((a, b) => findCost(a) - findCost(b))
    .slice(0, MAX_DECODERS);
}

/**
 * Sums interference. A queued prompt that several engines delay is late once,
 * so only the largest delay counts.
 */
function sumAllInterference(
  decoder: PricedEngine,
  helpers: readonly PricedEngine[],
): number {
  const worst = new Map<string, number>();
  let sum = decoder.ownDecodeInterference;
  for (const {helperDecodeInterference} of helpers)
    sum += helperDecodeInterference;
  for (const {queueInterference} of [decoder, ...helpers]) {
    for (const [key, loss] of queueInterference)
      worst.set(key, Math.max(loss, worst.get(key) ?? 0));
  }
  for (const loss of worst.values()) sum += loss;
  return sum;
}

/** Builds a choice; nothing if the engines lack KV cache. */
function buildChoice(
  decoder: PricedEngine,
  helpers: readonly PricedEngine[],
  demand: PromptDemand,
  engine: EngineFigures,
): PromptChoice | undefined {
  const reservations = planReservations(
    decoder.candidate,
    helpers.map(helper => helper.candidate),
    demand,
    engine,
  );
  if (reservations === undefined) return undefined;
  const {load} = decoder.candidate;
  const iterationMs = estimateIterationMs(
    decoder.candidate,
    demand.promptTokens / (helpers.length + 1),
    engine,
  );
  let prefillDoneMs = decoder.ownDoneMs;
  for (const helper of helpers)
    prefillDoneMs = Math.max(prefillDoneMs, helper.helperDoneMs);
  const predictedTtftMs = prefillDoneMs;
  const reserved = reservations.reduce((sum, item) => sum + item.tokens, 0);
  return {
    decoder: decoder.candidate.id,
    shards: [decoder, ...helpers].map(({candidate, shardMs}) => ({
      target: candidate.id,
      prefillMs: shardMs,
    })),
    reservations,
    kvTokens: demand.promptTokens + demand.maxOutputTokens - reserved,
    backlogMs: load.backlogMs,
    predictedTtftMs,
    cost:
      estimateOwnLoss(predictedTtftMs, iterationMs, demand) * demand.value +
      sumAllInterference(decoder, helpers) +
      priceDecoder(decoder.candidate, demand, engine) +
      HELPER_PRICE * helpers.length,
  };
}

/**
 * Chooses one or more engines for a prompt: the cheapest combination of a
 * decoding engine and helpers, for every number of shards.
 *
 * @returns Nothing if the engines cannot hold the prompt.
 * @example
 * choosePromptEngines(candidates, demand, figures, performance.now())?.decoder;
 */
export function choosePromptEngines(
  candidates: readonly Candidate[],
  demand: PromptDemand,
  engine: EngineFigures,
  now: number,
): PromptChoice | undefined {
  const prefillMs = estimatePrefillMs(demand.promptTokens, engine);
  const most = Math.min(
    MAX_PREFILL_ENGINES,
    candidates.length,
    Math.ceil(prefillMs / MIN_SHARD_MS),
  );
  let best: PromptChoice | undefined;
  for (let shardCount = 1; shardCount <= most; shardCount++) {
    const priced = candidates.map(candidate =>
      pricePrefill(candidate, prefillMs / shardCount, engine, now),
    );
    const helpers = pickHelpers(priced, shardCount, engine);
    for (const decoder of pickDecoders(priced, demand, engine)) {
      const others = helpers
        .filter(helper => helper !== decoder)
        .slice(0, shardCount - 1);
      if (others.length < shardCount - 1) continue;
      const choice = buildChoice(decoder, others, demand, engine);
      if (choice === undefined) continue;
      if (best === undefined || choice.cost < best.cost) best = choice;
    }
  }
  return best;
}

/**
 * Turns a choice into the placement that the load tracker keeps.
 *
 * @example
 * tracker.add(buildPlacement('10.1.0.4#7', choice, demand, now));
 */
export function buildPlacement(
  key: string,
  choice: PromptChoice,
  demand: PromptDemand,
  now: number,
): Placement {
  return {
    key,
    decoder: choice.decoder,
    shards: choice.shards,
    promptTokens: demand.promptTokens,
    kvTokens: choice.kvTokens,
    reserved: choice.reservations,
    objectiveMs: Math.max(1, demand.objectiveLeftMs),
    itlObjectiveMs: demand.itlObjectiveMs,
    value: demand.value,
    predictedTtftMs: choice.predictedTtftMs,
    placedAt: now,
  };
}
