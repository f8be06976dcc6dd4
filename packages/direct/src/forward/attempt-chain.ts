/**
 * Consecutive attempts at one stream. A second chain runs as a backup while the
 * engine of the first chain is stalled but not cancelled.
 */
import type {PlacedPrompt} from '../placement/placed-prompt.js';
import type {OtherEngine} from './choose-hold.js';
import type {StreamAttempt} from './stream-attempt.js';

/**
 * Consecutive attempts at one stream, each started after the previous one has
 * failed. A closed chain has no attempt running and searches for no engine.
 *
 * @example
 * const chain = new AttemptChain();
 * chain.attempt = attempt;
 * chain.close();
 */
export class AttemptChain {
  /** The newest attempt; absent before the first one starts. */
  attempt: StreamAttempt | undefined;
  /** Placement of the newest attempt. */
  placed: PlacedPrompt | undefined;
  /**
   * Time at which the retry of the next attempt was claimed, in ms; absent for a
   * first attempt.
   */
  retryClaimedAt: number | undefined;
  /** True while the engine of the newest attempt is stalled. */
  isStalled = false;
  private readonly abortController = new AbortController();

  /** Signal that is aborted when the chain is closed. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  get isClosed(): boolean {
    return this.abortController.signal.aborted;
  }

  /** Predicts the next event of the engine of the newest attempt. */
  describeEngine(): OtherEngine {
    const {placed} = this;
    // The search for an engine is not over.
    if (placed === undefined) return {dueMs: 0, pauseMs: 0};
    const pauseMs = placed.estimateNextIterationMs();
    if (!this.isStalled)
      return {dueMs: placed.estimateRemainingPrefillMs(), pauseMs};
    const leftMs = placed.estimateIterationLeftMs();
    return {dueMs: leftMs > 0 ? leftMs : undefined, pauseMs};
  }

  /** Cancels the running attempt and the search for an engine. */
  close(): void {
    this.abortController.abort();
    this.attempt?.cancel();
  }
}
