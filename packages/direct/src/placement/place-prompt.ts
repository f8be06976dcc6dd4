/**
 * Chooses the engines for a prompt. Every choice is priced by what it costs
 * all callers together: the chance that this stream misses its objectives,
 * and the chance that streams already written on the chosen engines pause
 * longer than theirs, because one pass reads a long part beside them.
 */
import {estimateReadMs, estimateWriteMs} from './engine-model.js';
import {
  FIRST_EVENT_ERROR_MS,
  LATE_LOSS,
  PAUSE_ERROR_MS,
  estimateLoss,
  estimateRisk,
} from './loss.js';
import {LEAVE_GOALS, priceReader} from './price-reader.js';
import type {EngineFigures} from '../types.js';
import type {HeldMemory, Placement, ReadPart} from './load-book.js';
import type {Candidate, PricedReader} from './price-reader.js';

/**
 * Price of the first tightly paced stream on an engine that has none. It
 * keeps short streams packed on few engines, so that the others can read
 * long parts with nobody beside them.
 */
const FRESH_ENGINE_PRICE = 0.25;

/** Pause objective up to which a stream counts as tightly paced, in ms. */
const TIGHT_GAP_MS = 400;

/** Price of each further reader: one more engine whose loss breaks the read. */
const READER_PRICE = 0.01;

/** Price of a target in another availability zone: its bytes. */
const REMOTE_PRICE = 0.02;

/** Price, in shares of its value, of each stream above an engine's slots. */
const OVERFULL_PRICE = 0.5;

/** Share of the slots above which an engine's passes grow long. */
const FULL_SHARE = 0.8;

/** Engines that may read one prompt: the first and 15 helpers. */
const MAX_READERS = 16;

/**
 * Smallest part that is worth a reader of its own, in ms: about half a pass.
 * Smaller parts wait longer for the pass they join than they take, and the
 * first event waits for the slowest of them.
 */
const MIN_PART_MS = 25;

/**
 * Price of a whole objective's wait, in shares of a stream's worth. Idle
 * engines are worth using although the objective would be met without: the
 * prompt is out of the way before the next one comes.
 */
const HASTE_LOSS = 0.05;

/**
 * Engines that are tried as the one that writes the answer, for each number
 * of readers: the cheapest by themselves. With all of 69 engines a long prompt
 * was placed 24 ms (median; 90th percentile 66) after its arrival at a host
 * with a quarter to the whole of a core, with twelve 18 ms (39).
 */
const MAX_FIRSTS = 12;

/** Memory left free on an engine for the streams that it writes, in tokens. */
const MEMORY_MARGIN_TOKENS = 6000;

/** The stream to place. */
export interface PromptDemand {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Latency objective of the first event, in ms. */
  readonly goalMs: number;
  /** What is left of it, in ms; below zero once it is missed. */
  readonly goalLeftMs: number;
  readonly gapGoalMs: number;
  readonly value: number;
}

/** The chosen engines. */
export interface PromptChoice {
  readonly first: string;
  readonly parts: readonly ReadPart[];
  /** Memory to reserve on helpers, for a prompt that one engine cannot hold. */
  readonly reservations: readonly HeldMemory[];
  /** Tokens that stay at the first engine. */
  readonly memoryTokens: number;
  /** Reading that stood before this one at the first engine, in ms. */
  readonly backlogMs: number;
  readonly predictedFirstMs: number;
  readonly cost: number;
}

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

/** Price of an engine as the one that writes the answer. */
function priceFirst(
  candidate: Candidate,
  demand: PromptDemand,
  engine: EngineFigures,
): number {
  const {load, isRemote} = candidate;
  const isTight = demand.gapGoalMs <= TIGHT_GAP_MS;
  const hasTight =
    load.writers.some(writer => writer.gapGoalMs <= TIGHT_GAP_MS) ||
    load.waiting.some(waiter => waiter.gapGoalMs <= TIGHT_GAP_MS);
  const over = load.active + 1 - engine.slots * FULL_SHARE;
  let price = isRemote ? REMOTE_PRICE : 0;
  if (isTight !== hasTight) price += FRESH_ENGINE_PRICE;
  if (over > 0) price += (over / engine.slots) * OVERFULL_PRICE * demand.value;
  if (load.active >= engine.slots)
    price += (load.active + 1 - engine.slots) * OVERFULL_PRICE * demand.value;
  return price;
}

