/**
 * Share of one gate in the retry budget of all gates. The ratio applies to the
 * requests of this gate; the fixed number of retries is divided among the gates.
 * A gate knows neither what an earlier run of its process has spent nor, as long
 * as it has heard no other gate, how many share the budget.
 */

/**
 * Share of the fixed number of retries that the known gates may spend; the rest
 * is left for gates that join or restart.
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

/** Dependencies of a {@link SharedRetryBudget}. */
export interface RetryBudgetOptions {
  readonly bounds: RetryBounds;
  /**
   * Counts the gates that share the budget, including this gate; Infinity if
   * their number is unknown.
   */
  readonly countSharers: () => number;
  /**
   * Start of this process on the monotonic clock, in ms, if an earlier run may
   * have spent retries.
   *
   * @default no earlier run
   */
  readonly restartedAt?: number;
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

  constructor(private readonly options: RetryBudgetOptions) {}

  /** Records a request to `service`, which increases its budget. */
  recordRequest(service: string, now: number): void {
    this.readWindow(service, now).requests.push(now);
  }

  /** Claims one retry; returns false if the budget of the window is spent. */
  claimRetry(service: string, now: number): boolean {
    const {bounds, countSharers} = this.options;
    const window = this.readWindow(service, now);
    const slack =
      (bounds.slack * this.chooseSlackShare(now)) / Math.max(1, countSharers());
    const allowed = bounds.ratio * window.requests.length + slack;
    if (window.retries.length + 1 > allowed) return false;
    window.retries.push(now);
    return true;
  }

  /**
   * Renews the claim of a retry that has waited since `claimedAt`, right before it
   * is sent; returns false if the budget of the present window is spent.
   */
  renewRetry(service: string, claimedAt: number, now: number): boolean {
    const {retries} = this.readWindow(service, now);
    const at = retries.indexOf(claimedAt);
    if (at !== -1) retries.splice(at, 1);
    return this.claimRetry(service, now);
  }

  /**
   * Chooses the share of the fixed number of retries that may be spent. During
   * the first window after a restart it grows from nothing to what is left
   * beside the spending of the earlier run, however often the process restarts.
   */
  private chooseSlackShare(now: number): number {
    const {bounds, restartedAt = -Infinity} = this.options;
    const age = (now - restartedAt) / bounds.windowMs;
    if (age >= 1) return SPENDABLE_SLACK_SHARE;
    return (1 - SPENDABLE_SLACK_SHARE) * Math.max(0, age);
  }

  private readWindow(service: string, now: number): BudgetWindow {
    let window = this.windows.get(service);
    if (window === undefined) {
      window = {requests: [], retries: []};
      this.windows.set(service, window);
    }
    const since = now - this.options.bounds.windowMs;
    for (const times of [window.requests, window.retries])
      while (times.length > 0 && times[0] < since) times.shift();
    return window;
  }
}

/**
 * Creates the retry budget of one gate.
 *
 * @example
 * const bounds = {ratio: 0.2, slack: 104, windowMs: 10_000};
 * const budget = createSharedRetryBudget({bounds, countSharers: () => 5});
 */
export function createSharedRetryBudget(
  options: RetryBudgetOptions,
): SharedRetryBudget {
  return new SharedRetryBudget(options);
}
