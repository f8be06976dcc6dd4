/** Builds histories for tests of the soak's checks. */
import type {SoakHistory} from './history.js';

/** Builds a history in which nothing happened, with some changes. */
export function buildHistory(changes: Partial<SoakHistory>): SoakHistory {
  return {
    gateCount: 3,
    startedAt: 0,
    endedAt: 10_500,
    records: [],
    crashing: [],
    impatient: [],
    lasting: [],
    limits: new Map(),
    crashes: [],
    runs: [],
    refusals: [],
    reservations: [],
    coldPeaks: [],
    evacuations: [],
    faults: [],
    published: [],
    exits: [],
    stops: [],
    outages: [],
    heldTickets: [],
    peakBytes: 0,
    ...changes,
  };
}
