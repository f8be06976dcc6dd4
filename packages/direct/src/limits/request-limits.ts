/**
 * Limits on requests that targets name in their answers. A limit holds for all
 * gates together, for as long as the target names it.
 */
import type {Counters} from '@nutmeggauge/core';
import type {DecisionLog} from '../observe/decision-log.js';

/** Limit above which a target counts as unlimited, in requests per second. */
const MAX_LIMIT_PER_S = 10_000;

/**
 * Time for which the end of a limit is remembered, in ms, so that older news of
 * a peer does not bring it back.
 */
const ENDED_TTL_MS = 60_000;

/** What one gate observed of the limit of a target. */
export interface LimitReport {
  readonly target: string;
  /** Requests per second; null if the target named no limit. */
  readonly perSecond: number | null;
  /** Age of the answer that named the limit, in ms. */
  readonly ageMs: number;
}

interface ObservedLimit {
  readonly perSecond: number | null;
  readonly observedAt: number;
}

/** Dependencies of {@link RequestLimits}. */
export interface RequestLimitsOptions {
  readonly readNow: () => number;
  readonly log: DecisionLog;
  readonly counters: Counters;
  /** Tells the peers of a limit that has changed. */
  readonly announce: (report: LimitReport) => void;
}

/**
 * Limits of targets, as this gate and its peers have read them. The newest
 * answer of a target counts.
 *
 * @example
 * limits.recordAnswer('i-1', 1.4);
 * limits.find('i-1'); // 1.4
 */
export class RequestLimits {
  private readonly limits = new Map<string, ObservedLimit>();

  constructor(private readonly options: RequestLimitsOptions) {}

  /** Number of targets that name a limit. */
  get size(): number {
    let count = 0;
    for (const {perSecond} of this.limits.values())
      if (perSecond !== null) count++;
    return count;
  }

  /** Returns the limit of a target in requests per second; undefined for none. */
  find(target: string): number | undefined {
    return this.limits.get(target)?.perSecond ?? undefined;
  }

  /**
   * Records an answer of a target.
   *
   * @param perSecond - The limit that it names; undefined if it names none. A
   *   malformed one changes nothing.
   */
  recordAnswer(
    target: string,
    perSecond: number | 'malformed' | undefined,
  ): void {
    if (perSecond === 'malformed') {
      this.options.counters.add('limit.malformed');
      return;
    }
    const isLimit = perSecond !== undefined && perSecond <= MAX_LIMIT_PER_S;
    if (!isLimit && !this.limits.has(target)) return;
    const report = {target, perSecond: isLimit ? perSecond : null, ageMs: 0};
    if (this.apply(report, 'answer')) this.options.announce(report);
  }

  /** Applies what peers have observed, unless a newer answer is known. */
  merge(reports: readonly LimitReport[]): void {
    for (const report of reports) this.apply(report, 'peer');
  }

  /** Lists all limits, and those that have ended lately. */
  listAll(): readonly LimitReport[] {
    const now = this.options.readNow();
    return [...this.limits].map(([target, {perSecond, observedAt}]) => ({
      target,
      perSecond,
      ageMs: Math.round(now - observedAt),
    }));
  }

  /** Forgets a target that was removed. */
  drop(target: string): void {
    this.limits.delete(target);
  }

  /** Forgets the limits that ended long ago. */
  expire(): void {
    const oldestAt = this.options.readNow() - ENDED_TTL_MS;
    for (const [target, {perSecond, observedAt}] of this.limits)
      if (perSecond === null && observedAt < oldestAt)
        this.limits.delete(target);
  }

  /** Applies a report; returns true if it changes the limit. */
  private apply(
    {target, perSecond, ageMs}: LimitReport,
    source: 'answer' | 'peer',
  ): boolean {
    const {readNow, log, counters} = this.options;
    const observedAt = readNow() - ageMs;
    const known = this.limits.get(target);
    if (known !== undefined && known.observedAt > observedAt) return false;
    if (known === undefined && ageMs > ENDED_TTL_MS && perSecond === null)
      return false;
    this.limits.set(target, {perSecond, observedAt});
    const before = known?.perSecond ?? null;
    if (before === perSecond) return false;
    counters.add('limit.changes');
    const event = perSecond === null ? 'target_limit_ended' : 'target_limited';
    log.info(event, {target, perSecond, before, source});
    return true;
  }
}
