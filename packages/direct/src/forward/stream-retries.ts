/** Attempts at one stream: how many there were, and whether another may follow. */
import type {AttemptChain} from './attempt-chain.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';
import type {FailedEnd} from './stream-attempt.js';

/** Maximum number of attempts that fail before the request is sent. */
const MAX_UNSENT_ATTEMPTS = 4;

/** Reason for which no further attempt is made. */
export type NoRetryReason =
  'not_repeatable' | 'attempts_spent' | 'retry_budget_spent';

/**
 * Counts the attempts at one stream and claims its retries.
 *
 * @example
 * const retries = new StreamRetries(context, request);
 * retries.recordAttempt();
 */
export class StreamRetries {
  private sentCount = 0;
  private unsentCount = 0;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
  ) {}

  /** Number of attempts that were sent or are about to be. */
  get sent(): number {
    return this.sentCount;
  }

  /** Number of attempts that sent no request. */
  get unsent(): number {
    return this.unsentCount;
  }

  /** Records that an attempt begins. */
  recordAttempt(): void {
    this.sentCount++;
  }

  /**
   * Records that the attempt sent no request and therefore does not count against
   * the attempt limit; returns false if no further attempt is made.
   */
  recordUnsent(): boolean {
    this.sentCount--;
    return ++this.unsentCount < MAX_UNSENT_ATTEMPTS;
  }

  /**
   * Returns false if all attempts are used, or for a stream that cannot be
   * resumed, which runs only once.
   */
  isBackupAllowed(): boolean {
    const {isResumable, maxAttempts} = this.request.route;
    return isResumable && this.sentCount < maxAttempts;
  }

  /** Claims the retry that follows a failed attempt; returns why it has none. */
  claimNext(chain: AttemptChain, end: FailedEnd): NoRetryReason | undefined {
    const {isResumable, maxAttempts} = this.request.route;
    if (end.kind !== 'not-run' && !isResumable) return 'not_repeatable';
    if (this.sentCount >= maxAttempts) return 'attempts_spent';
    chain.retryClaimedAt = this.claim();
    return chain.retryClaimedAt === undefined
      ? 'retry_budget_spent'
      : undefined;
  }

  /** Claims a retry; returns the time of the claim, or undefined. */
  claim(): number | undefined {
    const {budget, readNow} = this.context;
    const now = readNow();
    return budget.claimRetry(this.request.service, now) ? now : undefined;
  }

  /**
   * Renews the claim of a retry that has waited for its engine; returns false if
   * the retry budget is spent by now.
   */
  renew(chain: AttemptChain): boolean {
    const {budget, readNow} = this.context;
    const {retryClaimedAt} = chain;
    if (retryClaimedAt === undefined) return true;
    const now = readNow();
    if (!budget.renewRetry(this.request.service, retryClaimedAt, now))
      return false;
    chain.retryClaimedAt = now;
    return true;
  }
}
