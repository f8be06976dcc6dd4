/** Checks that every request gets an answer while its gate can give one. */
import type {CallerRecord, PlayedFault, SoakHistory} from './history.js';
import type {Violation} from './check.js';

/** Time in which a gate that was told to stop still serves, in ms. */
const SERVED_AFTER_STOP_MS = 2000;

/** Time after which a gate that was told to stop is killed, in ms. */
const KILLED_AFTER_STOP_MS = 8000;

/** Time between the end of a process and its notice by the soak, in ms. */
const NOTICE_MS = 500;

/**
 * Finds requests whose connection ended without an answer. A caller is excused
 * from an answer by a gate that did not run or had time to stop, and by its own
 * link.
 *
 * @example
 * findUnanswered(history).length; // 0
 */
export function findUnanswered(history: SoakHistory): readonly Violation[] {
  return history.records
    .filter(({status, hasGivenUp}) => status === undefined && !hasGivenUp)
    .filter(record => !isExcused(history, record))
    .map(({requestId, gate, sentAt, endedAt}) => ({
      promise: 'answered',
      requestId,
      detail: `gate-${gate}, cut after ${Math.round(endedAt - sentAt)} ms`,
    }));
}

function isExcused(
  {faults, outages}: SoakHistory,
  record: CallerRecord,
): boolean {
  const node = `gate-${record.gate}`;
  return (
    faults.some(fault => isExcuse(fault, record)) ||
    outages.some(
      outage =>
        outage.node === node &&
        outage.from <= record.endedAt + NOTICE_MS &&
        outage.to >= record.sentAt,
    )
  );
}

function isExcuse(
  {action, beganAt, endedAt}: PlayedFault,
  record: CallerRecord,
): boolean {
  if (!('gate' in action) || action.gate !== record.gate) return false;
  if (action.kind === 'caller-link')
    return beganAt <= record.endedAt && endedAt >= record.sentAt;
  if (action.kind !== 'gate-drain') return false;
  return (
    record.sentAt > beganAt + SERVED_AFTER_STOP_MS ||
    record.endedAt > beganAt + KILLED_AFTER_STOP_MS
  );
}
