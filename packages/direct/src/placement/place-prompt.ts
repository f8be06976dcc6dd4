/**
 * Chooses the engines for a prompt. The cost of a choice is the expected loss
 * over all streams: the new stream may miss its objectives, and its prefill
 * delays streams that the chosen engines decode or have queued (interference).
 */
import {planReservations} from './kv-cache.js';
import {estimatePrefillMs} from './engine-model.js';
import {
  DecoderPricer,
  estimateIterationMs,
  estimateStreamLoss,
  priceLoadAndZone,
} from './price-decoder.js';
import {estimatePatienceMs} from './loss.js';
import {pickLowest} from './pick-lowest.js';
import {findPricer} from './price-prefill.js';
import type {EngineCostModel} from '../types.js';
import type {Placement} from './placement.js';
import type {
  Candidate,
  EnginePricer,
  PricedEngine,
  ShardSize,
} from './price-prefill.js';
import type {PromptChoice, PromptDemand} from './prompt-types.js';

/** Price of each helper: one more engine whose failure aborts the prefill. */
const HELPER_PRICE = 0.01;

/**
 * Maximum number of engines that prefill one prompt, including the decoding
 * engine.
 */
export const MAX_PREFILL_ENGINES = 16;

/**
 * Minimum prefill time of a shard, in ms: smaller shards wait longer for an
 * iteration than their prefill takes.
 */
const MIN_SHARD_MS = 25;

/**
 * Maximum number of engines that are tried as the decoding engine for each
 * number of shards: limits the CPU time of a choice to what a small host can
 * spare.
 */
const MAX_DECODERS = 12;

/**
 * Number of engines that are considered for the shards of a prompt; more are
 * looked at only as single engines.
 */
const MAX_SHARD_ENGINES = 48;

/**
 * Estimates the value of a stream, relative to other streams, from the size of
 * its prompt.
 *
 * @example
 * estimateValue(154_000); // 16.4
 */
export function estimateValue(promptTokens: number): number {
  return 1 + promptTokens / 10_000;
}

/**
 * Picks the engines with the least interference as helpers, first those on
 * which no stream is broken. The count includes
 * one spare, because the decoding engine may be among those picked. Engines
 * that help as many prompts as they have slots would refuse another shard.
 */
function pickHelpers(
  priced: readonly PricedEngine[],
  count: number,
  engine: EngineCostModel,
): readonly PricedEngine[] {
  const able = priced.filter(
    ({candidate}) => candidate.load.helpedPrompts < engine.slots,
  );
  return pickLowest(
    able,
    count,
    (a, b) =>
      Number(a.brokenStreams > 0) - Number(b.brokenStreams > 0) ||
      a.interference - b.interference ||
      a.doneMs - b.doneMs,
  );
}

/** How the engines of one choice are priced. */
interface ShardPricing {
  readonly decoderPricer: DecoderPricer;
  readonly engine: EngineCostModel;
}

/** An engine with its price as the decoding engine. */
interface PricedDecoder {
  readonly engine: PricedEngine;
  readonly cost: number;
}

/**
 * Picks the engines that cost least as the decoding engine, first those on
 * which no stream is broken.
 */
function pickDecoders(
  priced: readonly PricedEngine[],
  pricer: DecoderPricer,
): readonly PricedEngine[] {
  if (priced.length <= MAX_DECODERS) return priced;
  const decoders = priced.map(engine => ({engine, cost: pricer.price(engine)}));
  const compare = (a: PricedDecoder, b: PricedDecoder) =>
    Number(a.engine.brokenStreams > 0) - Number(b.engine.brokenStreams > 0) ||
    a.cost - b.cost;
  return pickLowest(decoders, MAX_DECODERS, compare).map(({engine}) => engine);
}

/**
 * Picks the engines of a large fleet that are considered for shards: those that
 * decode the whole prompt at least cost, and those that decode or prefill its
 * smallest shard with the least interference.
 */
function pickShardEngines(
  pricers: readonly EnginePricer[],
  pricedWhole: readonly PricedEngine[],
  smallestShard: ShardSize,
  {decoderPricer, engine}: ShardPricing,
): readonly EnginePricer[] {
  const priced = pricers.map(pricer => pricer.price(smallestShard));
  const picked = new Set(
    [
      ...pickDecoders(pricedWhole, decoderPricer),
      ...pickDecoders(priced, decoderPricer),
      ...pickHelpers(priced, MAX_SHARD_ENGINES, engine),
    ].map(({candidate}) => candidate),
  );
  return pricers.filter((_, i) => picked.has(priced[i].candidate));
}

/**
 * Sums the interference on all chosen engines. A queued prompt that several
 * engines delay is late only once, so only its largest loss counts.
 */
