/** The moments at which most was lost: windows of arrivals, worst first. */
import {CAUSES} from './causes.js';
import {listByKey, sumByCause, sumLost, sumWorth} from './summarize-kinds.js';
import type {Cause} from './causes.js';
import type {JudgedRequest} from './judge-request.js';
import type {LossSum} from './summarize-kinds.js';

/** Length of a window, in ms. */
export const WINDOW_MS = 2000;

/** One window. */
export interface Moment {
  /** Its begin: wall clock of the gates, in ms. */
  readonly from: number;
  readonly requests: number;
  readonly worth: number;
  readonly lost: number;
  readonly byCause: Readonly<Record<Cause, LossSum>>;
  /** The cause by which most was lost. */
  readonly mainCause: Cause;
}

function buildMoment(from: number, own: readonly JudgedRequest[]): Moment {
  const byCause = sumByCause(own);
  const mainCause = CAUSES.reduce((most, cause) =>
    byCause[cause].worth > byCause[most].worth ? cause : most,
  );
  return {
    from,
    requests: own.length,
    worth: sumWorth(own),
    lost: sumLost(own),
    byCause,
    mainCause,
  };
}

/**
 * Lists the windows in which something was lost, the worst first.
 *
 * @example
 * summarizeMoments(requests)[0].mainCause;
 */
export function summarizeMoments(
  requests: readonly JudgedRequest[],
): readonly Moment[] {
  const byWindow = listByKey(requests, ({arrivedAt}) =>
    String(Math.floor(arrivedAt / WINDOW_MS) * WINDOW_MS),
  );
  return [...byWindow]
    .map(([from, own]) => buildMoment(Number(from), own))
    .filter(({lost}) => lost > 0)
    .sort((a, b) => b.lost - a.lost || a.from - b.from);
}
