/**
 * Per-account limits at one gate: a token bucket for the request rate and a
 * count of requests in flight. A refusal says when to come back.
 */
import type {Account} from '@nutmeggauge/core';

/** Why admission refused a request, with when to come back. */
export interface Refusal {
  readonly status: 429 | 503;
  readonly reason:
    | 'rate_limited'
    | 'too_many_in_flight'
    | 'deadline_unreachable'
    | 'no_target'
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

/** What one client account has used at this gate since it started. */
export interface AccountUsage {
  readonly id: string;
  readonly inFlight: number;
  readonly admitted: number;
  readonly refused: number;
}

/**
 * Rate and concurrency limits of every account at this gate.
 *
 * @example
 * const limits = createAccountLimits();
 * const refusal = limits.enter(account); // undefined: admitted
 * limits.leave(account.id);
 */
export class AccountLimits {
  private readonly buckets = new Map<string, Bucket>();

  /** Admits one request of `account`, or says why not. */
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

  /** Marks one admitted request of `accountId` as finished. */
  leave(accountId: string): void {
    const bucket = this.buckets.get(accountId);
    if (bucket !== undefined)
      bucket.inFlight = Math.max(0, bucket.inFlight - 1);
  }

  /** Usage of every account that has sent a request, by id. */
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
 * Creates empty account limits.
 *
 * @example
 * const limits = createAccountLimits();
 */
export function createAccountLimits(): AccountLimits {
  return new AccountLimits();
}
