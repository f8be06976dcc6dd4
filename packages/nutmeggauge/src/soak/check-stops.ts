/**
 * Checks that a graceful stop of a gate cuts off no answer that a target makes or
 * has made.
 */
import {LONG_TIMEOUT_MS, STANDIN_TIMEOUT_MS} from '@nutmeggauge/platform';
import {findStop, isAtWorkAtEnd, isDisturbed} from './gate-stops.js';
import type {TargetRun} from '@nutmeggauge/platform';
import type {RunsByRequest} from './gate-stops.js';
import type {CallerRecord, InjectedFault, SoakHistory} from './history.js';
import type {Violation} from './violation.js';

/** Time after a fault of a target's link in which its connections may drop, in ms. */
const LINK_RECOVERY_MS = 500;

/**
 * Finds answers that a stopping gate cut off although no rule of the platform
 * excuses it.
 *
 * @example
 * findCutByStop(history, parseRuns(history.runs)).length; // 0
 */
export function findCutByStop(
  history: SoakHistory,
  runs: RunsByRequest,
): readonly Violation[] {
  return [...history.records, ...history.lasting].flatMap(record =>
    checkRecord(history, record, runs.get(record.requestId) ?? []),
  );
}

function checkRecord(
  history: SoakHistory,
  record: CallerRecord,
  runs: readonly TargetRun[],
): readonly Violation[] {
  const {requestId, status, sentAt, endedAt} = record;
  if (record.isWhole || record.hasGivenUp || runs.length === 0) return [];
  const stopAt = findStop(history, record);
  if (stopAt === undefined) return [];
  const isTimedOut = endedAt - sentAt >= findTimeoutMs(record);
  if (isTimedOut || isAtWorkAtEnd(runs, record, stopAt)) return [];
  if (isBrokenOff(history, runs, endedAt) || isDisturbed(history, record))
    return [];
  const sentMs = Math.round(sentAt - stopAt);
  const cutMs = Math.round(endedAt - stopAt);
  const detail = `status ${status}, sent ${sentMs} ms, cut ${cutMs} ms after SIGTERM`;
  return [{promise: 'graceful-stop', requestId, detail}];
}

function findTimeoutMs({kind}: CallerRecord): number {
  return kind === 'long' ? LONG_TIMEOUT_MS : STANDIN_TIMEOUT_MS;
}

/**
 * Returns whether the last target or its link broke the answer off, or the target
 * sent another one behind it, so that the gate has to break it off.
 */
function isBrokenOff(
  {faults}: SoakHistory,
  runs: readonly TargetRun[],
  cutAt: number,
): boolean {
  const last = runs[runs.length - 1];
  return (
    last.outcome === 'broken-off' ||
    last.outcome === 'answered-twice' ||
    faults.some(fault => isLinkFault(fault, last, cutAt))
  );
}

function isLinkFault(
  {action, beganAt, endedAt}: InjectedFault,
  run: TargetRun,
  cutAt: number,
): boolean {
  if (action.kind !== 'target-link' && action.kind !== 'link-reset')
    return false;
  return (
    run.target.startsWith(`t${action.target}-`) &&
    beganAt <= cutAt &&
    endedAt + LINK_RECOVERY_MS >= run.at
  );
}
