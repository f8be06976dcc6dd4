/**
 * Chooses the engines for a prompt. Every choice is priced by what it costs
 * all callers together: the chance that this stream misses its objectives,
 * and the chance that streams already written on the chosen engines pause
 * longer than theirs, because one pass reads a long part beside them.
 */
import {estimateReadMs, estimateWriteMs} from './engine-model.js';
import type {EngineFigures} from '../types.js';
import type {EngineLoad, Placement, ReadPart} from './load-book.js';

/** Part of its worth that a late answer loses: late is worth a quarter. */
const LATE_LOSS = 0.75;

/**
 * Share of an objective from which on the estimate's error makes a miss
 * possible; at the whole objective it is taken as certain.
 */
const RISK_FROM = 0.65;

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
 * Part of its worth that a stream is taken to lose on the way from its
 * objective to the time at which callers leave. Without it, a prompt that is
 * late anyway is left to one engine for many seconds, since nothing more can
 * be lost by it: it then blocks that engine, and its caller leaves.
 */
const OVERDUE_LOSS = 0.5;

/** Objectives after which callers leave a stream that has not begun. */
const LEAVE_GOALS = 4;

/** Pause objectives after which callers leave a stream that has begun. */
const LEAVE_GAPS = 8;

/**
 * Price of a whole objective's wait, in shares of a stream's worth. Idle
 * engines are worth using although the objective would be met without: the
 * prompt is out of the way before the next one comes.
 */
const HASTE_LOSS = 0.05;

/** Memory left free on an engine for the streams that it writes, in tokens. */
const MEMORY_MARGIN_TOKENS = 6000;

/** One engine that may be chosen. */
export interface Candidate {
  readonly id: string;
  readonly isRemote: boolean;
  /** Measured slowness, 1 is as configured. */
  readonly pace: number;
  readonly load: EngineLoad;
}

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
  readonly reservations: ReadonlyArray<{
    readonly target: string;
    readonly tokens: number;
  }>;
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

function estimateRisk(ms: number, limitMs: number): number {
  if (limitMs <= 0) return 1;
  const share = ms / limitMs;
  return Math.min(1, Math.max(0, (share - RISK_FROM) / (1 - RISK_FROM)));
}

/** An objective and when the caller leaves if it is missed by far. */
interface Objective {
  /** Time until it is missed, in ms; below zero once it is. */
  readonly leftMs: number;
  /** The whole objective, in ms. */
  readonly wholeMs: number;
  /** Objectives after which the caller leaves. */
  readonly leaveAfter: number;
}

/**
 * Share of its worth that a stream is expected to lose by `ms` more waiting:
 * the chance of missing the objective, and past it the way to the time at
 * which its caller leaves.
 */
function estimateLoss(ms: number, objective: Objective): number {
  const {leftMs, wholeMs, leaveAfter} = objective;
  const overdue = Math.max(0, ms - leftMs) / (wholeMs * (leaveAfter - 1));
  return LATE_LOSS * estimateRisk(ms, leftMs) + OVERDUE_LOSS * overdue;
}

/** Loss of one stream when its next event comes `addedMs` later. */
function estimateAddedLoss(
  ms: number,
  addedMs: number,
  objective: Objective,
): number {
  return estimateLoss(ms + addedMs, objective) - estimateLoss(ms, objective);
}

/** Harm that `addedMs` more reading does to the streams of one engine. */
function estimateHarm(
  candidate: Candidate,
  addedMs: number,
  writeMs: number,
  now: number,
): number {
  const {load} = candidate;
  let harm = 0;
  for (const writer of load.writers)
    harm +=
      writer.value *
      estimateAddedLoss(writeMs + load.backlogMs, addedMs, {
        leftMs: writer.gapGoalMs,
        wholeMs: writer.gapGoalMs,
        leaveAfter: LEAVE_GAPS,
      });
  for (const waiter of load.waiting)
    harm +=
      waiter.value *
      estimateAddedLoss(load.backlogMs + 2 * writeMs, addedMs, {
        leftMs: waiter.goalMs - (now - waiter.placedAt),
        wholeMs: waiter.goalMs,
        leaveAfter: LEAVE_GOALS,
      });
  return harm;
}

interface Priced {
  readonly candidate: Candidate;
  readonly writeMs: number;
  readonly partMs: number;
  readonly harm: number;
}

/** Writing part of the next passes once the new stream is written too. */
function estimatePassMs(candidate: Candidate, engine: EngineFigures): number {
  const {writers, contextTokens} = candidate.load;
  return (
    estimateWriteMs(writers.length, contextTokens, engine) * candidate.pace
  );
}

function priceReaders(
  candidates: readonly Candidate[],
  readMs: number,
  readers: number,
  engine: EngineFigures,
  now: number,
): readonly Priced[] {
  return candidates
    .map(candidate => {
      const writeMs = estimatePassMs(candidate, engine);
      const partMs = (readMs / readers) * candidate.pace;
      const harm = estimateHarm(candidate, partMs, writeMs, now);
      return {candidate, writeMs, partMs, harm};
    })
    .sort(
      (a, b) =>
        a.harm - b.harm ||
        a.candidate.load.backlogMs - b.candidate.load.backlogMs ||
        a.candidate.load.writers.length - b.candidate.load.writers.length,
    )
    .slice(0, readers);
}

