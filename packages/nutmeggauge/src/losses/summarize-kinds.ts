/** Worth lost by cause, for each route, kind and prompt size. */
import {CAUSES} from './causes.js';
import type {Cause} from './causes.js';
import type {JudgedRequest} from './judge-request.js';

/** Requests and worth. */
export interface LossSum {
  readonly requests: number;
  readonly worth: number;
}

/** Losses of one kind of request. */
export interface KindLosses {
  readonly route: string;
  readonly kind: string;
  readonly size: string;
  readonly requests: number;
  /** Worth of them all. */
  readonly worth: number;
  readonly lost: number;
  readonly byCause: Readonly<Record<Cause, LossSum>>;
  /**
   * Estimated worth of requests that would have arrived during gaps of gates.
   */
  readonly estimatedNoGate: number;
  /** Its route has an objective, so late answers are known. */
  readonly hasObjective: boolean;
}

/**
 * Sums requests by their causes.
 *
 * @example
 * sumByCause(requests).refused.worth;
 */
export function sumByCause(
  requests: readonly JudgedRequest[],
): Record<Cause, LossSum> {
  const sums = CAUSES.map(cause => {
    const members = requests.filter(request => request.cause === cause);
    return [cause, {requests: members.length, worth: sumLost(members)}];
  });
  return Object.fromEntries(sums) as Record<Cause, LossSum>;
}

/**
 * Sums the worth that requests lost.
 *
 * @example
 * sumLost(requests);
 */
export function sumLost(requests: readonly JudgedRequest[]): number {
  return requests.reduce((sum, {lost}) => sum + lost, 0);
}

/**
 * Sums the worth of requests.
 *
 * @example
 * sumWorth(requests);
 */
export function sumWorth(requests: readonly JudgedRequest[]): number {
  return requests.reduce((sum, {worth}) => sum + worth, 0);
}

/**
 * Groups requests by a key.
 *
 * @example
 * listByKey(requests, ({route}) => route).get('chat');
 */
export function listByKey<T>(
  items: readonly T[],
  read: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const lists = new Map<string, T[]>();
  for (const item of items) {
    const list = lists.get(read(item));
    if (list === undefined) lists.set(read(item), [item]);
    else list.push(item);
  }
  return lists;
}

/**
 * Summarizes each kind of request, largest loss first.
 *
 * @param gapWorth - Estimate of what gates were not there for, of all kinds.
 * @example
 * summarizeKinds(requests, 0)[0].lost;
 */
export function summarizeKinds(
  requests: readonly JudgedRequest[],
  gapWorth: number,
): readonly KindLosses[] {
  const totalWorth = sumWorth(requests);
  const byKind = listByKey(requests, ({route, kind, size}) =>
    JSON.stringify([route, kind, size]),
  );
  return [...byKind.values()]
    .map(members => {
      const {route, kind, size, hasObjective} = members[0];
      const worth = sumWorth(members);
      return {
        route,
        kind,
        size,
        requests: members.length,
        worth,
        lost: sumLost(members),
        byCause: sumByCause(members),
        // Assumes the mix of the requests that did arrive.
        estimatedNoGate: totalWorth > 0 ? (gapWorth * worth) / totalWorth : 0,
        hasObjective,
      };
    })
    .sort((a, b) => b.lost - a.lost || b.worth - a.worth);
}
