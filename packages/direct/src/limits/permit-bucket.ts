/** Token bucket for the permits to send requests to one target. */

/**
 * Lowest rate, in permits per second: a target that takes nothing is asked now
 * and then whether it still does.
 */
const MIN_PER_S = 0.1;

/** Span whose permits may be taken at once, in s; one permit at least. */
const BURST_S = 0.2;

/**
 * Time for which an earlier home may still hand out permits, in ms: gates that
 * are silent are taken for gone after it.
 */
const OVERLAP_MS = 3200;

/** Share of the limit that a new home hands out beside an earlier one. */
const OVERLAP_SHARE = 0.5;

/**
 * Permits of one target, handed out by the gate that is its home. The bucket
 * begins empty and fills slowly at first, as an earlier home may still hand out
 * permits.
 *
 * @example
 * const bucket = new PermitBucket(now);
 * bucket.claim(1.4, now + 800); // 0: granted
 */
export class PermitBucket {
  private permits = 0;
  private filledAt: number;

  /** @param openedAt - Time at which the gate became the home, in ms. */
  constructor(private readonly openedAt: number) {
    this.filledAt = openedAt;
  }

  /**
   * Claims a permit.
   *
   * @param perSecond - Limit of the target at present.
   * @returns 0 if it is granted, else the time until one is free, in ms.
   */
  claim(perSecond: number, now: number): number {
    const isNew = now - this.openedAt < OVERLAP_MS;
    const share = isNew ? OVERLAP_SHARE : 1;
    const perMs = (Math.max(MIN_PER_S, perSecond) * share) / 1000;
    const most = Math.max(1, perMs * 1000 * BURST_S);
    const added = Math.max(0, now - this.filledAt) * perMs;
    this.permits = Math.min(most, this.permits + added);
    this.filledAt = now;
    if (this.permits < 1) return (1 - this.permits) / perMs;
    this.permits--;
    return 0;
  }
}
