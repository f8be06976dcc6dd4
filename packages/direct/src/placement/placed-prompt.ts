/** A stream that has engines, and how other gates hear of it. */
import type {Target} from '../types.js';
import type {LoadTracker} from './load-tracker.js';
import type {Placement} from './placement.js';
import type {PromptChoice} from './prompt-types.js';

/** Announces the placements of this gate to its peers. */
export abstract class PlacementAnnouncer {
  /** Announces that a stream was placed. */
  abstract announcePlaced(placement: Placement): void;
  /** Announces that the first token of a stream was received. */
  abstract announceFirstToken(key: string): void;
  /** Announces that a stream has ended. */
  abstract announceEnded(key: string): void;
}

/** A placed stream, which occupies its slot until it is released. */
export class PlacedPrompt {
  private isReleased = false;

  constructor(
    readonly target: Target,
    readonly helpers: readonly Target[],
    readonly choice: PromptChoice,
    private readonly key: string,
    private readonly hasSuspects: boolean,
    private readonly tracker: LoadTracker,
    private readonly announcer: PlacementAnnouncer,
    private readonly readNow: () => number,
  ) {}

  /** Records that the first token was received, so that prefill has ended. */
  markFirstToken(): void {
    this.tracker.markFirstToken(this.key, this.readNow());
    this.announcer.announceFirstToken(this.key);
  }

  /** True while the prefill is expected to be running or queued. */
  isPrefilling(): boolean {
    return this.estimateRemainingPrefillMs() > 0;
  }

  /** Estimates the time until the prompt is prefilled on all engines, in ms. */
  estimateRemainingPrefillMs(): number {
    return this.tracker.estimateRemainingPrefillMs(this.key, this.readNow());
  }

  /**
   * Estimates the pause after an event that the decoding engine has just sent,
   * in ms; 0 if its schedule is not known.
   */
  estimatePauseMs(): number {
    return this.tracker.estimatePauseMs(this.target.id, this.readNow());
  }

  /**
   * Estimates the iteration of the decoding engine that follows the running one,
   * in ms; 0 if its schedule is not known.
   */
  estimateNextIterationMs(): number {
    return this.tracker.estimateNextIterationMs(this.target.id, this.readNow());
  }

  /**
   * Estimates the time until the decoding engine sends events again, in ms; 0 if
   * it is not known to be in a long iteration.
   */
  estimateIterationLeftMs(): number {
    return this.tracker.estimateIterationLeftMs(this.target.id, this.readNow());
  }

  /** Whether servers have crashed under requests like this one. */
  get isSuspect(): boolean {
    return this.hasSuspects;
  }

  /** Returns whether a suspect that was placed at the same moment goes first. */
  isTrialLost(): boolean {
    return this.tracker.trials.isLost(this.key, this.readNow());
  }

  /** Releases the slot; further calls have no effect. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.tracker.remove(this.key, this.readNow());
    this.announcer.announceEnded(this.key);
  }
}
