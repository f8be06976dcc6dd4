/**
 * Chooses when a long prompt is sent. Engines read what comes last first, so
 * a prompt that is sent while others are read makes those late, and is made
 * late itself by the next one: in a burst all of them were. Kept at the gate
 * until engines are free for it, it harms nobody and is read in one go.
 */
import {choosePromptEngines} from './place-prompt.js';
import type {EngineFigures} from '../types.js';
import type {EngineLoad} from './load-book.js';
import type {Candidate} from './price-reader.js';
import type {PromptChoice, PromptDemand} from './prompt-types.js';

/**
 * Moments that are weighed beside now, in ms from now: some passes apart at first, then
 * in the steps in which long prompts end (300 to 1,500 ms).
 */
const DELAYS_MS = [120, 300, 700, 1500];

/**
 * What sending later must save, in the worth of a short stream, before a
 * prompt is kept: what is forecast for later is less certain.
 */
const MIN_SAVING = 0.2;

/**
 * Most engines with which later moments are weighed. Weighing takes five
 * choices, done again every 60 ms for each prompt that is kept; with 78 engines
 * a choice takes 4 ms of a whole core, and small hosts have a quarter of one.
 * The heaviest day with 78 engines and 28 gates was worth 0.666 without it and
 * 0.538 with it (one run each), as refusals and answers went out late.
 */
const MAX_WEIGHED_ENGINES = 32;

/** A choice, and how long to wait before it is looked at again. */
export interface MomentChoice {
  readonly choice: PromptChoice;
  /** 0 when the prompt is to be sent now. */
  readonly waitMs: number;
}

/** The load as it will be in `delayMs` if nothing else comes. */
function advanceLoad(load: EngineLoad, delayMs: number): EngineLoad {
  const queued = load.queued.filter(({doneMs}) => doneMs > delayMs);
  return {
    ...load,
    queued,
    waitMs: delayMs + Math.max(0, load.waitMs - delayMs),
    passReadsMs: queued.length === 0 ? [] : load.passReadsMs,
  };
}

/**
 * Chooses engines and moment for a prompt.
 *
 * @returns Nothing when no engines together can hold the prompt now.
 * @example
 * chooseMoment(candidates, demand, figures, performance.now())?.waitMs;
 */
export function chooseMoment(
  candidates: readonly Candidate[],
  demand: PromptDemand,
  engine: EngineFigures,
  now: number,
): MomentChoice | undefined {
  const choice = choosePromptEngines(candidates, demand, engine, now);
  if (choice === undefined) return undefined;
  let best: MomentChoice = {choice, waitMs: 0};
  if (candidates.length > MAX_WEIGHED_ENGINES) return best;
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
