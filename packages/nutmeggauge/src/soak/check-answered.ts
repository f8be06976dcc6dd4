/**
 * Checks that every request is answered unless its gate was unable to answer.
 */
import {
  estimateCrossingMs,
  findStop,
  isStopExcuse,
  listStops,
  parseRuns,
} from './gate-stops.js';
import type {GateOutage} from './gate-process.js';
import type {RunsByRequest} from './gate-stops.js';
import type {CallerRecord, InjectedFault, SoakHistory} from './history.js';
import type {Violation} from './violation.js';

/**
 * Time after the end of a link fault in which connections may still drop, in
 * ms.
 */
const LINK_RECOVERY_MS = 500;

/**
 * Finds requests whose connection ended without an answer. A missing answer is
 * excused if the gate was down, if the platform's rules excuse it around a stop of
 * the gate, or if the link between caller and gate was faulty.
 *
 * @param hasTiming - Whether the machine is idle enough for bounds on time.
 * @example
 * findUnanswered(history, true).length; // 0
 */
export function findUnanswered(
  history: SoakHistory,
  hasTiming: boolean,
): readonly Violation[] {
  const runs = parseRuns(history.runs);
  return [...history.records, ...history.lasting]
    .filter(({status, hasGivenUp}) => status === undefined && !hasGivenUp)
    .filter(record => !isExcused(history, record, runs, hasTiming))
    .map(record => ({
      promise: 'answered',
      requestId: record.requestId,
      detail: describeCut(history, record, runs),
    }));
}

function describeCut(
  history: SoakHistory,
  record: CallerRecord,
  runs: RunsByRequest,
): string {
  const {requestId, gate, kind, sentAt, endedAt} = record;
  const cut = `gate-${gate}, ${kind}, cut after ${Math.round(endedAt - sentAt)} ms`;
  const count = runs.get(requestId)?.length ?? 0;
  const stopAt = findStop(history, record);
  if (stopAt === undefined) return `${cut}, ${count} runs`;
  const sentMs = Math.round(sentAt - stopAt);
  return `${cut}, ${count} runs, sent ${sentMs} ms after SIGTERM`;
}

function isExcused(
  history: SoakHistory,
  record: CallerRecord,
  runs: RunsByRequest,
  hasTiming: boolean,
): boolean {
  if (history.faults.some(fault => isLinkExcuse(fault, record))) return true;
  if (
    history.outages.some(outage =>
      isOutageExcuse(history, outage, record, hasTiming),
    )
  )
    return true;
  const stopAt = findStop(history, record);
  const runsOfRequest = runs.get(record.requestId) ?? [];
  return (
    stopAt !== undefined &&
    isStopExcuse(history, record, runsOfRequest, stopAt, hasTiming)
  );
}

/**
 * Returns true if an outage of the gate excuses a missing answer. A gate that
 * exits after a graceful stop must answer requests sent before the outage, and a
 * gate that is stopped while it starts those that it holds.
 */
function isOutageExcuse(
  history: SoakHistory,
  {node, isStop, from, to}: GateOutage,
  {gate, sentAt, endedAt}: CallerRecord,
  hasTiming: boolean,
): boolean {
  if (node !== `gate-${gate}` || to < sentAt) return false;
  if (!isStop) return from <= endedAt;
  if (from > sentAt) return false;
  const isStoppedAgain = listStops(history, gate).some(
    at => at >= from && at <= endedAt,
  );
  return !isStoppedAgain || endedAt - sentAt <= estimateCrossingMs(hasTiming);
}

/** Returns true if a fault of the caller's link excuses a missing answer. */
function isLinkExcuse(
  {action, beganAt, endedAt}: InjectedFault,
  record: CallerRecord,
): boolean {
  return (
    action.kind === 'caller-link' &&
    action.gate === record.gate &&
    beganAt <= record.endedAt &&
    endedAt + LINK_RECOVERY_MS >= record.sentAt
  );
}
