/** Builder of suspect requests for tests. */
import {createCounters} from '../metrics.js';
import {SuspectRequests} from '../crashes/suspect-requests.js';
import type {SuspectRequestsOptions} from '../crashes/suspect-requests.js';

/** Time for which tests refuse a request, in ms. */
export const REFUSAL_MS = 600_000;

/**
 * Builds suspect requests that announce nothing unless `options` say otherwise.
 *
 * @example
 * const suspects = buildSuspects({readNow: () => clock.now});
 */
export function buildSuspects(
  options: Partial<SuspectRequestsOptions> = {},
): SuspectRequests {
  return new SuspectRequests({
    refusalMs: REFUSAL_MS,
    log: {info: () => undefined, warn: () => undefined},
    counters: createCounters(),
    readNow: () => performance.now(),
    announce: () => undefined,
    onPeerCrash: () => undefined,
    ...options,
  });
}
