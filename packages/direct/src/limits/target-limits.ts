/** All that one gate knows of targets that limit requests or want rest. */
import {ColdPermits} from './cold-permits.js';
import {ColdTargets} from './cold-targets.js';
import {Permits} from './permits.js';
import {RequestLimits} from './request-limits.js';
import {TargetAccess} from './target-access.js';
import {TargetRests} from './target-rests.js';
import type {Counters} from '@nutmeggauge/core';
import type {ColdBounds} from '../gate-settings.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {ServiceConfig} from '../types.js';
import type {PermitMessenger} from './permits.js';
import type {LimitReport} from './request-limits.js';

/** What limits the requests to cold targets. */
export interface ColdLimits {
  readonly bounds: ColdBounds | undefined;
  readonly findService: (name: string) => ServiceConfig | undefined;
  /** Measures the share of all gates for which this gate may grant permits. */
  readonly measureGrantShare: (target: string) => number;
  /** Called when a target turns cold. */
  readonly onCold: (target: string) => void;
}

/** Limits of a gate without bounds for cold targets. */
const NEVER_COLD: ColdLimits = {
  bounds: undefined,
  findService: () => undefined,
  measureGrantShare: () => 0,
  onCold: () => undefined,
};

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
  /** @default no target is cold */
  readonly cold?: ColdLimits;
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
  readonly cold: ColdTargets;
  readonly coldPermits: ColdPermits;
  readonly access: TargetAccess;

  constructor(options: TargetLimitsOptions) {
    this.requests = new RequestLimits(options);
    const {cold = NEVER_COLD} = options;
    this.cold = new ColdTargets({...options, ...cold});
    this.coldPermits = new ColdPermits({
      ...options,
      targets: this.cold,
      measureGrantShare: cold.measureGrantShare,
    });
    this.permits = new Permits({
      ...options,
      limits: this.requests,
      cold: this.coldPermits,
    });
    this.rests = new TargetRests(options);
    this.access = new TargetAccess(this);
  }

  /** Forgets a target that was removed; a rest outlasts its entry. */
  drop(target: string): void {
    this.requests.drop(target);
    this.permits.drop(target);
    this.cold.drop(target);
    this.coldPermits.drop(target);
  }

  /** Forgets what has ended. */
  expire(): void {
    this.requests.expire();
    this.rests.expire();
    this.cold.expire();
    this.coldPermits.expire();
  }
}
