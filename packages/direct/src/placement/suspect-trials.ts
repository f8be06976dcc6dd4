/**
 * Prompts under which servers have crashed and that run as a trial until their
 * first token.
 */
import type {Placement} from './placement.js';

/**
 * Time for which other prompts keep away from the engine of a suspect prompt, in
 * ms: most prompts begin to run within it, and it costs little of the fleet.
 */
const KEEP_AWAY_MS = 500;

/**
 * Time to first token above which a suspect prompt may run at a second engine: a
 * multiple of the predicted one plus a slack in ms.
 */
const TRIAL_TTFT_FACTOR = 2;
const TRIAL_SLACK_MS = 1000;

/**
 * Tracks the trials of suspect prompts at all gates.
 *
 * @example
 * trials.add(placement);
 * trials.isRunning(['part:7'], now);
 */
export class SuspectTrials {
  private readonly trials = new Map<string, Placement>();

  /** Adds a placement if its prompt is suspect. */
  add(placement: Placement): void {
    const {key, suspects = []} = placement;
    if (suspects.length > 0) this.trials.set(key, placement);
  }

  /** Ends the trial of a prompt that has begun or is gone. */
  remove(key: string): void {
    this.trials.delete(key);
  }

  /** Returns whether a trial runs on an engine and may still crash it. */
  isEngineAtRisk(decoder: string, now: number): boolean {
    return [...this.trials.values()].some(
      trial => trial.decoder === decoder && now - trial.placedAt < KEEP_AWAY_MS,
    );
  }

  /** Returns whether a prompt with one of these features is on trial. */
  isRunning(suspects: readonly string[], now: number): boolean {
    if (suspects.length === 0) return false;
    return [...this.trials.values()].some(
      trial =>
        now < findTrialEnd(trial) &&
        suspects.some(id => trial.suspects?.includes(id)),
    );
  }

  /**
   * Returns whether another suspect prompt was placed at the same moment that
   * shares a feature or the decoding engine with this one, and goes first. All
   * gates agree on the order by the keys.
   */
  isLost(key: string, now: number): boolean {
    const own = this.trials.get(key);
    if (own === undefined) return false;
    return [...this.trials.values()].some(
      trial =>
        trial.key < key &&
        now < findTrialEnd(trial) &&
        (trial.decoder === own.decoder ||
          own.suspects?.some(id => trial.suspects?.includes(id))),
    );
  }
}

/** Returns the time from which the engine of a trial counts as failed, in ms. */
function findTrialEnd({placedAt, predictedTtftMs}: Placement): number {
  return placedAt + TRIAL_TTFT_FACTOR * predictedTtftMs + TRIAL_SLACK_MS;
}
