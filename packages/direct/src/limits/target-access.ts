/** Whether a target takes a request of this gate at present. */
import type {Target} from '../types.js';
import type {Permits} from './permits.js';
import type {TargetRests} from './target-rests.js';

/** Dependencies of {@link TargetAccess}. */
export interface TargetAccessOptions {
  readonly permits: Permits;
  readonly rests: TargetRests;
}

/**
 * Access to targets that limit requests or rest.
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
}
