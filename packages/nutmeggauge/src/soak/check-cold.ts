/** Checks on targets that are cold. */
import {MAX_COLD_REQUESTS} from './cold-starts.js';
import type {SoakHistory} from './history.js';
import type {Violation} from './violation.js';

/** Time after a fault of a link in which requests may arrive together, in ms. */
const LINK_FAULT_MS = 1000;

/**
 * Finds cold targets that got more requests in one second than they may. Those
 * whose faulty link had held requests back are excused.
 *
 * @example
 * findColdOverloads(history).length; // 0
 */
export function findColdOverloads(history: SoakHistory): readonly Violation[] {
  return history.coldPeaks
    .filter(
      ({target, at, requests}) =>
        requests > MAX_COLD_REQUESTS && !isLinkFaulty(history, target, at),
    )
    .map(({target, requests}) => ({
      promise: 'cold-target',
      requestId: undefined,
      detail: `${target}: ${requests} in 1 s, allowed ${MAX_COLD_REQUESTS}`,
    }));
}

function isLinkFaulty(
  {faults}: SoakHistory,
  target: string,
  at: number,
): boolean {
  return faults.some(
    ({action, beganAt, endedAt}) =>
      action.kind === 'target-link' &&
      target.startsWith(`t${action.target}-`) &&
      beganAt <= at &&
      endedAt >= at - LINK_FAULT_MS,
  );
}
