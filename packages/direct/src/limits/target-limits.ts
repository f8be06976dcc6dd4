/** All that one gate knows of targets that limit requests or want rest. */
import {Permits} from './permits.js';
import {RequestLimits} from './request-limits.js';
import {TargetAccess} from './target-access.js';
import {TargetRests} from './target-rests.js';
import type {Counters} from '@nutmeggauge/core';
import type {DecisionLog} from '../observe/decision-log.js';
import type {PermitMessenger} from './permits.js';
import type {LimitReport} from './request-limits.js';

/** Dependencies of {@link TargetLimits}. */
export interface TargetLimitsOptions {
  /** Host of this gate. */
  readonly host: string;
  readonly listGates: () => readonly string[];
  readonly messenger: PermitMessenger;
  /** Tells the peers of a limit that has changed. */
  readonly announce: (report: LimitReport) => void;
  readonly counters: Counters;
  readonly log: DecisionLog;
  readonly readNow: () => number;
}

/**
 * Limits, permits and rests of the targets of one gate.
 *
 * @example
 * const limits = new TargetLimits(options);
 * await limits.access.claim('i-1');
 */
export class TargetLimits {
  readonly requests: RequestLimits;
  readonly permits: Permits;
  readonly rests: TargetRests;
  readonly access: TargetAccess;

  constructor(options: TargetLimitsOptions) {
    this.requests = new RequestLimits(options);
    this.permits = new Permits({...options, limits: this.requests});
    this.rests = new TargetRests(options);
    this.access = new TargetAccess(this);
  }

  /** Forgets a target that was removed; a rest outlasts its entry. */
  drop(target: string): void {
    this.requests.drop(target);
    this.permits.drop(target);
  }

  /** Forgets what has ended. */
  expire(): void {
    this.requests.expire();
    this.rests.expire();
  }
}
