/**
 * Decides whether a long prompt is sent now or later. Engines prefill the
 * newest prompt first, so each one sent to busy engines delays those before it.
 */
import {choosePromptEngines} from './place-prompt.js';
import type {EngineFigures} from '../types.js';
import type {EngineLoad} from './load-tracker.js';
import type {Candidate} from './price-prefill.js';
import type {PromptChoice, PromptDemand} from './prompt-types.js';

/**
 * Delays that are compared with sending now, in ms: first some iterations
 * apart, then the time in which a long prompt finishes.
 */
const DELAYS_MS = [120, 300, 700, 1500];

/**
 * Loss that a delay must save, in the worth of a short stream: predictions
 * further ahead are less certain.
 */
const MIN_SAVING = 0.2;

/** Keeps the cost of a choice within the processor share of a small host. */
const MAX_ENGINES_FOR_DELAYS = 32;

/** A choice, and how long to wait before it is reconsidered. */
export interface TimedChoice {
  readonly choice: PromptChoice;
  /** 0 when the prompt is to be sent now. */
  readonly waitMs: number;
}

/** The load in `delayMs` if no further prompts arrive. */
function advanceLoad(load: EngineLoad, delayMs: number): EngineLoad {
  const queued = load.queued.filter(({doneMs}) => doneMs > delayMs);
  return {
    ...load,
    queued,
    waitMs: delayMs + Math.max(0, load.waitMs - delayMs),
    iterationPrefillsMs: queued.length === 0 ? [] : load.iterationPrefillsMs,
  };
}

/**
 * Chooses engines and send time for a prompt.
 *
 * @returns Nothing if the engines cannot hold the prompt now.
 * @example
 * chooseSendTime(candidates, demand, figures, performance.now())?.waitMs;
 */
export function chooseSendTime(
  candidates: readonly Candidate[],
  demand: PromptDemand,
  engine: EngineFigures,
  now: number,
): TimedChoice | undefined {
  const choice = choosePromptEngines(candidates, demand, engine, now);
  if (choice === undefined) return undefined;
  let best: TimedChoice = {choice, waitMs: 0};
  if (candidates.length > MAX_ENGINES_FOR_DELAYS) return best;
  for (const delayMs of DELAYS_MS) {
    if (best.choice.cost < MIN_SAVING) break;
    const later = choosePromptEngines(
      candidates.map(candidate => ({
        ...candidate,
        load: advanceLoad(candidate.load, delayMs),
      })),
      demand,
      engine,
      now,
    );
    if (later === undefined) continue;
    if (later.cost < best.choice.cost - MIN_SAVING)
      best = {choice: later, waitMs: delayMs};
  }
  return best;
}
