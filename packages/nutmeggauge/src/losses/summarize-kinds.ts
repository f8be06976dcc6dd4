/** Summarizes lost worth by cause, for each route, kind and prompt size. */
import {CAUSES} from './causes.js';
import type {Cause} from './causes.js';
import type {JudgedRequest} from './judge-request.js';

/** Number of requests with one cause, and the worth that they lost. */
export interface LossSum {
  readonly requests: number;
  readonly worth: number;
}

/** Losses of the requests with one route, kind and prompt size. */
export interface KindLosses {
  readonly route: string;
  readonly kind: string;
  readonly size: string;
  readonly requests: number;
  /** Total worth of the requests with this route, kind and prompt size. */
  readonly worth: number;
  readonly lost: number;
  readonly byCause: Readonly<Record<Cause, LossSum>>;
  /**
   * Estimated worth of requests that would have arrived in gaps between gate
   * incarnations.
   */
  readonly estimatedNoGate: number;
  /**
   * Whether the route has a latency objective, so that late answers are
   * detected.
   */
  readonly hasObjective: boolean;
}

/**
 * Sums requests and their lost worth by cause.
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
 * Groups items by a key.
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
 * Summarizes the losses for each route, kind and prompt size, largest loss
 * first.
 *
 * @param gapWorth - Estimated worth of all requests that would have arrived in
 *   gaps between gate incarnations.
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
        // Assumes that missed requests have the same mix as those that arrived.
        estimatedNoGate: totalWorth > 0 ? (gapWorth * worth) / totalWorth : 0,
        hasObjective,
      };
    })
    .sort((a, b) => b.lost - a.lost || b.worth - a.worth);
}
