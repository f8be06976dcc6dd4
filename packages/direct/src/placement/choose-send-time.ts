/**
 * Decides whether a long prompt is sent now or later. Engines prefill the
 * newest prompt first, so a prompt sent to busy engines delays earlier prompts.
 */
import {estimatePrefillMs} from './engine-model.js';
import {choosePromptEngines} from './place-prompt.js';
import type {EngineCostModel} from '../types.js';
import type {EngineLoad} from './engine-load.js';
import type {Candidate} from './price-prefill.js';
import type {PromptChoice, PromptDemand} from './prompt-types.js';

/**
 * Delays that are compared with sending now, in ms: from a few iterations up to
 * the time in which a long prompt completes.
 */
const DELAYS_MS = [120, 300, 700, 1500];

/**
 * Minimum reduction of the cost that justifies a delay, in units of the value
 * of a short stream: predictions further ahead are less certain.
 */
const MIN_SAVING = 0.2;

/**
 * Number of engines above which no delays are compared, and a prompt waits only
 * if it costs more than it is worth: limits the CPU time of a choice to what a
 * small host can spare.
 */
export const MAX_ENGINES_FOR_DELAYS = 32;

/**
 * Delay of a prompt that costs too much, in ms: a few iterations, in which some
 * of the streams that it would harm end.
 */
const TOO_COSTLY_DELAY_MS = 120;

/** Prefill time above which a prompt counts as long, in ms. */
export const LONG_PREFILL_MIN_MS = 400;

/** Engines chosen for a prompt, and the delay before choosing again. */
export interface TimedChoice {
  readonly choice: PromptChoice;
  /** Delay in ms; 0 if the prompt is to be sent now. */
  readonly waitMs: number;
}

/** Predicts the load in `delayMs` if no further prompts arrive. */
function advanceLoad(load: EngineLoad, delayMs: number): EngineLoad {
  const queued = load.queued.filter(({shardDoneMs}) => shardDoneMs > delayMs);
  return {
    ...load,
    queued,
    waitMs: delayMs + Math.max(0, load.waitMs - delayMs),
    waitingShards: queued.length === 0 ? [] : load.waitingShards,
    iterationPrefillsMs: queued.length === 0 ? [] : load.iterationPrefillsMs,
    longestPrefillMs: queued.length === 0 ? 0 : load.longestPrefillMs,
  };
}

/**
 * Checks whether a prompt that is queued now will have been prefilled after a
 * delay; otherwise the delay cannot lower the cost.
 */
function isQueueShorter(
  candidates: readonly Candidate[],
  delayMs: number,
): boolean {
  return candidates.some(({load}) =>
    load.queued.some(({shardDoneMs}) => shardDoneMs <= delayMs),
  );
}

/** Checks whether sending a long prompt now costs more than it is worth. */
function isTooCostly(
  {cost}: PromptChoice,
  {promptTokens, value}: PromptDemand,
  engine: EngineCostModel,
): boolean {
  const isLong = estimatePrefillMs(promptTokens, engine) > LONG_PREFILL_MIN_MS;
  return isLong && cost > value;
}

/**
 * Chooses the engines and the send time for a prompt. A prompt that would break
 * streams waits for at most its objective.
 *
 * @param isUrgent - Whether the stream has been attempted before, so that its
 *   caller has waited already.
 * @returns The choice, or undefined if the engines lack KV cache for the prompt
 *   now, or if it would still break streams after its objective.
 * @example
 * chooseSendTime(candidates, demand, engine, performance.now())?.waitMs;
 */
export function chooseSendTime(
  candidates: readonly Candidate[],
  demand: PromptDemand,
  engine: EngineCostModel,
  now: number,
  isUrgent = false,
): TimedChoice | undefined {
  const choice = choosePromptEngines(candidates, demand, engine, now);
  if (choice === undefined) return undefined;
  const mayWait = demand.objectiveLeftMs > 0;
  const later: TimedChoice = {choice, waitMs: TOO_COSTLY_DELAY_MS};
  if (choice.brokenStreams > 0) return mayWait ? later : undefined;
  let best: TimedChoice = {choice, waitMs: 0};
  if (candidates.length > MAX_ENGINES_FOR_DELAYS)
    return mayWait && isTooCostly(choice, demand, engine) ? later : best;
  if (isUrgent) return best;
  for (const delayMs of DELAYS_MS) {
    if (best.choice.cost < MIN_SAVING) break;
    if (!isQueueShorter(candidates, delayMs)) continue;
    const deferredChoice = choosePromptEngines(
      candidates.map(candidate => ({
        ...candidate,
        load: advanceLoad(candidate.load, delayMs),
      })),
      demand,
      engine,
      now,
    );
    if (deferredChoice === undefined) continue;
    if (deferredChoice.cost < best.choice.cost - MIN_SAVING)
      best = {choice: deferredChoice, waitMs: delayMs};
  }
  return best;
}
