/**
 * Passive health checks: consecutive failures suspend a target for a while, and
 * single requests then probe it. Active probes have a cost and may be wrong.
 */

/** Consecutive failures that suspend a target. */
const FAILURES_TO_SUSPEND = 2;

/** First and longest suspension, in ms: doubled at each failed probe. */
const SUSPEND_MIN_MS = 800;
const SUSPEND_MAX_MS = 4000;

/** Weight of the newest outcome in a target's failure share. */
const FAILURE_WEIGHT = 0.15;

/** Failure share from which other targets are preferred. */
export const GREY_SHARE = 0.35;

interface Record {
  failuresInRow: number;
  suspendedUntil: number;
  suspendMs: number;
  failureShare: number;
}

/**
 * Health of every target, as seen by this gate.
 *
 * @example
 * health.recordFailure('i-1', now, true);
 * health.isSuspended('i-1', now); // true
 */
export class TargetHealth {
  private readonly records = new Map<string, Record>();
  private readonly heardAt = new Map<string, number>();

  /** Records a whole answer that is no failure of the target. */
  recordSuccess(id: string): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    record.failuresInRow = 0;
    record.suspendMs = SUSPEND_MIN_MS;
    record.suspendedUntil = 0;
    record.failureShare *= 1 - FAILURE_WEIGHT;
  }

  /**
   * Records a failure.
   *
   * @param isDead - True if nothing answers at all: one such failure is
   *   enough.
   */
  recordFailure(id: string, now: number, isDead: boolean): void {
    const record = this.readRecord(id);
    record.failuresInRow++;
    record.failureShare += (1 - record.failureShare) * FAILURE_WEIGHT;
    if (!isDead && record.failuresInRow < FAILURES_TO_SUSPEND) return;
    record.suspendedUntil = now + record.suspendMs;
    record.suspendMs = Math.min(SUSPEND_MAX_MS, record.suspendMs * 2);
  }

  /** Records that bytes of an answer came from a target. */
  markHeard(id: string, now: number): void {
    this.heardAt.set(id, now);
  }

  /**
   * True when a target sent bytes after `since`, to any request: it is busy,
   * not dead, and another attempt would only add load.
   */
  isHeardSince(id: string, since: number): boolean {
    return (this.heardAt.get(id) ?? -Infinity) > since;
  }

  /** True while a target is suspended. */
  isSuspended(id: string, now: number): boolean {
    return (this.records.get(id)?.suspendedUntil ?? 0) > now;
  }

  /** Recent share of failures, 0 to 1. */
  readFailureShare(id: string): number {
    return this.records.get(id)?.failureShare ?? 0;
  }

  /** Forgets a target that has left. */
  drop(id: string): void {
    this.records.delete(id);
    this.heardAt.delete(id);
  }

  private readRecord(id: string): Record {
    let record = this.records.get(id);
    if (record === undefined) {
      record = {
        failuresInRow: 0,
        suspendedUntil: 0,
        suspendMs: SUSPEND_MIN_MS,
        failureShare: 0,
      };
      this.records.set(id, record);
    }
    return record;
  }
}

/**
 * Creates health records.
 *
 * @example
 * const health = createTargetHealth();
 */
export function createTargetHealth(): TargetHealth {
  return new TargetHealth();
}
