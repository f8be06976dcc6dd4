/**
 * Share of one gate in the retry budget of all gates. The ratio applies to the
 * requests of this gate; the fixed number of retries is divided by the number
 * of gates heard from recently, so that the sum stays within the limit while
 * gates are partitioned from each other.
 */

/**
 * Share of the fixed number of retries that the known gates may spend; the rest
 * is left for a gate that joins.
 */
const SPENDABLE_SLACK_SHARE = 0.75;

/** Limits of the retry budget that all gates share. */
export interface RetryBounds {
  /** Allowed retries per request. */
  readonly ratio: number;
  /** Fixed number of retries beyond the ratio, of all gates in one window. */
  readonly slack: number;
  readonly windowMs: number;
}

interface BudgetWindow {
  readonly requests: number[];
  readonly retries: number[];
}

/**
 * Retry budget of one gate, per service.
 *
 * @example
 * budget.recordRequest('orders', now);
 * if (budget.claimRetry('orders', now)) send();
 */
export class SharedRetryBudget {
  private readonly windows = new Map<string, BudgetWindow>();

  constructor(
    private readonly bounds: RetryBounds,
    private readonly countGates: () => number,
  ) {}

  /** Records a request to `service`, which increases its budget. */
  recordRequest(service: string, now: number): void {
    this.readWindow(service, now).requests.push(now);
  }

  /** Claims one retry; returns false if the budget of the window is spent. */
  claimRetry(service: string, now: number): boolean {
    const window = this.readWindow(service, now);
    const slack =
      (this.bounds.slack * SPENDABLE_SLACK_SHARE) /
      Math.max(1, this.countGates());
    const allowed = this.bounds.ratio * window.requests.length + slack;
    if (window.retries.length + 1 > allowed) return false;
    window.retries.push(now);
    return true;
  }

  private readWindow(service: string, now: number): BudgetWindow {
    let window = this.windows.get(service);
    if (window === undefined) {
      window = {requests: [], retries: []};
      this.windows.set(service, window);
    }
    const since = now - this.bounds.windowMs;
    for (const times of [window.requests, window.retries])
      while (times.length > 0 && times[0] < since) times.shift();
    return window;
  }
}

/**
 * Creates the retry budget of one gate.
 *
 * @param countGates - Counts the gates that share the budget, including this
 *   gate.
 * @example
 * const budget = createSharedRetryBudget({ratio: 0.2, slack: 104, windowMs: 10_000}, () => 5);
 */
export function createSharedRetryBudget(
  bounds: RetryBounds,
  countGates: () => number,
): SharedRetryBudget {
  return new SharedRetryBudget(bounds, countGates);
}
