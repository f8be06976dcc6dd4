/** Permits for one cold target, counted over sliding windows. */

/** Span over which the bound on requests holds, in ms. */
const BOUND_MS = 1000;

/**
 * Longest time from the question for a permit until its request must be sent, in
 * ms: a round trip between regions, a connection and a reservation fit in.
 */
export const PERMIT_LIFETIME_MS = 60;

/** Largest difference between the times that two requests take to a target, in ms. */
const TRANSIT_SPREAD_MS = 10;

/**
 * Window in which no more permits are granted than requests may arrive in the span
 * of the bound: a permit may be used at once or at the end of its lifetime.
 */
const WINDOW_MS = BOUND_MS + PERMIT_LIFETIME_MS + TRANSIT_SPREAD_MS;

/** Span whose permits are limited too, so that they are spread over the window, in ms. */
const PACE_MS = 100;

/** Share of the permits of a window that is granted within `PACE_MS`. */
const PACE_SHARE = 0.1;

/**
 * Permits of one cold target, granted by its home.
 *
 * @example
 * new ColdBucket().claim(47, now); // 0: granted
 */
export class ColdBucket {
  /** Times of the latest grants, in ms. */
  private readonly grants: number[] = [];

  /**
   * Claims a permit.
   *
   * @param most - Most requests in any second, at least 1.
   * @returns 0 if it is granted, else the time until one is free, in ms.
   */
  claim(most: number, now: number): number {
    this.dropBefore(now - WINDOW_MS);
    const waitMs = Math.max(
      this.readWaitMs(most, WINDOW_MS, now),
      this.readWaitMs(Math.ceil(most * PACE_SHARE), PACE_MS, now),
    );
    if (waitMs === 0) this.grants.push(now);
    return waitMs;
  }

  /** Returns whether no permit counts any more. */
  isIdle(now: number): boolean {
    this.dropBefore(now - WINDOW_MS);
    return this.grants.length === 0;
  }

  private readWaitMs(most: number, windowMs: number, now: number): number {
    const grantedAt = this.grants.at(-most);
    return grantedAt === undefined
      ? 0
      : Math.max(0, grantedAt + windowMs - now);
  }

  private dropBefore(at: number): void {
    while (this.grants.length > 0 && this.grants[0] <= at) this.grants.shift();
  }
}
