/** Account of the bytes that one gate holds of targets' answers. */

/**
 * Bytes that all requests together may hold.
 *
 * @example
 * const budget = new ByteBudget(1000);
 * budget.claim(800); // true
 * budget.claim(800); // false
 */
export class ByteBudget {
  private claimed = 0;

  /** @param limitBytes - Most bytes that may be claimed at a time. */
  constructor(readonly limitBytes: number) {}

  /** Number of bytes that are claimed. */
  get claimedBytes(): number {
    return this.claimed;
  }

  /** Claims bytes; returns false, and claims none, if they don't fit. */
  claim(bytes: number): boolean {
    if (this.claimed + bytes > this.limitBytes) return false;
    this.claimed += bytes;
    return true;
  }

  /** Gives claimed bytes back. */
  release(bytes: number): void {
    this.claimed -= bytes;
  }
}
