/**
 * Rests that targets ask for when they turn a request away. A rest holds between
 * one target and this gate.
 */
import type {Counters} from '@nutmeggauge/core';
import type {DecisionLog} from '../observe/decision-log.js';

/** Longest rest, in ms; a target that asks for more is tried after it. */
const MAX_REST_MS = 600_000;

/**
 * Time after which a request that tries a rested target counts as unanswered, so
 * that another one may try, in ms.
 */
const TRIAL_TIMEOUT_MS = 1000;

/**
 * Time after a rest for which a target that has not been tried since is
 * remembered, in ms.
 */
const RETENTION_MS = 60_000;

/** Statuses of refusals after which a target may ask for rest. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

interface Rest {
  readonly beganAt: number;
  readonly endsAt: number;
  /** Time of the request that tries whether the target accepts again. */
  readonly triedAt: number;
  readonly isOverLogged: boolean;
}

/** Dependencies of {@link TargetRests}. */
export interface TargetRestsOptions {
  readonly readNow: () => number;
  readonly log: DecisionLog;
  readonly counters: Counters;
}

/**
 * Keeps which targets rest. After a rest, one request at a time tries the target
 * until it has answered otherwise than with another rest.
 *
 * @example
 * rests.recordAnswer('i-1', 503, 3000);
 * rests.isResting('i-1'); // true, for three seconds
 */
export class TargetRests {
  private readonly rests = new Map<string, Rest>();

  constructor(private readonly options: TargetRestsOptions) {}

  /** Number of targets that rest or are being tried. */
  get size(): number {
    return this.rests.size;
  }

  /**
   * Records an answer of a target.
   *
   * @param restMs - Rest that it asks for, in ms; a malformed one counts as none.
   */
  recordAnswer(
    target: string,
    status: number,
    restMs: number | 'malformed' | undefined,
  ): void {
    const isRefusal = REFUSAL_STATUSES.has(status);
    if (isRefusal && restMs === 'malformed')
      this.options.counters.add('rest.malformed');
    if (isRefusal && typeof restMs === 'number' && restMs > 0)
      return this.begin(target, Math.min(restMs, MAX_REST_MS));
    const rest = this.rests.get(target);
    if (rest === undefined || this.options.readNow() < rest.endsAt) return;
    this.recordEnd(target, rest);
    this.rests.delete(target);
  }

  /** Returns whether a target wants nothing at present. */
  isResting(target: string): boolean {
    const rest = this.rests.get(target);
    return rest !== undefined && this.options.readNow() < rest.endsAt;
  }

  /** Returns the time until a target may be tried, in ms; 0 for now. */
  readWaitMs(target: string): number {
    const rest = this.rests.get(target);
    if (rest === undefined) return 0;
    const until = Math.max(rest.endsAt, rest.triedAt + TRIAL_TIMEOUT_MS);
    return Math.max(0, until - this.options.readNow());
  }

  /** Claims one request; returns false while the target rests or is tried. */
  claim(target: string): boolean {
    const rest = this.rests.get(target);
    if (rest === undefined) return true;
    if (this.readWaitMs(target) > 0) return false;
    this.rests.set(target, {...rest, triedAt: this.options.readNow()});
    return true;
  }

  /** Logs the rests that are over, and forgets those that ended long ago. */
  expire(): void {
    const now = this.options.readNow();
    for (const [target, rest] of this.rests) {
      if (now >= rest.endsAt) this.recordEnd(target, rest);
      if (now >= rest.endsAt + RETENTION_MS) this.rests.delete(target);
    }
  }

  private begin(target: string, ms: number): void {
    const {readNow, log, counters} = this.options;
    const now = readNow();
    const known = this.rests.get(target);
    const endsAt = Math.max(known?.endsAt ?? 0, now + ms);
    const isRunning = known !== undefined && now < known.endsAt;
    if (known !== undefined && !isRunning) this.recordEnd(target, known);
    if (!isRunning) log.info('target_rests', {target, ms: Math.round(ms)});
    this.rests.set(target, {
      beganAt: isRunning ? known.beganAt : now,
      endsAt,
      triedAt: -Infinity,
      isOverLogged: false,
    });
    counters.add('rest.refusals');
  }

  private recordEnd(target: string, rest: Rest): void {
    if (rest.isOverLogged) return;
    this.rests.set(target, {...rest, isOverLogged: true});
    const ms = Math.round(rest.endsAt - rest.beganAt);
    this.options.log.info('target_rest_over', {target, ms});
  }
}
