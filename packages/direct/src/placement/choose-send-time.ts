/**
 * Decides whether a long prompt is sent now or later. Engines prefill the
 * newest prompt first, so a prompt sent to busy engines delays earlier prompts.
 */
import {choosePromptEngines} from './place-prompt.js';
import type {EngineCostModel} from '../types.js';
import type {EngineLoad} from './load-tracker.js';
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
 * Number of engines above which no delays are compared: limits the CPU time of
 * a choice to what a small host can spare.
 */
const MAX_ENGINES_FOR_DELAYS = 32;

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
    iterationPrefillsMs: queued.length === 0 ? [] : load.iterationPrefillsMs,
  };
}

/**
 * Chooses the engines for a prompt that is sent at once.
 *
 * @returns The choice, or undefined if the engines lack KV cache for the prompt
 *   now.
 * @example
 * chooseNow(candidates, demand, engine, performance.now())?.choice.decoder;
 */
export function chooseNow(
  candidates: readonly Candidate[],
  demand: PromptDemand,
  engine: EngineCostModel,
  now: number,
): TimedChoice | undefined {
  const choice = choosePromptEngines(candidates, demand, engine, now);
  return choice && {choice, waitMs: 0};
}

/**
 * Chooses the engines and the send time for a prompt.
 *
 * @returns The choice, or undefined if the engines lack KV cache for the prompt
 *   now.
 * @example
 * chooseSendTime(candidates, demand, engine, performance.now())?.waitMs;
 */
export function chooseSendTime(
  candidates: readonly Candidate[],
  demand: PromptDemand,
  engine: EngineCostModel,
  now: number,
): TimedChoice | undefined {
  const choice = choosePromptEngines(candidates, demand, engine, now);
  if (choice === undefined) return undefined;
  let best: TimedChoice = {choice, waitMs: 0};
  if (candidates.length > MAX_ENGINES_FOR_DELAYS) return best;
  for (const delayMs of DELAYS_MS) {
    if (best.choice.cost < MIN_SAVING) break;
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
