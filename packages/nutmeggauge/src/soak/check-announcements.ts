/** Checks on targets that announce a leave, and on targets that want rest. */
import {isGateCalm} from './gate-faults.js';
import type {CallerRecord, SoakHistory} from './history.js';
import type {Violation} from './violation.js';

/** Time after an answer from which later requests may not reach its target, in ms. */
const DRAIN_MS = 2000;

/** Time after a refusal from which requests count, in ms. */
const REST_SLACK_MS = 500;

/** Time in which a faulty link of a target may lose an answer, in ms. */
const LINK_FAULT_MS = 1000;

/** Requests that a gate may send to a target while it rests. */
const MAX_REST_REQUESTS = 2;

/** Answer with which a gate has passed on that a target leaves. */
interface PassedLeave {
  readonly gate: number;
  readonly target: string;
  readonly at: number;
}

function buildRecordIndex(
  history: SoakHistory,
): ReadonlyMap<string, CallerRecord> {
  const {records, crashing, impatient} = history;
  return new Map(
    [...records, ...crashing, ...impatient].map(record => [
      record.requestId,
      record,
    ]),
  );
}

/** Lists the first answer by which each gate has passed on each leave. */
function listPassedLeaves(
  {runs}: SoakHistory,
  records: ReadonlyMap<string, CallerRecord>,
): readonly PassedLeave[] {
  const counts = new Map<string, number>();
  for (const {requestId} of runs)
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  const first = new Map<string, PassedLeave>();
  for (const {requestId, target, saidLeaving} of runs) {
    const record = records.get(requestId);
    // Of several runs it is not known which one the caller's answer is from.
    if (!saidLeaving || counts.get(requestId) !== 1) continue;
    if (record?.status !== 200 || !record.isWhole) continue;
    const {gate, endedAt: at} = record;
    const known = first.get(`${gate}/${target}`);
    if (known === undefined || at < known.at)
      first.set(`${gate}/${target}`, {gate, target, at});
  }
  return [...first.values()];
}

/**
 * Finds requests that reached a target although the gate had passed on, long before
 * the caller sent them, that the target leaves.
 *
 * @example
 * findSendsToLeaving(history).length; // 0
 */
export function findSendsToLeaving(history: SoakHistory): readonly Violation[] {
  const records = buildRecordIndex(history);
  return listPassedLeaves(history, records).flatMap(({gate, target, at}) => {
    const late = history.runs.filter(run => {
      const record = records.get(run.requestId);
      if (run.target !== target || record?.gate !== gate) return false;
      if (record.sentAt <= at + DRAIN_MS) return false;
      return isUndisturbed(history, gate, at, run.at);
    });
    if (late.length === 0) return [];
    const [{requestId}] = late;
    const detail = `${target}: ${late.length} from gate ${gate}`;
    return [{promise: 'target-leaving' as const, requestId, detail}];
  });
}

/**
 * Finds targets that got more than two requests of one gate in the time in which
 * they had asked it for rest.
 *
 * @example
 * findSendsToResting(history).length; // 0
 */
export function findSendsToResting(history: SoakHistory): readonly Violation[] {
  const records = buildRecordIndex(history);
  const arrivals = [...history.runs, ...history.refusals];
  return history.refusals.flatMap(({requestId, target, at, restMs}) => {
    const gate = records.get(requestId)?.gate;
    if (gate === undefined || !isUndisturbed(history, gate, at, at + restMs))
      return [];
    if (isAnswerLost(history, target, at)) return [];
    const count = arrivals.filter(
      other =>
        other.target === target &&
        records.get(other.requestId)?.gate === gate &&
        other.at > at + REST_SLACK_MS &&
        other.at < at + restMs,
    ).length;
    if (count <= MAX_REST_REQUESTS) return [];
    const detail = `${target}: ${count} from gate ${gate} in ${restMs} ms`;
    return [{promise: 'target-rest' as const, requestId, detail}];
  });
}

/** Returns whether a fault of a target's link may have lost an answer. */
function isAnswerLost(
  {faults}: SoakHistory,
  target: string,
  at: number,
): boolean {
  return faults.some(
    ({action, beganAt, endedAt}) =>
      (action.kind === 'target-link' || action.kind === 'link-reset') &&
      target.startsWith(`t${action.target}-`) &&
      beganAt <= at + LINK_FAULT_MS &&
      endedAt >= at - LINK_FAULT_MS,
  );
}

/** Returns whether a gate ran within a span of time, without a fault of its own. */
function isUndisturbed(
  history: SoakHistory,
  gate: number,
  since: number,
  until: number,
): boolean {
  const isRestarted = history.outages.some(
    ({node, from, to}) =>
      node === `gate-${gate}` && from <= until && to >= since,
  );
  return !isRestarted && isGateCalm(history, gate, since, until);
}
