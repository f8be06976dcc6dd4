/**
 * Shares of the streams of each urgency that were placed after a wait for a slot,
 * over the last seconds. The least urgent streams must not starve.
 */

/** Time after which an outcome counts 1/e, in ms. */
const MEMORY_MS = 10_000;

/**
 * Part of the share that is served of all streams below which an urgency is owed
 * the next slot. A quarter is required; the margin covers the streams that are
 * placed without a wait, which are not counted here.
 */
const OWED_PART = 0.4;

/**
 * Lead of the share of an urgency over that of a more urgent one above which it
 * gives way. A lead of 0.05 is tolerated.
 */
const TOLERATED_LEAD = 0.03;

interface Outcomes {
  placed: number;
  refused: number;
}

/**
 * Counts the outcomes of waiting streams by urgency.
 *
 * @example
 * shares.record(2, 'refused', performance.now());
 * shares.isOwed(2);
 */
export class ServedShares {
  private readonly byRank = new Map<number, Outcomes>();
  private decayedAt = 0;

  /** Records the outcome of a stream. */
  record(rank: number, outcome: 'placed' | 'refused', now: number): void {
    this.expire(now);
    const outcomes = this.byRank.get(rank) ?? {placed: 0, refused: 0};
    outcomes[outcome]++;
    this.byRank.set(rank, outcomes);
  }

  /** Returns whether far fewer streams of an urgency are placed than of all. */
  isOwed(rank: number): boolean {
    const all = this.measureAll();
    return this.measureShare(rank, all) < OWED_PART * all;
  }

  /** Returns whether fewer streams of a more urgent rank are placed. */
  isAhead(rank: number): boolean {
    const all = this.measureAll();
    const most = this.measureShare(rank, all) - TOLERATED_LEAD;
    return [...this.byRank.keys()].some(
      other => other < rank && this.measureShare(other, all) < most,
    );
  }

  private measureAll(): number {
    let placed = 0;
    let refused = 0;
    for (const outcomes of this.byRank.values()) {
      placed += outcomes.placed;
      refused += outcomes.refused;
    }
    return (placed + 1) / (placed + refused + 1);
  }

  /**
   * Measures the share of the streams of a rank that were placed; that of all
   * streams counts as one stream more, so that few outcomes weigh little.
   */
  private measureShare(rank: number, all: number): number {
    const {placed = 0, refused = 0} = this.byRank.get(rank) ?? {};
    return (placed + all) / (placed + refused + 1);
  }

  private expire(now: number): void {
    const kept = Math.exp((this.decayedAt - now) / MEMORY_MS);
    this.decayedAt = now;
    for (const outcomes of this.byRank.values()) {
      outcomes.placed *= kept;
      outcomes.refused *= kept;
    }
  }
}
