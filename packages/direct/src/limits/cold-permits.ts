/**
 * Permits to send requests to cold targets: the part of the home, which grants
 * them, and the part of the gate, which must use each in time.
 */
import {ColdBucket, PERMIT_LIFETIME_MS} from './cold-bucket.js';
import type {ColdTargets} from './cold-targets.js';

/** Time until a home that may grant nothing is asked again, in ms. */
const NO_GRANT_WAIT_MS = 200;

/**
 * Time by which the longest wait of a refused gate grows with each other gate, in
 * ms: a home answers about 250 questions a second for each target.
 */
const WAIT_PER_GATE_MS = 8;

/** Step between the waits of successive refusals, as a share of the longest. */
const WAIT_STEP = 0.618;

/** Dependencies of {@link ColdPermits}. */
export interface ColdPermitsOptions {
  readonly targets: ColdTargets;
  readonly listGates: () => readonly string[];
  /** Measures the share of all gates for which this gate may grant permits. */
  readonly measureGrantShare: (target: string) => number;
  readonly readNow: () => number;
}

/**
 * Permits for cold targets that this gate grants or holds.
 *
 * @example
 * const waitMs = permits.give('i-1', 47);
 */
export class ColdPermits {
  private readonly buckets = new Map<string, ColdBucket>();
  /** Times until which permits that this gate holds are valid, in ms. */
  private readonly held = new Map<string, number[]>();
  private waitShare = 0;

  constructor(private readonly options: ColdPermitsOptions) {}

  /** Returns the most requests to a target in any second; undefined if warm. */
  findBound(target: string): number | undefined {
    return this.options.targets.findBound(target);
  }

  /**
   * Grants a permit as the home of a target.
   *
   * @returns 0 if it is granted, else the time until one is free, in ms.
   */
  give(target: string, bound: number): number {
    const {listGates, measureGrantShare, readNow} = this.options;
    const most = Math.floor(bound * measureGrantShare(target));
    if (most < 1) return NO_GRANT_WAIT_MS;
    let bucket = this.buckets.get(target);
    if (bucket === undefined) {
      bucket = new ColdBucket();
      this.buckets.set(target, bucket);
    }
    const waitMs = bucket.claim(most, readNow());
    if (waitMs === 0) return 0;
    return waitMs + this.chooseExtraWaitMs(listGates().length);
  }

  /** Holds a permit that was asked for at `askedAt` until it is used. */
  hold(target: string, askedAt: number): void {
    const held = this.listHeld(target);
    held.push(askedAt + PERMIT_LIFETIME_MS);
    this.held.set(target, held);
  }

  /**
   * Uses a permit for a request that is about to be sent; returns false if the
   * target is cold and no valid permit is held.
   */
  settlePermit(target: string): boolean {
    if (this.findBound(target) === undefined) return true;
    const held = this.listHeld(target);
    this.held.set(target, held);
    return held.shift() !== undefined;
  }

  /** Forgets the permits of a target that was removed, except those granted. */
  drop(target: string): void {
    this.held.delete(target);
  }

  /** Forgets what counts no more. */
  expire(): void {
    const now = this.options.readNow();
    for (const [target, bucket] of this.buckets)
      if (bucket.isIdle(now)) this.buckets.delete(target);
    for (const target of this.held.keys())
      if (this.listHeld(target).length === 0) this.held.delete(target);
  }

  /** Spreads the gates that are refused together, so that not all ask at once. */
  private chooseExtraWaitMs(gates: number): number {
    this.waitShare = (this.waitShare + WAIT_STEP) % 1;
    return this.waitShare * WAIT_PER_GATE_MS * (gates - 1);
  }

  private listHeld(target: string): number[] {
    const now = this.options.readNow();
    return (this.held.get(target) ?? []).filter(until => until > now);
  }
}
