/** Builder of suspect requests for tests. */
import {SuspectRequests, createCounters} from '@nutmeggauge/core';

/** Builds suspect requests that announce nothing. */
export function buildSuspects(): SuspectRequests {
  return new SuspectRequests({
    refusalMs: 600_000,
    log: {info: () => undefined, warn: () => undefined},
    counters: createCounters(),
    readNow: () => performance.now(),
    announce: () => undefined,
    onPeerCrash: () => undefined,
  });
}
