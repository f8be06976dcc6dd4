/**
 * A chain of attempts at a stream, each begun after the one before it has
 * failed. A second chain runs while a stalled engine is kept.
 */
import type {PlacedPrompt} from '../placement/prompt-placer.js';
import type {StreamAttempt} from './stream-attempt.js';

/**
 * A chain; once closed, it holds no engine and looks for none.
 *
 * @example
 * const chain = new AttemptChain();
 * chain.attempt = attempt;
 * chain.close();
 */
export class AttemptChain {
  /** The attempt under way; absent while engines are chosen. */
  attempt: StreamAttempt | undefined;
  /** Placement of the newest attempt. */
  placed: PlacedPrompt | undefined;
  /** True while its engine is stalled. */
  isStalled = false;
  private readonly abortController = new AbortController();

  /** Aborted when the chain is closed. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  get isClosed(): boolean {
    return this.abortController.signal.aborted;
  }

  /** Cancels the attempt under way and the search for engines. */
  close(): void {
    this.abortController.abort();
    this.attempt?.cancel();
  }
}
