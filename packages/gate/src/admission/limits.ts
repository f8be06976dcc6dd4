/**
 * Limits per client account at one gate: a token bucket for the request rate
 * and a maximum number of requests in flight. A refusal carries the time after
 * which the caller may retry.
 */
import type {Account} from '@nutmeggauge/core';

/** Status, reason and retry delay of a request that admission refused. */
export interface Refusal {
  readonly status: 429 | 503;
  readonly reason:
    | 'rate_limited'
    | 'too_many_in_flight'
    | 'deadline_unreachable'
    | 'no_target'
    | 'no_memory'
    | 'body_too_late'
    | 'not_configured';
  readonly retryAfterMs: number;
}

interface Bucket {
  tokens: number;
  updatedAt: number;
  inFlight: number;
  admitted: number;
  refused: number;
}

/** Usage of one client account at this gate since the gate started. */
export interface AccountUsage {
  readonly id: string;
  readonly inFlight: number;
  readonly admitted: number;
  readonly refused: number;
}

/**
 * Applies the rate and concurrency limits of client accounts at this gate.
 *
 * @example
 * const limits = createAccountLimits();
 * const refusal = limits.enter(account); // undefined: admitted
 * limits.leave(account.id);
 */
export class AccountLimits {
  private readonly buckets = new Map<string, Bucket>();

  /**
   * Admits one request of `account` and returns undefined, or returns the
   * refusal.
   */
  enter(account: Account, now = Date.now()): Refusal | undefined {
    const bucket = this.readBucket(account, now);
    if (bucket.inFlight >= account.maxConcurrent) {
      bucket.refused++;
      return {status: 429, reason: 'too_many_in_flight', retryAfterMs: 1000};
    }
    if (bucket.tokens < 1) {
      bucket.refused++;
      const retryAfterMs = Math.ceil(
        ((1 - bucket.tokens) / account.ratePerSecond) * 1000,
      );
      return {status: 429, reason: 'rate_limited', retryAfterMs};
    }
    bucket.tokens -= 1;
    bucket.inFlight++;
    bucket.admitted++;
    return undefined;
  }

  /**
   * Removes one finished request of `accountId` from the requests in flight.
   */
  leave(accountId: string): void {
    const bucket = this.buckets.get(accountId);
    if (bucket !== undefined)
      bucket.inFlight = Math.max(0, bucket.inFlight - 1);
  }

  /**
   * Returns the usage of every account that has sent a request, sorted by id.
   */
  describe(): readonly AccountUsage[] {
    return [...this.buckets]
      .map(([id, {inFlight, admitted, refused}]) => ({
        id,
        inFlight,
        admitted,
        refused,
      }))
      .sort((a, b) => a.id.localeCompare(b.id));
  }

  private readBucket(account: Account, now: number): Bucket {
    const burst = Math.max(1, account.ratePerSecond);
    let bucket = this.buckets.get(account.id);
    if (bucket === undefined) {
      bucket = {
        tokens: burst,
        updatedAt: now,
        inFlight: 0,
        admitted: 0,
        refused: 0,
      };
      this.buckets.set(account.id, bucket);
    }
    const refill = ((now - bucket.updatedAt) / 1000) * account.ratePerSecond;
    bucket.tokens = Math.min(burst, bucket.tokens + refill);
    bucket.updatedAt = now;
    return bucket;
  }
}

/**
 * Creates account limits without any usage.
 *
 * @example
 * const limits = createAccountLimits();
 */
export function createAccountLimits(): AccountLimits {
  return new AccountLimits();
}
