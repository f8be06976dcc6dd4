/**
 * Retry budget of one gate. Each request adds a fraction of a retry to the
 * budget, so that retries during an outage add at most `ratio` to the load.
 */

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /**
   * Retries added to the budget by each request.
   * @default 0.2
   */
  readonly ratio?: number;
  /**
   * Maximum number of unused retries in the budget. The reserve covers the
   * failure of one target at a gate with few requests.
   * @default 50
   */
  readonly burst?: number;
}

/**
 * Limits the retries of one gate to a share of its requests.
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

  /** Adds `ratio` retries to the budget for a new request, up to `burst`. */
  recordRequest(): void {
    this.left = Math.min(this.burst, this.left + this.ratio);
  }

  /**
   * Takes one retry from the budget; returns false when less than one is left.
   */
  claimRetry(): boolean {
    if (this.left < 1) return false;
    this.left -= 1;
    return true;
  }
}

/**
 * Creates a retry budget that starts with `burst` retries.
 *
 * @example
 * const budget = createRetryBudget();
 */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  return new RetryBudget(options);
}
