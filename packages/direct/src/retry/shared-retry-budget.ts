/**
 * This gate's share of the retry budget of all gates. The ratio applies to its
 * own requests; the fixed number is divided by the gates heard of lately, so
 * that the sum stays within the bound while gates are cut off from each other.
 */

/**
 * Share of the fixed number that is ever spent: leaves room for a gate that
 * joins.
 */
const SLACK_SHARE = 0.75;

/** Bounds of the budget. */
export interface RetryBounds {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries beyond the ratio, over all gates, in one window. */
  readonly slack: number;
  readonly windowMs: number;
}

interface Window {
  readonly requests: number[];
  readonly retries: number[];
}

/**
 * The budget of one gate.
 *
 * @example
 * budget.recordRequest('orders', now);
 * if (budget.claimRetry('orders', now)) send();
 */
export class SharedRetryBudget {
  private readonly windows = new Map<string, Window>();

  constructor(
    private readonly bounds: RetryBounds,
    private readonly countGates: () => number,
  ) {}

  /** Records a request for `service`. */
  recordRequest(service: string, now: number): void {
    this.readWindow(service, now).requests.push(now);
  }

  /** Spends one retry; false if the window has none left. */
  claimRetry(service: string, now: number): boolean {
    const window = this.readWindow(service, now);
    const slack =
      (this.bounds.slack * SLACK_SHARE) / Math.max(1, this.countGates());
    const allowed = this.bounds.ratio * window.requests.length + slack;
    if (window.retries.length + 1 > allowed) return false;
    window.retries.push(now);
    return true;
  }

  private readWindow(service: string, now: number): Window {
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
 * Creates a budget.
 *
 * @param countGates - Gates that share it, this one included.
 * @example
 * const budget = createSharedRetryBudget({ratio: 0.2, slack: 104, windowMs: 10_000}, () => 5);
 */
export function createSharedRetryBudget(
  bounds: RetryBounds,
  countGates: () => number,
): SharedRetryBudget {
  return new SharedRetryBudget(bounds, countGates);
}