/** Memory that an engine has left for one more prompt, in tokens. */
function countRoom(candidate: Candidate, engine: EngineFigures): number {
  return (
    engine.memoryTokens - MEMORY_MARGIN_TOKENS - candidate.load.memoryTokens
  );
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

/** What a choice costs by its first engine alone. */
function priceAsFirst(
  reader: PricedReader,
  demand: PromptDemand,
  engine: EngineFigures,
): number {
  const {candidate, ownDoneMs, writerHarm} = reader;
  const need = demand.promptTokens + demand.maxOutputTokens;
  const missing = Math.max(0, need - countRoom(candidate, engine)) / need;
  const passMs = estimateFirstPassMs(candidate, demand.promptTokens, engine);
  return (
    (estimateOwnLoss(ownDoneMs + passMs, passMs, demand) + missing) *
      demand.value +
    writerHarm +
    priceFirst(candidate, demand, engine)
  );
}

/** One pass of an engine that writes this stream beside its others, in ms. */
function estimateFirstPassMs(
  {load, pace}: Candidate,
  contextTokens: number,
  engine: EngineFigures,
): number {
  const writers = load.writers.length + 1;
  const context = load.contextTokens + contextTokens;
  return estimateWriteMs(writers, context, engine) * pace;
}

/** What the first engine cannot hold and helpers take, largest room first. */
function planReservations(
  first: Candidate,
  helpers: readonly PricedReader[],
  demand: PromptDemand,
  engine: EngineFigures,
): PromptChoice['reservations'] | undefined {
  const need = demand.promptTokens + demand.maxOutputTokens;
  let missing = need - countRoom(first, engine);
  if (missing <= 0) return [];
  const plan: HeldMemory[] = [];
  const byRoom = helpers
    .map(({candidate}) => ({
      id: candidate.id,
      room: countRoom(candidate, engine),
    }))
    .sort((a, b) => b.room - a.room);
  for (const {id, room} of byRoom) {
    if (missing <= 0 || room <= 0) break;
    const tokens = Math.ceil(Math.min(missing, room));
    plan.push({target: id, tokens});
    missing -= tokens;
  }
  return missing <= 0 ? plan : undefined;
}

/** Share of its worth that the new stream is expected to lose. */
function estimateOwnLoss(
  predictedFirstMs: number,
  passMs: number,
  demand: PromptDemand,
): number {
  return (
    estimateLoss(predictedFirstMs, {
      leftMs: demand.goalLeftMs,
      wholeMs: demand.goalMs,
      leaveAfter: LEAVE_GOALS,
      errorMs: FIRST_EVENT_ERROR_MS,
    }) +
    LATE_LOSS * estimateRisk(passMs, demand.gapGoalMs, PAUSE_ERROR_MS) +
    (HASTE_LOSS * predictedFirstMs) / demand.goalMs
  );
}

/**
 * Harm of all helpers together. A prompt that several of them delay is late
 * once: weighed for each of them, the engines that read it would all look
 * forbidden, and the new prompt would be left to few.
 */
function sumHelperHarm(helpers: readonly PricedReader[]): number {
  const worst = new Map<string, number>();
  let sum = 0;
  for (const {writerHarm, waiterHarms} of helpers) {
    sum += writerHarm;
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
    helpers,
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
  const predictedFirstMs = readDoneMs + passMs;
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
      first.writerHarm +
      sumHelperHarm(helpers) +
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
 * Says whether idle engines could hold a prompt between them.
 *
 * @example
 * isEverFitting({promptTokens: 700_000, maxOutputTokens: 100}, figures, 2); // false
 */
export function isEverFitting(
  demand: Pick<PromptDemand, 'promptTokens' | 'maxOutputTokens'>,
  engine: EngineFigures,
  engines: number,
): boolean {
  const need = demand.promptTokens + demand.maxOutputTokens;
  const room = engine.memoryTokens - MEMORY_MARGIN_TOKENS;
  return need <= room * Math.min(engines, MAX_READERS);
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
