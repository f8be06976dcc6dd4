/**
 * Retry budget of one gate. Each request earns a part of a retry, so that an
 * outage adds at most `ratio` to the load.
 */

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /**
   * Retries that each request earns.
   * @default 0.2
   */
  readonly ratio?: number;
  /**
   * Retries that may be saved up, so that a quiet gate can ride out the
   * death of one target.
   * @default 50
   */
  readonly burst?: number;
}

/**
 * The retry budget of one gate.
 *
 * @example
 * const budget = createRetryBudget({ratio: 0.2});
 * budget.recordRequest();
 * if (!budget.claimRetry()) return lastOutcome;
 */
export class RetryBudget {
  private readonly ratio: number;
  private readonly burst: number;
  private left: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.ratio = options.ratio ?? 0.2;
    this.burst = options.burst ?? 50;
    this.left = this.burst;
  }

  /** Earns the part of a retry that a new request brings. */
  recordRequest(): void {
    this.left = Math.min(this.burst, this.left + this.ratio);
  }

  /** Spends one retry; false when the budget has none. */
  claimRetry(): boolean {
    if (this.left < 1) return false;
    this.left -= 1;
    return true;
  }
}

/**
 * Creates a full retry budget.
 *
 * @example
 * const budget = createRetryBudget();
 */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  return new RetryBudget(options);
}
