/**
 * Checks that every request is answered unless its gate was unable to answer.
 */
import type {GateOutage} from './gate-process.js';
import type {CallerRecord, InjectedFault, SoakHistory} from './history.js';
import type {Violation} from './violation.js';

/**
 * Time for which a gate still serves requests after SIGTERM, in ms. Not checked
 * on a busy machine, where requests leave later than their `sentAt`.
 */
const SERVED_AFTER_STOP_MS = 2500;

/**
 * Time after the end of a link fault in which connections may still drop, in
 * ms.
 */
const LINK_RECOVERY_MS = 500;

/** Time from SIGTERM until a gate aborts open requests, in ms. */
const ABORTED_AFTER_STOP_MS = 7500;

/**
 * Finds requests whose connection ended without an answer. A missing answer is
 * excused if the gate was down, if the gate had received SIGTERM early enough,
 * or if the link between caller and gate was faulty.
 *
 * @param hasTiming - Whether to check requests to a stopping gate as well.
 * @example
 * findUnanswered(history, true).length; // 0
 */
export function findUnanswered(
  history: SoakHistory,
  hasTiming: boolean,
): readonly Violation[] {
  const servedMs = hasTiming ? SERVED_AFTER_STOP_MS : 0;
  return history.records
    .filter(({status, hasGivenUp}) => status === undefined && !hasGivenUp)
    .filter(record => !isExcused(history, record, servedMs))
    .map(({requestId, gate, sentAt, endedAt}) => ({
      promise: 'answered',
      requestId,
      detail: `gate-${gate}, cut after ${Math.round(endedAt - sentAt)} ms`,
    }));
}

function isExcused(
  {faults, outages}: SoakHistory,
  record: CallerRecord,
  servedMs: number,
): boolean {
  return (
    faults.some(fault => isFaultExcuse(fault, record, servedMs)) ||
    outages.some(outage => isOutageExcuse(outage, record))
  );
}

/**
 * Returns true if an outage of the gate excuses a missing answer. A gate that
 * exits after a graceful stop must answer requests sent before the outage.
 */
function isOutageExcuse(
  {node, isStop, from, to}: GateOutage,
  {gate, sentAt, endedAt}: CallerRecord,
): boolean {
  if (node !== `gate-${gate}` || to < sentAt) return false;
  return isStop ? from <= sentAt : from <= endedAt;
}

/**
 * Returns true if a fault of the caller's link or a gate stop excuses a missing
 * answer.
 */
function isFaultExcuse(
  {action, beganAt, endedAt}: InjectedFault,
  record: CallerRecord,
  servedMs: number,
): boolean {
  if (!('gate' in action) || action.gate !== record.gate) return false;
  if (action.kind === 'caller-link')
    return (
      beganAt <= record.endedAt && endedAt + LINK_RECOVERY_MS >= record.sentAt
    );
  if (action.kind !== 'gate-drain') return false;
  return (
    record.sentAt > beganAt + servedMs ||
    record.endedAt > beganAt + ABORTED_AFTER_STOP_MS
  );
}
