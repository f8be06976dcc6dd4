/** Checks that every request gets an answer while its gate can give one. */
import type {GateOutage} from './gate-process.js';
import type {CallerRecord, PlayedFault, SoakHistory} from './history.js';
import type {Violation} from './violation.js';

/**
 * Time in which a gate that was told to stop still serves, in ms. Unchecked on a
 * busy machine, whose callers send later than they say.
 */
const SERVED_AFTER_STOP_MS = 2500;

/** Time in which a link that is in order again drops connections, in ms. */
const LINK_SLACK_MS = 500;

/** Time after which a gate that was told to stop gives up, in ms. */
const GIVEN_UP_AFTER_STOP_MS = 7500;

/**
 * Finds requests whose connection ended without an answer. A caller is excused
 * from an answer by a gate that did not run or had time to stop, and by its own
 * link.
 *
 * @param hasTiming - Checks requests that were sent to a stopping gate as well.
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
    faults.some(fault => isExcuse(fault, record, servedMs)) ||
    outages.some(outage => isDown(outage, record))
  );
}

/** A gate that stops by itself answers what was sent before. */
function isDown(
  {node, isStop, from, to}: GateOutage,
  {gate, sentAt, endedAt}: CallerRecord,
): boolean {
  if (node !== `gate-${gate}` || to < sentAt) return false;
  return isStop ? from <= sentAt : from <= endedAt;
}

function isExcuse(
  {action, beganAt, endedAt}: PlayedFault,
  record: CallerRecord,
  servedMs: number,
): boolean {
  if (!('gate' in action) || action.gate !== record.gate) return false;
  if (action.kind === 'caller-link')
    return (
      beganAt <= record.endedAt && endedAt + LINK_SLACK_MS >= record.sentAt
    );
  if (action.kind !== 'gate-drain') return false;
  return (
    record.sentAt > beganAt + servedMs ||
    record.endedAt > beganAt + GIVEN_UP_AFTER_STOP_MS
  );
}
