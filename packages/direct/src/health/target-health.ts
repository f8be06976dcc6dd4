/**
 * Passive health checks: consecutive failures suspend a target temporarily;
 * after the suspension, the next requests to the target serve as probes. Active
 * probes are not used because they have a cost and may give wrong results.
 */

/** Consecutive failures after which a target is suspended. */
const FAILURES_TO_SUSPEND = 2;

/** First and longest suspension, in ms; it doubles with each failed probe. */
const SUSPEND_MIN_MS = 800;
const SUSPEND_MAX_MS = 4000;

/**
 * Suspension of a target whose process has ended, in ms; above the time after
 * which the store drops its entry.
 */
const SUSPEND_ENDED_MS = 5000;

/** Weight of the newest outcome in the moving failure share of a target. */
const FAILURE_WEIGHT = 0.15;

/** Failure share above which other targets are preferred. */
export const DEGRADED_FAILURE_SHARE = 0.35;

interface HealthRecord {
  consecutiveFailures: number;
  suspendedUntil: number;
  /** True if the suspension ends as soon as the target sends bytes. */
  isStalled: boolean;
  suspendMs: number;
  failureShare: number;
}

/**
 * Health of all targets, derived from the requests of this gate.
 *
 * @example
 * health.recordFailure('i-1', now, true);
 * health.isSuspended('i-1', now); // true
 */
export class TargetHealth {
  private readonly records = new Map<string, HealthRecord>();
  private readonly lastBytesAt = new Map<string, number>();

  /** Records a complete answer that does not count as a target failure. */
  recordSuccess(id: string): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    record.consecutiveFailures = 0;
    record.suspendMs = SUSPEND_MIN_MS;
    record.suspendedUntil = 0;
    record.failureShare *= 1 - FAILURE_WEIGHT;
  }

  /**
   * Records a failure of a target.
   *
   * @param isUnreachable - True if the target does not answer at all: a single
   *   such failure suspends it.
   */
  recordFailure(id: string, now: number, isUnreachable: boolean): void {
    const record = this.readRecord(id);
    record.isStalled = false;
    record.consecutiveFailures++;
    record.failureShare += (1 - record.failureShare) * FAILURE_WEIGHT;
    if (!isUnreachable && record.consecutiveFailures < FAILURES_TO_SUSPEND)
      return;
    record.suspendedUntil = Math.max(
      record.suspendedUntil,
      now + record.suspendMs,
    );
    record.suspendMs = Math.min(SUSPEND_MAX_MS, record.suspendMs * 2);
  }

  /** Records that the process of a target has ended. */
  recordEnd(id: string, now: number): void {
    this.readRecord(id).suspendedUntil = now + SUSPEND_ENDED_MS;
  }

  /**
   * Records that a stream of a target has stalled. Streams that stall together
   * lengthen no suspension, and it ends when the target sends bytes.
   */
  recordStall(id: string, now: number): void {
    if (this.isSuspended(id, now)) return;
    this.recordFailure(id, now, false);
    this.readRecord(id).isStalled = true;
  }

  /** Records that bytes of an answer were received from a target. */
  markActive(id: string, now: number): void {
    this.lastBytesAt.set(id, now);
    const record = this.records.get(id);
    if (record === undefined || !record.isStalled) return;
    record.isStalled = false;
    record.consecutiveFailures = 0;
    record.suspendedUntil = 0;
    record.suspendMs = SUSPEND_MIN_MS;
  }

  /**
   * Checks whether a target has sent bytes of any answer after `since`. Such a
   * target is busy rather than failed, and a retry would only add load.
   */
  isActiveSince(id: string, since: number): boolean {
    return (this.lastBytesAt.get(id) ?? -Infinity) > since;
  }

  /** Checks whether a target is suspended at `now`. */
  isSuspended(id: string, now: number): boolean {
    return (this.records.get(id)?.suspendedUntil ?? 0) > now;
  }

  /** Reads the recent share of failed requests of a target, 0 to 1. */
  readFailureShare(id: string): number {
    return this.records.get(id)?.failureShare ?? 0;
  }

  /** Drops the state of a target that was removed. */
  drop(id: string): void {
    this.records.delete(id);
    this.lastBytesAt.delete(id);
  }

  private readRecord(id: string): HealthRecord {
    let record = this.records.get(id);
    if (record === undefined) {
      record = {
        consecutiveFailures: 0,
        suspendedUntil: 0,
        isStalled: false,
        suspendMs: SUSPEND_MIN_MS,
        failureShare: 0,
      };
      this.records.set(id, record);
    }
    return record;
  }
}

/**
 * Creates health state without recorded targets.
 *
 * @example
 * const health = createTargetHealth();
 */
export function createTargetHealth(): TargetHealth {
  return new TargetHealth();
}
