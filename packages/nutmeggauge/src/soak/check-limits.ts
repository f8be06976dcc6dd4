/** Checks on callers that have left, and on targets that name a limit. */
import {isGateCalm} from './gate-faults.js';
import type {SoakHistory} from './history.js';
import type {Violation} from './violation.js';

/** Time after a caller has left from which a run counts as late, in ms. */
const LATE_RUN_MS = 500;

/** Number of late runs that are allowed in one soak. */
const MAX_LATE_RUNS = 3;

/** Time before a run in which a fault excuses its gate, in ms. */
const CONTACT_MS = 3000;

/** Span in which the requests of a limited target are counted, in ms. */
const WINDOW_MS = 4000;

/** Requests in a span beyond one and a half times the limit. */
const LIMIT_SLACK = 5;

/**
 * Finds runs that began after their caller had left.
 *
 * @example
 * findLateRuns(history).length; // 0
 */
export function findLateRuns(history: SoakHistory): readonly Violation[] {
  const records = new Map(
    history.impatient.map(record => [record.requestId, record]),
  );
  const late = history.runs.filter(({requestId, at}) => {
    const record = records.get(requestId);
    if (record === undefined || !record.hasGivenUp) return false;
    if (at <= record.endedAt + LATE_RUN_MS) return false;
    return isGateCalm(history, record.gate, at - CONTACT_MS, at);
  });
  if (late.length <= MAX_LATE_RUNS) return [];
  const [{requestId}] = late;
  return [{promise: 'caller-gone', requestId, detail: `${late.length} runs`}];
}

/**
 * Finds targets that got more requests from undisturbed gates than the limit
 * allows that they named.
 *
 * @example
 * findExceededLimits(history).length; // 0
 */
export function findExceededLimits(history: SoakHistory): readonly Violation[] {
  const {limits, runs} = history;
  const gates = new Map(
    [...history.records, ...history.impatient].map(({requestId, gate}) => [
      requestId,
      gate,
    ]),
  );
  return [...limits].flatMap(([target, limit]) => {
    const {perSecond, knownAt, endedAt = Infinity} = limit;
    const times = runs
      .filter(
        ({target: id, at}) =>
          id === target && at >= knownAt + CONTACT_MS && at < endedAt,
      )
      // A gate that has restarted may not know the limit.
      .filter(({requestId, at}) => {
        const gate = gates.get(requestId);
        return (
          gate !== undefined && isGateCalm(history, gate, at - CONTACT_MS, at)
        );
      })
      .map(({at}) => at);
    const counts = times.map(
      from => times.filter(at => at >= from && at < from + WINDOW_MS).length,
    );
    const most = Math.max(0, ...counts);
    const allowed = (1.5 * perSecond * WINDOW_MS) / 1000 + LIMIT_SLACK;
    if (most <= allowed) return [];
    const detail = `${target}: ${most} in 4 s, allowed ${allowed}`;
    return [{promise: 'target-limit' as const, requestId: undefined, detail}];
  });
}
