/** Invariants of the soak with a bound on time, which a busy machine may exceed. */
import {STANDIN_TIMEOUT_MS} from '@nutmeggauge/platform';
import {findCutByStop} from './check-stops.js';
import type {RunsByRequest} from './gate-stops.js';
import type {CallerRecord, InjectedFault, SoakHistory} from './history.js';
import type {FaultAction} from './schedule.js';
import type {Violation} from './violation.js';

/** Time after the end of a fault until a gate counts as reconnected, in ms. */
const RECONNECT_MS = 3000;

/**
 * Time until every gate must have applied a drain or a key revocation, in ms.
 */
const PROPAGATION_MS = 2000;

/** Tolerance added to the time bound of an answer, in ms. */
const TOLERANCE_MS = 500;

/** Minimum share of the requests at the end of a run that must be served. */
const MIN_SERVED_SHARE = 0.9;

/** Time before the end of a run whose requests count for recovery, in ms. */
const RECOVERY_WINDOW_MS = 1500;

/**
 * Checks the invariants with a time bound, for gates without a recent fault.
 *
 * @example
 * new TimedChecks(history, runs).run();
 */
export class TimedChecks {
  constructor(
    private readonly history: SoakHistory,
    private readonly runs: RunsByRequest,
  ) {}

  /** Finds all violations. */
  run(): readonly Violation[] {
    return [
      ...this.history.records.flatMap(record => [
        ...this.checkAnswerTime(record),
        ...this.checkRevokedKey(record),
        ...this.checkDrain(record),
      ]),
      ...findCutByStop(this.history, this.runs),
      ...this.checkRecovery(),
    ];
  }

  private checkAnswerTime(record: CallerRecord): readonly Violation[] {
    const {requestId, gate, sentAt, endedAt} = record;
    const limitMs = STANDIN_TIMEOUT_MS + TOLERANCE_MS;
    if (endedAt - sentAt <= limitMs) return [];
    if (this.isAffected(sentAt, endedAt, action => isGateFault(action, gate)))
      return [];
    const detail = `${Math.round(endedAt - sentAt)} ms`;
    return [{promise: 'answered-in-time', requestId, detail}];
  }

  private checkRevokedKey(record: CallerRecord): readonly Violation[] {
    const {requestId, gate, key, sentAt, status} = record;
    const revocation = this.history.published.find(
      fact => fact.kind === 'key-revoked' && fact.id === key,
    );
    if (revocation === undefined || sentAt < revocation.at + PROPAGATION_MS)
      return [];
    const hasRun = (this.runs.get(requestId)?.length ?? 0) > 0;
    if (!hasRun || !this.isInContact(gate, sentAt)) return [];
    return [{promise: 'revoked-key', requestId, detail: `status ${status}`}];
  }

  private checkDrain(record: CallerRecord): readonly Violation[] {
    const {requestId, gate} = record;
    for (const run of this.runs.get(requestId) ?? []) {
      const left = this.history.published.find(
        fact => fact.kind === 'target-draining' && fact.id === run.target,
      );
      if (left === undefined || run.at < left.at + PROPAGATION_MS) continue;
      if (!this.isInContact(gate, run.at)) continue;
      const lateMs = Math.round(run.at - left.at);
      return [{promise: 'drain', requestId, detail: `${lateMs} ms after`}];
    }
    return [];
  }

  private checkRecovery(): readonly Violation[] {
    const {records, endedAt, published} = this.history;
    const finalRequests = records.filter(
      ({sentAt, key}) =>
        sentAt > endedAt - RECOVERY_WINDOW_MS &&
        !published.some(({id}) => id === key),
    );
    const served = finalRequests.filter(record => record.status === 200);
    if (served.length >= finalRequests.length * MIN_SERVED_SHARE) return [];
    const detail = `${served.length} of ${finalRequests.length} served`;
    return [{promise: 'recovery', requestId: undefined, detail}];
  }

  /**
   * Returns true if no fault of the gate, its links or the store was active at
   * the given time or shortly before.
   */
  private isInContact(gate: number, at: number): boolean {
    return !this.isAffected(
      at,
      at,
      action =>
        isGateFault(action, gate) ||
        action.kind === 'store' ||
        action.kind === 'store-history' ||
        action.kind === 'store-restore',
    );
  }

  private isAffected(
    from: number,
    to: number,
    isRelevant: (action: FaultAction) => boolean,
  ): boolean {
    const overlaps = (fault: InjectedFault) =>
      fault.beganAt <= to && fault.endedAt + RECONNECT_MS >= from;
    return this.history.faults.some(
      fault => isRelevant(fault.action) && overlaps(fault),
    );
  }
}

/** Returns true for a fault of the given gate or of one of its links. */
function isGateFault(action: FaultAction, gate: number): boolean {
  if (action.kind === 'all-gates-kill') return true;
  if (action.kind === 'gate-reload') return false;
  return 'gate' in action && action.gate === gate;
}
