/**
 * Chooses the engines for a prompt. Every choice is priced by what it costs
 * all callers together: the chance that this stream misses its objectives,
 * and the chance that streams already written on the chosen engines pause
 * longer than theirs, because one pass reads a long part beside them.
 */
import {planReservations} from './engine-memory.js';
import {estimateReadMs} from './engine-model.js';
import {
  estimateFirstPassMs,
  estimateOwnLoss,
  priceAsFirst,
  priceFirst,
} from './price-first.js';
import {priceReader} from './price-reader.js';
import type {EngineFigures} from '../types.js';
import type {Placement} from './load-book.js';
import type {Candidate, PricedReader} from './price-reader.js';
import type {PromptChoice, PromptDemand} from './prompt-types.js';

/** Price of each further reader: one more engine whose loss breaks the read. */
const READER_PRICE = 0.01;

/** Engines that may read one prompt: the first and 15 helpers. */
export const MAX_READERS = 16;

/**
 * Smallest part that is worth a reader of its own, in ms: about half a pass.
 * Smaller parts wait longer for the pass they join than they take, and the
 * first event waits for the slowest of them.
 */
const MIN_PART_MS = 25;

/**
 * Engines that are tried as the one that writes the answer, for each number
 * of readers: the cheapest by themselves. With all of 69 engines a long prompt
 * was placed 24 ms (median; 90th percentile 66) after its arrival at a host
 * with a quarter to the whole of a core, with twelve 18 ms (39).
 */
const MAX_FIRSTS = 12;

/**
 * Weighs one stream against others by its size: a generation's worth grows
 * with its prompt, from about 1 for a short one.
 *
 * @example
 * estimateValue(154_000); // 16.4
 */
export function estimateValue(promptTokens: number): number {
  return 1 + promptTokens / 10_000;
}

/**
 * Picks the engines that a part harms least, one more than are needed: the
 * first engine may be among them. One that helps as many prompts as it has
 * slots refuses the next.
 */
function pickHelpers(
  priced: readonly PricedReader[],
  count: number,
  engine: EngineFigures,
): readonly PricedReader[] {
  return priced
    .filter(({candidate}) => candidate.load.helping < engine.slots)
    .sort(
      (a, b) => a.helperHarm - b.helperHarm || a.helperDoneMs - b.helperDoneMs,
    )
    .slice(0, count);
}

/** Picks the engines that are cheapest to write the answer, by themselves. */
function pickFirsts(
  priced: readonly PricedReader[],
  demand: PromptDemand,
  engine: EngineFigures,
): readonly PricedReader[] {
  if (priced.length <= MAX_FIRSTS) return priced;
  const costs = new Map(
    priced.map(reader => [reader, priceAsFirst(reader, demand, engine)]),
  );
  const readCost = (reader: PricedReader) => costs.get(reader) ?? Infinity;
  return [...priced]
    .sort((a, b) => readCost(a) - readCost(b))
    .slice(0, MAX_FIRSTS);
}

/**
 * Harm of all readers together. A prompt that several of them delay is late
 * once: weighed for each of them, the engines that read it would all look
 * forbidden, and the new prompt would be left to few.
 */
function sumHarm(
  first: PricedReader,
  helpers: readonly PricedReader[],
): number {
  const worst = new Map<string, number>();
  let sum = first.ownWriterHarm;
  for (const {helperWriterHarm} of helpers) sum += helperWriterHarm;
  for (const {waiterHarms} of [first, ...helpers]) {
    for (const [key, harm] of waiterHarms)
      worst.set(key, Math.max(harm, worst.get(key) ?? 0));
  }
  for (const harm of worst.values()) sum += harm;
  return sum;
}

/** Describes the choice of `first` with `helpers`; nothing without memory. */
function buildChoice(
  first: PricedReader,
  helpers: readonly PricedReader[],
  demand: PromptDemand,
  engine: EngineFigures,
): PromptChoice | undefined {
  const reservations = planReservations(
    first.candidate,
    helpers.map(helper => helper.candidate),
    demand,
    engine,
  );
  if (reservations === undefined) return undefined;
  const {load} = first.candidate;
  const passMs = estimateFirstPassMs(
    first.candidate,
    demand.promptTokens / (helpers.length + 1),
    engine,
  );
  let readDoneMs = first.ownDoneMs;
  for (const helper of helpers)
    readDoneMs = Math.max(readDoneMs, helper.helperDoneMs);
  const predictedFirstMs = readDoneMs;
  const reserved = reservations.reduce((sum, item) => sum + item.tokens, 0);
  return {
    first: first.candidate.id,
    parts: [first, ...helpers].map(reader => ({
      target: reader.candidate.id,
      workMs: reader.partMs,
    })),
    reservations,
    memoryTokens: demand.promptTokens + demand.maxOutputTokens - reserved,
    backlogMs: load.backlogMs,
    predictedFirstMs,
    cost:
      estimateOwnLoss(predictedFirstMs, passMs, demand) * demand.value +
      sumHarm(first, helpers) +
      priceFirst(first.candidate, demand, engine) +
      READER_PRICE * helpers.length,
  };
}

/**
 * Chooses one or more engines for a prompt: for every number of readers, each
 * engine is tried as the first with the helpers that are harmed least, and
 * the cheapest choice of all is taken.
 *
 * @returns Nothing when no engines together can hold the prompt.
 * @example
 * choosePromptEngines(candidates, demand, figures, performance.now())?.first;
 */
export function choosePromptEngines(
  candidates: readonly Candidate[],
  demand: PromptDemand,
  engine: EngineFigures,
  now: number,
): PromptChoice | undefined {
  const readMs = estimateReadMs(demand.promptTokens, engine);
  const most = Math.min(
    MAX_READERS,
    candidates.length,
    Math.ceil(readMs / MIN_PART_MS),
  );
  let best: PromptChoice | undefined;
  for (let readers = 1; readers <= most; readers++) {
    const priced = candidates.map(candidate =>
      priceReader(candidate, readMs / readers, engine, now),
    );
    const helpers = pickHelpers(priced, readers, engine);
    for (const first of pickFirsts(priced, demand, engine)) {
      const others = helpers
        .filter(reader => reader !== first)
        .slice(0, readers - 1);
      if (others.length < readers - 1) continue;
      const choice = buildChoice(first, others, demand, engine);
      if (choice === undefined) continue;
      if (best === undefined || choice.cost < best.cost) best = choice;
    }
  }
  return best;
}

/**
 * Turns a choice into the placement that the load book keeps.
 *
 * @example
 * book.add(buildPlacement('10.1.0.4#7', choice, demand, now));
 */
export function buildPlacement(
  key: string,
  choice: PromptChoice,
  demand: PromptDemand,
  now: number,
): Placement {
  return {
    key,
    first: choice.first,
    parts: choice.parts,
    promptTokens: demand.promptTokens,
    memoryTokens: choice.memoryTokens,
    held: choice.reservations,
    goalMs: Math.max(1, demand.goalLeftMs),
    gapGoalMs: demand.gapGoalMs,
    value: demand.value,
    predictedFirstMs: choice.predictedFirstMs,
    placedAt: now,
  };
}
