/**
 * What the platform's rules say about requests around the SIGTERM of a gate. The
 * figures are the platform's, not the gate's.
 */
import {
  CONTACT_MS,
  GRACE_MS,
  LAST_WORK_MS,
  LOSS_SLACK_MS,
  PLANNED_SLACK_MS,
  STOP_NOTICE_MS,
  TAKEN_OUT_MS,
} from '@nutmeggauge/platform';
import type {TargetRun} from '@nutmeggauge/platform';
import type {CallerRecord, SoakHistory} from './history.js';

/**
 * Delay of the driver and of links on a busy machine, in ms, added where bounds
 * on time are not checked.
 */
const BUSY_SLACK_MS = 1300;

/**
 * Time before the end of the grace at which a gate that was disturbed as it stopped
 * may end, in ms: its timers began late.
 */
const DISTURBED_RESERVE_MS = 500;

/** Which runs at targets belong to which request. */
export type RunsByRequest = ReadonlyMap<string, readonly TargetRun[]>;

/**
 * Groups runs at targets by request.
 *
 * @example
 * parseRuns(history.runs).get('q1')?.length; // 1
 */
export function parseRuns(runs: readonly TargetRun[]): RunsByRequest {
  const byRequest = new Map<string, TargetRun[]>();
  for (const run of runs) {
    const list = byRequest.get(run.requestId) ?? [];
    list.push(run);
    byRequest.set(run.requestId, list);
  }
  return byRequest;
}

/**
 * Returns for how long after it was sent a request may cross the close of its
 * connection, in ms.
 */
export function estimateCrossingMs(hasTiming: boolean): number {
  return hasTiming ? LOSS_SLACK_MS : LOSS_SLACK_MS + BUSY_SLACK_MS;
}

/**
 * Lists the times at which processes of the gate got their first SIGTERM, on the
 * driver's clock, in ms.
 *
 * @example
 * listStops(history, record.gate);
 */
export function listStops(
  {stops}: SoakHistory,
  gate: number,
): readonly number[] {
  return stops
    .filter(stop => stop.node === `gate-${gate}`)
    .map(stop => stop.at)
    .sort((a, b) => a - b);
}

/**
 * Finds the stop that was planned work while the request was open; the latest one
 * if there were several.
 *
 * @example
 * findStop(history, record);
 */
export function findStop(
  history: SoakHistory,
  {gate, endedAt}: CallerRecord,
): number | undefined {
  return listStops(history, gate).findLast(
    at => at <= endedAt && endedAt <= at + GRACE_MS + PLANNED_SLACK_MS,
  );
}

/**
 * Returns whether a target was at work on the request in the last sixth of the
 * grace, and the request was sent early enough for that to excuse a cut.
 *
 * @example
 * isAtWorkAtEnd(runs.get('q1') ?? [], record, stopAt);
 */
export function isAtWorkAtEnd(
  runs: readonly TargetRun[],
  {sentAt, endedAt}: CallerRecord,
  stopAt: number,
): boolean {
  if (sentAt > stopAt + STOP_NOTICE_MS) return false;
  const since = stopAt + LAST_WORK_MS;
  return (
    endedAt >= since &&
    runs.some(
      run => run.at <= stopAt + GRACE_MS && (run.endedAt ?? Infinity) >= since,
    )
  );
}

/**
 * Returns whether the gate or its machine was disturbed, other than by the stop,
 * from the contact time before the request to its end.
 *
 * @example
 * isDisturbed(history, record);
 */
export function isDisturbed(
  {faults}: SoakHistory,
  {gate, sentAt, endedAt}: CallerRecord,
): boolean {
  return faults.some(
    ({action, beganAt, endedAt: until}) =>
      (action.kind === 'busy' ||
        action.kind === 'all-gates-kill' ||
        (action.kind !== 'gate-drain' &&
          action.kind !== 'gate-drain-twice' &&
          action.kind !== 'gate-reload' &&
          'gate' in action &&
          action.gate === gate)) &&
      beganAt <= endedAt &&
      until >= sentAt - CONTACT_MS,
  );
}

/**
 * Finds the time from which a stopping gate answers no readiness check with 200:
 * the SIGTERM, or the start of a suspension during which it came.
 */
function findUnreadyTime(
  {faults}: SoakHistory,
  gate: number,
  stopAt: number,
): number {
  const suspensions = faults.filter(
    ({action, beganAt, endedAt}) =>
      action.kind === 'gate-pause' &&
      action.gate === gate &&
      beganAt <= stopAt &&
      endedAt >= stopAt,
  );
  return Math.min(stopAt, ...suspensions.map(({beganAt}) => beganAt));
}

/**
 * Returns whether a stop excuses that a request got no answer.
 *
 * @example
 * isStopExcuse(history, record, runs.get('q1') ?? [], stopAt, true);
 */
export function isStopExcuse(
  history: SoakHistory,
  record: CallerRecord,
  runs: readonly TargetRun[],
  stopAt: number,
  hasTiming: boolean,
): boolean {
  if (isAtWorkAtEnd(runs, record, stopAt)) return true;
  const {sentAt, endedAt} = record;
  // Until the platform opens no more connections, none may be refused.
  const servedMs = hasTiming ? TAKEN_OUT_MS : 0;
  const unreadyAt = findUnreadyTime(history, record.gate, stopAt);
  const isCrossing =
    runs.length === 0 &&
    sentAt > Math.max(stopAt, unreadyAt + servedMs) &&
    endedAt - sentAt <= estimateCrossingMs(hasTiming);
  if (isCrossing) return true;
  return (
    isDisturbed(history, record) &&
    (sentAt > stopAt + servedMs ||
      endedAt > stopAt + GRACE_MS - DISTURBED_RESERVE_MS)
  );
}
