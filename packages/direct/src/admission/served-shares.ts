/**
 * Shares of the streams of each kind that were placed after a wait for a slot, over
 * the last seconds. No kind must starve.
 */
import {DecayingSums} from '../accounts/decaying-sums.js';

/** Time in which the weight of an outcome decays to 1/e, in ms. */
const MEMORY_MS = 10_000;

/**
 * Part of the share that is served of all streams below which a kind is owed the
 * next slot. A quarter is required; the margin covers the streams that are placed
 * without a wait, which are not counted here.
 */
const OWED_PART = 0.4;

/**
 * Counts the outcomes of waiting streams by kind.
 *
 * @example
 * shares.record('acme', 'refused', performance.now());
 * shares.isOwed('acme');
 */
export class ServedShares {
  private readonly placed = new DecayingSums(MEMORY_MS);
  private readonly offered = new DecayingSums(MEMORY_MS);
  private allPlaced = 0;
  private allOffered = 0;
  /** Time of the latest outcome, at which all shares are read, in ms. */
  private recordedAt = 0;

  /** Records the outcome of a stream. */
  record(kind: string, outcome: 'placed' | 'refused', now: number): void {
    const kept = this.offered.measureKept(now - this.recordedAt);
    const placed = outcome === 'placed' ? 1 : 0;
    this.allPlaced = this.allPlaced * kept + placed;
    this.allOffered = this.allOffered * kept + 1;
    this.placed.add(kind, placed, now);
    this.offered.add(kind, 1, now);
    this.recordedAt = now;
  }

  /** Returns whether far fewer streams of a kind are placed than of all. */
  isOwed(kind: string): boolean {
    return this.measureShare(kind) < OWED_PART * this.measureAll();
  }

  /**
   * Measures the share of the streams of a kind that were placed; that of all
   * streams counts as one stream more, so that few outcomes weigh little.
   */
  measureShare(kind: string): number {
    const placed = this.placed.read(kind, this.recordedAt);
    const offered = this.offered.read(kind, this.recordedAt);
    return (placed + this.measureAll()) / (offered + 1);
  }

  private measureAll(): number {
    return (this.allPlaced + 1) / (this.allOffered + 1);
  }
}
