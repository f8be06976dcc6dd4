/** Summarizes losses by the time window in which requests arrived. */
import {CAUSES} from './causes.js';
import {listByKey, sumByCause, sumLost, sumWorth} from './summarize-kinds.js';
import type {Cause} from './causes.js';
import type {JudgedRequest} from './judge-request.js';
import type {LossSum} from './summarize-kinds.js';

/** Length of a time window, in ms. */
export const WINDOW_MS = 2000;

/** Losses of the requests that arrived in one time window. */
export interface LossWindow {
  /** Start of the window as wall-clock time of the gates, in ms. */
  readonly from: number;
  readonly requests: number;
  readonly worth: number;
  readonly lost: number;
  readonly byCause: Readonly<Record<Cause, LossSum>>;
  /** Cause with the largest lost worth. */
  readonly mainCause: Cause;
}

function buildWindow(
  from: number,
  members: readonly JudgedRequest[],
): LossWindow {
  const byCause = sumByCause(members);
  const mainCause = CAUSES.reduce((most, cause) =>
    byCause[cause].worth > byCause[most].worth ? cause : most,
  );
  return {
    from,
    requests: members.length,
    worth: sumWorth(members),
    lost: sumLost(members),
    byCause,
    mainCause,
  };
}

/**
 * Lists the time windows with a loss, largest loss first.
 *
 * @example
 * summarizeWindows(requests)[0].mainCause;
 */
export function summarizeWindows(
  requests: readonly JudgedRequest[],
): readonly LossWindow[] {
  const byWindow = listByKey(requests, ({arrivedAt}) =>
    String(Math.floor(arrivedAt / WINDOW_MS) * WINDOW_MS),
  );
  return [...byWindow]
    .map(([from, members]) => buildWindow(Number(from), members))
    .filter(({lost}) => lost > 0)
    .sort((a, b) => b.lost - a.lost || a.from - b.from);
}
