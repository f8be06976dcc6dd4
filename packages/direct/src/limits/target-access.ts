/** Whether a target takes a request of this gate at present, and how many. */
import type {Target} from '../types.js';
import type {ColdPermits} from './cold-permits.js';
import type {ColdTargets} from './cold-targets.js';
import type {Permits} from './permits.js';
import type {TargetRests} from './target-rests.js';

/** Dependencies of {@link TargetAccess}. */
export interface TargetAccessOptions {
  readonly permits: Permits;
  readonly rests: TargetRests;
  readonly cold: ColdTargets;
  readonly coldPermits: ColdPermits;
}

/**
 * Access to targets that limit requests, rest or are cold.
 *
 * @example
 * if (await access.claim('i-1')) send();
 */
export class TargetAccess {
  constructor(private readonly options: TargetAccessOptions) {}

  /** Returns whether a target gets no orders and is not asked for reports. */
  isSpared(target: string): boolean {
    const {permits, rests} = this.options;
    return permits.isLimited(target) || rests.isResting(target);
  }

  /** Returns whether a target takes no request at present. */
  isBlocked(target: string): boolean {
    return this.readWaitMs(target) > 0;
  }

  /** Returns whether a target has asked for rest that is not over. */
  isResting(target: string): boolean {
    return this.options.rests.isResting(target);
  }

  /**
   * Returns whether a target is cold. It is not spared: it takes orders and is
   * asked for reports.
   */
  isCold(target: string): boolean {
    return this.options.cold.isCold(target);
  }

  /** Records the cold time left that an answer of a target names. */
  recordCold(
    target: Target,
    coldLeftMs: number | 'malformed' | undefined,
  ): void {
    this.options.cold.recordAnswer(target, coldLeftMs);
  }

  /** Returns the share of its cold time that a target has behind it, 0 to 1. */
  readColdProgress(target: string): number {
    return this.options.cold.readProgress(target);
  }

  /** Returns the time until a target may take a request, in ms; 0 for now. */
  readWaitMs(target: string): number {
    const {permits, rests} = this.options;
    return Math.max(permits.readWaitMs(target), rests.readWaitMs(target));
  }

  /**
   * Returns the time until one of some targets may take a request, in ms; 0 if
   * one may now or there are none.
   */
  readShortestWaitMs(targets: readonly Target[]): number {
    const waits = targets.map(({id}) => this.readWaitMs(id));
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  /** Claims one request to a target. */
  async claim(target: string): Promise<boolean> {
    const {permits, rests} = this.options;
    return (await permits.claim(target)) && rests.claim(target);
  }

  /**
   * Spends a claimed permit for a request that is about to be sent; returns false
   * if the target is cold and no permit is left that is still valid.
   */
  settlePermit(target: string): boolean {
    return this.options.coldPermits.settlePermit(target);
  }
}