function priceFirst(
  priced: Priced,
  demand: PromptDemand,
  engine: EngineFigures,
): number {
  const {load, isRemote} = priced.candidate;
  const isTight = demand.gapGoalMs <= TIGHT_GAP_MS;
  const hasTight =
    load.writers.some(writer => writer.gapGoalMs <= TIGHT_GAP_MS) ||
    load.waiting.some(waiter => waiter.gapGoalMs <= TIGHT_GAP_MS);
  const over = load.active + 1 - engine.slots * FULL_SHARE;
  let price = isRemote ? REMOTE_PRICE : 0;
  if (isTight && !hasTight) price += FRESH_ENGINE_PRICE;
  if (!isTight && hasTight) price += FRESH_ENGINE_PRICE;
  if (over > 0) price += (over / engine.slots) * OVERFULL_PRICE * demand.value;
  if (load.active >= engine.slots)
    price += (load.active + 1 - engine.slots) * OVERFULL_PRICE * demand.value;
  return price;
}

/** What the first engine cannot hold and helpers take, largest room first. */
function planReservations(
  first: Candidate,
  readers: readonly Priced[],
  demand: PromptDemand,
  engine: EngineFigures,
): PromptChoice['reservations'] | undefined {
  const need = demand.promptTokens + demand.maxOutputTokens;
  const readRoom = (candidate: Candidate) =>
    engine.memoryTokens - MEMORY_MARGIN_TOKENS - candidate.load.memoryTokens;
  let missing = need - readRoom(first);
  if (missing <= 0) return [];
  const plan: Array<{target: string; tokens: number}> = [];
  const helpers = readers
    .map(reader => reader.candidate)
    .filter(candidate => candidate !== first)
    .sort((a, b) => readRoom(b) - readRoom(a));
  for (const helper of helpers) {
    if (missing <= 0) break;
    const tokens = Math.min(missing, readRoom(helper));
    if (tokens <= 0) break;
    plan.push({target: helper.id, tokens: Math.ceil(tokens)});
    missing -= tokens;
  }
  return missing <= 0 ? plan : undefined;
}

function buildChoice(
  readers: readonly Priced[],
  demand: PromptDemand,
  engine: EngineFigures,
): PromptChoice | undefined {
  const firsts = [...readers].sort(
    (a, b) =>
      priceFirst(a, demand, engine) - priceFirst(b, demand, engine) ||
      a.candidate.load.memoryTokens - b.candidate.load.memoryTokens,
  );
  for (const first of firsts) {
    const reservations = planReservations(
      first.candidate,
      readers,
      demand,
      engine,
    );
    if (reservations === undefined) continue;
    return describeChoice(first, readers, reservations, demand, engine);
  }
  return undefined;
}

function describeChoice(
  first: Priced,
  readers: readonly Priced[],
  reservations: PromptChoice['reservations'],
  demand: PromptDemand,
  engine: EngineFigures,
): PromptChoice {
  const {load, pace} = first.candidate;
  const ownWriteMs =
    estimateWriteMs(
      load.writers.length + 1,
      load.contextTokens + demand.promptTokens / readers.length,
      engine,
    ) * pace;
  // A pass that is under way when the prompt arrives is waited for: half of
  // its writing part on average.
  const readDoneMs = Math.max(
    ...readers.map(
      reader =>
        reader.candidate.load.backlogMs + reader.partMs + reader.writeMs / 2,
    ),
  );
  const predictedFirstMs = readDoneMs + ownWriteMs;
  const late =
    estimateLoss(predictedFirstMs, {
      leftMs: demand.goalLeftMs,
      wholeMs: demand.goalMs,
      leaveAfter: LEAVE_GOALS,
    }) +
    LATE_LOSS * estimateRisk(ownWriteMs, demand.gapGoalMs) +
    (HASTE_LOSS * predictedFirstMs) / demand.goalMs;
  const harm = readers.reduce((sum, reader) => sum + reader.harm, 0);
  const reserved = reservations.reduce((sum, item) => sum + item.tokens, 0);
  return {
    first: first.candidate.id,
    parts: [first, ...readers.filter(reader => reader !== first)].map(
      reader => ({target: reader.candidate.id, workMs: reader.partMs}),
    ),
    reservations,
    memoryTokens: demand.promptTokens + demand.maxOutputTokens - reserved,
    backlogMs: load.backlogMs,
    predictedFirstMs,
    cost:
      late * demand.value +
      harm +
      priceFirst(first, demand, engine) +
      READER_PRICE * (readers.length - 1),
  };
}

/**
 * Chooses one or more engines for a prompt: every number of readers is tried
 * on the engines that it harms least, and the cheapest is taken.
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
  let best: PromptChoice | undefined;
  const most = Math.min(
    MAX_READERS,
    candidates.length,
    Math.ceil(readMs / MIN_PART_MS),
  );
  for (const candidate of candidates) {
    const alone = priceReaders([candidate], readMs, 1, engine, now);
    const choice = buildChoice(alone, demand, engine);
    if (choice !== undefined && (best === undefined || choice.cost < best.cost))
      best = choice;
  }
  for (let readers = 2; readers <= most; readers++) {
    const priced = priceReaders(candidates, readMs, readers, engine, now);
    const choice = buildChoice(priced, demand, engine);
    if (choice !== undefined && (best === undefined || choice.cost < best.cost))
      best = choice;
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
    goalMs: Math.max(1, demand.goalLeftMs),
    gapGoalMs: demand.gapGoalMs,
    value: demand.value,
    placedAt: now,
  };
}
