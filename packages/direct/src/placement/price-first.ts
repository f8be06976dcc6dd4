/** Prices one engine as the one that writes the answer to a prompt. */
import {countRoom} from './engine-memory.js';
import {estimateWriteMs} from './engine-model.js';
import {
  FIRST_EVENT_ERROR,
  LATE_LOSS,
  PAUSE_ERROR,
  estimateLoss,
  estimateRisk,
} from './loss.js';
import {LEAVE_GOALS} from './price-reader.js';
import type {EngineFigures} from '../types.js';
import type {Candidate, PricedReader} from './price-reader.js';
import type {PromptDemand} from './prompt-types.js';

/**
 * Price of the first tightly paced stream on an engine that has none. It
 * keeps short streams packed on few engines, so that the others can read
 * long parts with nobody beside them.
 */
const FRESH_ENGINE_PRICE = 0.25;

/** Pause objective up to which a stream counts as tightly paced, in ms. */
const TIGHT_GAP_MS = 400;

/** Price of a target in another availability zone: its bytes. */
const REMOTE_PRICE = 0.02;

/** Price, in shares of its value, of each stream above an engine's slots. */
const OVERFULL_PRICE = 0.5;

/** Share of the slots above which an engine's passes grow long. */
const FULL_SHARE = 0.8;

/**
 * Price of a whole objective's wait, in shares of a stream's worth: it decides
 * between choices that are on time alike. At 0.05 prompts were spread over more
 * engines than they needed, and those that came next found none free: on two
 * days of eight seeds the mean worth was 0.877 and 0.696, at 0.01 0.895 and
 * 0.721.
 */
const HASTE_LOSS = 0.01;

/**
 * Prices an engine by what it writes already and where it stands.
 *
 * @example
 * priceFirst(candidate, demand, figures); // 0.25 for an idle engine
 */
export function priceFirst(
  candidate: Candidate,
  demand: PromptDemand,
  engine: EngineFigures,
): number {
  const {load, isRemote} = candidate;
  const isTight = demand.gapGoalMs <= TIGHT_GAP_MS;
  const hasTight =
    load.writers.some(writer => writer.gapGoalMs <= TIGHT_GAP_MS) ||
    load.waiting.some(({placement}) => placement.gapGoalMs <= TIGHT_GAP_MS);
  const over = load.active + 1 - engine.slots * FULL_SHARE;
  let price = isRemote ? REMOTE_PRICE : 0;
  if (isTight !== hasTight) price += FRESH_ENGINE_PRICE;
  if (over > 0) price += (over / engine.slots) * OVERFULL_PRICE * demand.value;
  if (load.active >= engine.slots)
    price += (load.active + 1 - engine.slots) * OVERFULL_PRICE * demand.value;
  return price;
}

/**
 * Estimates the longest pass of an engine that writes this stream beside its
 * others, in ms: what stands there unread is read between its events.
 *
 * @example
 * estimateFirstPassMs(candidate, 3000, figures);
 */
export function estimateFirstPassMs(
  {load, pace}: Candidate,
  contextTokens: number,
  engine: EngineFigures,
): number {
  const writers = load.writers.length + 1;
  const context = load.contextTokens + contextTokens;
  const readMs = Math.max(0, ...load.passReadsMs);
  return estimateWriteMs(writers, context, engine) * pace + readMs;
}

/**
 * Estimates the share of its worth that the new stream loses.
 *
 * @example
 * estimateOwnLoss(200, 60, demand);
 */
export function estimateOwnLoss(
  predictedFirstMs: number,
  passMs: number,
  demand: PromptDemand,
): number {
  return (
    estimateLoss(predictedFirstMs, {
      leftMs: demand.goalLeftMs,
      wholeMs: demand.goalMs,
      leaveAfter: LEAVE_GOALS,
      error: FIRST_EVENT_ERROR,
    }) +
    LATE_LOSS * estimateRisk(passMs, demand.gapGoalMs, PAUSE_ERROR) +
    (HASTE_LOSS * predictedFirstMs) / demand.goalMs
  );
}

/**
 * Prices a choice by its first engine alone.
 *
 * @example
 * priceAsFirst(reader, demand, figures);
 */
export function priceAsFirst(
  reader: PricedReader,
  demand: PromptDemand,
  engine: EngineFigures,
): number {
  const {candidate, ownDoneMs, ownWriterHarm, waiterHarms} = reader;
  const need = demand.promptTokens + demand.maxOutputTokens;
  const missing = Math.max(0, need - countRoom(candidate.load, engine)) / need;
  const passMs = estimateFirstPassMs(candidate, demand.promptTokens, engine);
  return (
    (estimateOwnLoss(ownDoneMs, passMs, demand) + missing) * demand.value +
    ownWriterHarm +
    sumHarms(waiterHarms.values()) +
    priceFirst(candidate, demand, engine)
  );
}

function sumHarms(harms: Iterable<number>): number {
  let sum = 0;
  for (const harm of harms) sum += harm;
  return sum;
}