function sumAllInterference(engines: readonly PricedEngine[]): number {
  const largestLossByPrompt = new Map<string, number>();
  let sum = 0;
  for (const {decodeInterference, queueInterference} of engines) {
    sum += decodeInterference;
    for (const [key, loss] of queueInterference)
      largestLossByPrompt.set(
        key,
        Math.max(loss, largestLossByPrompt.get(key) ?? 0),
      );
  }
  for (const loss of largestLossByPrompt.values()) sum += loss;
  return sum;
}

/** Builds a choice; undefined if the engines lack KV cache for the prompt. */
function buildChoice(
  decoder: PricedEngine,
  helpers: readonly PricedEngine[],
  demand: PromptDemand,
  engine: EngineCostModel,
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
  const engines = [decoder, ...helpers];
  const predictedTtftMs = Math.max(...engines.map(({doneMs}) => doneMs));
  const reserved = reservations.reduce((sum, item) => sum + item.tokens, 0);
  return {
    decoder: decoder.candidate.id,
    shards: engines.map(({candidate, shard}) => ({
      target: candidate.id,
      prefillMs: shard.prefillMs,
    })),
    reservations,
    kvTokens: demand.promptTokens + demand.maxOutputTokens - reserved,
    backlogMs: load.backlogMs,
    predictedTtftMs,
    iterationMs,
    brokenStreams: engines.reduce(
      (sum, {brokenStreams}) => sum + brokenStreams,
      0,
    ),
    cost:
      estimateStreamLoss(predictedTtftMs, iterationMs, demand) +
      sumAllInterference(engines) +
      priceLoadAndZone(decoder.candidate, demand, engine) +
      HELPER_PRICE * helpers.length,
  };
}

/**
 * Checks whether a choice breaks no stream and the caller of the prompt cancels
 * neither before the first token nor before the second one.
 */
function isHarmless(choice: PromptChoice, demand: PromptDemand): boolean {
  const patienceMs = estimatePatienceMs(demand);
  const waitedMs = demand.objectiveMs - demand.objectiveLeftMs;
  return (
    choice.brokenStreams === 0 &&
    waitedMs + choice.predictedTtftMs < patienceMs &&
    choice.iterationMs < patienceMs
  );
}

/** Checks whether `choice` is to be preferred to `other`. */
function isBetter(
  choice: PromptChoice,
  other: PromptChoice | undefined,
  demand: PromptDemand,
): boolean {
  if (other === undefined) return true;
  const harmless = isHarmless(choice, demand);
  if (harmless !== isHarmless(other, demand)) return harmless;
  return choice.cost < other.cost;
}

/**
 * Chooses one or more engines for a prompt: the cheapest combination of a
 * decoding engine and helpers over all numbers of shards, among those that
 * break no stream if there are any.
 *
 * @returns The choice, or undefined if the engines lack KV cache for the
 *   prompt.
 * @example
 * choosePromptEngines(candidates, demand, engine, performance.now())?.decoder;
 */
export function choosePromptEngines(
  candidates: readonly Candidate[],
  demand: PromptDemand,
  engine: EngineCostModel,
  now: number,
): PromptChoice | undefined {
  const prefillMs = estimatePrefillMs(demand.promptTokens, engine);
  const most = Math.min(
    MAX_PREFILL_ENGINES,
    candidates.length,
    Math.ceil(prefillMs / MIN_SHARD_MS),
  );
  const buildShard = (count: number): ShardSize => ({
    tokens: demand.promptTokens / count,
    prefillMs: prefillMs / count,
  });
  const all = candidates.map(candidate => findPricer(candidate, engine, now));
  const decoderPricer = new DecoderPricer(demand, engine);
  let pricers: readonly EnginePricer[] = all;
  let best: PromptChoice | undefined;
  for (let shardCount = 1; shardCount <= most; shardCount++) {
    const shard = buildShard(shardCount);
    const priced = pricers.map(pricer => pricer.price(shard));
    const helpers =
      shardCount === 1 ? [] : pickHelpers(priced, shardCount, engine);
    for (const decoder of pickDecoders(priced, decoderPricer)) {
      const others = helpers
        .filter(helper => helper !== decoder)
        .slice(0, shardCount - 1);
      if (others.length < shardCount - 1) continue;
      const choice = buildChoice(decoder, others, demand, engine);
      if (choice === undefined) continue;
      if (isBetter(choice, best, demand)) best = choice;
    }
    if (shardCount === 1 && most > 1 && all.length > MAX_SHARD_ENGINES)
      pricers = pickShardEngines(all, priced, buildShard(most), {
        decoderPricer,
        engine,
      });
  }
  return best;
}

/**
 * Builds the placement that the load tracker stores for a choice.
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
    suspects: demand.suspects,
  };
}
