/** Builder of suspect requests for tests. */
import {Writable} from 'node:stream';
import {createCounters} from '@nutmeggauge/core';
import {SuspectRequests} from '../crashes/suspect-requests.js';
import {createDecisionLog} from '../observe/decision-log.js';
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
  const output = new Writable({write: (_chunk, _encoding, done) => done()});
  return new SuspectRequests({
    refusalMs: REFUSAL_MS,
    log: createDecisionLog({proc: 'g', output, readWallMs: Date.now}),
    counters: createCounters(),
    readNow: () => performance.now(),
    announce: () => undefined,
    onPeerCrash: () => undefined,
    ...options,
  });
}
