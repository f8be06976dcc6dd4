/** Checks on evacuated zones. */
import {SOAK_ZONES, findTargetZone} from './soak-zones.js';
import type {TargetRun} from '@nutmeggauge/platform';
import type {CallerRecord, InjectedFault, SoakHistory} from './history.js';
import type {EvacuationSpan} from './soak-zones.js';
import type {Violation} from './violation.js';

/**
 * Time after an entry is written from which no request may reach the zone, in ms:
 * the default of `evacuateMs`.
 */
const EVACUATION_MS = 5000;

/** Time after a fault of the store in which gates may not have read it, in ms. */
const STORE_CONTACT_MS = 3000;

/** Time after a zone is taken back in which gates learn of it, in ms. */
const RESTORED_MS = 2000;

/** Number of served calls of a gate of which one must have run in each zone. */
const MIN_SERVED_CALLS = 20;

/** What the ticket of a reservation has behind the id of its request. */
const ATTEMPT_SUFFIX = /-\d+-\d+$/;

/** Arrival of a request, or of a reservation for it, at a target. */
type Arrival = Pick<TargetRun, 'requestId' | 'target' | 'at'>;

/** Status with which a gate refuses a request that no target may take. */
const REFUSED_STATUS = 503;

/** Status for a request with a revoked key. */
const REVOKED_KEY_STATUS = 401;

/**
 * Finds requests and new reservations that reached an evacuated zone later than
 * gates may send them.
 *
 * @example
 * findSendsToEvacuated(history).length; // 0
 */
export function findSendsToEvacuated(
  history: SoakHistory,
): readonly Violation[] {
  const records = buildRecordIndex(history);
  return history.evacuations.flatMap(({zone, from, to}) => {
    const late = listArrivals(history).filter(run => {
      if (run.at <= from + EVACUATION_MS || run.at >= to) return false;
      if (findTargetZone(run.target) !== zone) return false;
      const gate = records.get(run.requestId)?.gate;
      if (gate === undefined || isDelayed(history, run.target, run.at))
        return false;
      return isInformed(history, gate, run.at);
    });
    if (late.length === 0) return [];
    const [{requestId, target, at}] = late;
    const detail = `${zone}: ${late.length}, first at ${target} after ${Math.round(at - from)} ms`;
    return [{promise: 'zone-evacuated' as const, requestId, detail}];
  });
}

/**
 * Finds requests that were not refused with 503 although all zones were evacuated.
 *
 * @example
 * findNotRefused(history).length; // 0
 */
export function findNotRefused(history: SoakHistory): readonly Violation[] {
  const spans = listWholeEvacuations(history);
  return history.records
    .filter(({sentAt, endedAt, status, gate, hasGivenUp}) => {
      // A missing answer is judged by another check.
      if (status === undefined || hasGivenUp) return false;
      if (status === REFUSED_STATUS || status === REVOKED_KEY_STATUS)
        return false;
      const isWithin = spans.some(
        ({from, to}) => sentAt > from + EVACUATION_MS && endedAt < to,
      );
      return isWithin && isInformed(history, gate, sentAt);
    })
    .map(({requestId, status}) => ({
      promise: 'all-zones-evacuated',
      requestId,
      detail: `answered ${status}`,
    }));
}

/**
 * Finds gates that send no calls to a zone after it was taken back.
 *
 * @example
 * findUnusedRestored(history).length; // 0
 */
export function findUnusedRestored(history: SoakHistory): readonly Violation[] {
  const records = buildRecordIndex(history);
  return SOAK_ZONES.flatMap(zone => {
    const ends = history.evacuations.flatMap(span =>
      span.zone === zone ? [span.to] : [],
    );
    if (ends.length === 0) return [];
    const restoredAt = Math.max(...ends);
    const gates = Array.from({length: history.gateCount}, (_, gate) => gate);
    return gates
      .filter(gate => {
        const isUsed = history.runs.some(
          ({requestId, target, at}) =>
            at > restoredAt &&
            findTargetZone(target) === zone &&
            records.get(requestId)?.gate === gate,
        );
        const served = history.records.filter(
          record =>
            isServedCall(record, gate) &&
            record.sentAt > restoredAt + RESTORED_MS,
        );
        return !isUsed && served.length >= MIN_SERVED_CALLS;
      })
      .map(gate => ({
        promise: 'zone-restored' as const,
        requestId: undefined,
        detail: `${zone}: unused by gate ${gate}`,
      }));
  });
}

function buildRecordIndex(
  history: SoakHistory,
): ReadonlyMap<string, CallerRecord> {
  const {records, crashing, impatient} = history;
  return new Map(
    [...records, ...crashing, ...impatient].map(record => [
      record.requestId,
      record,
    ]),
  );
}

/** Lists the requests that reached targets, and new reservations for them. */
function listArrivals(history: SoakHistory): readonly Arrival[] {
  const reserved = history.reservations.map(({target, ticket, at}) => ({
    requestId: ticket.replace(ATTEMPT_SUFFIX, ''),
    target,
    at,
  }));
  return [...history.runs, ...history.refusals, ...reserved];
}

function isServedCall(record: CallerRecord, gate: number): boolean {
  const isCall = record.kind === 'safe' || record.kind === 'unsafe';
  return isCall && record.gate === gate && record.status === 200;
}

/** Lists the periods in which all zones were evacuated. */
function listWholeEvacuations({
  evacuations,
}: SoakHistory): ReadonlyArray<Pick<EvacuationSpan, 'from' | 'to'>> {
  return SOAK_ZONES.reduce<ReadonlyArray<Pick<EvacuationSpan, 'from' | 'to'>>>(
    (whole, zone) =>
      whole.flatMap(one =>
        evacuations
          .filter(span => span.zone === zone)
          .map(span => ({
            from: Math.max(one.from, span.from),
            to: Math.min(one.to, span.to),
          }))
          .filter(({from, to}) => from < to),
      ),
    [{from: -Infinity, to: Infinity}],
  );
}

/** Returns whether a faulty link may have delayed a request to a target. */
function isDelayed(history: SoakHistory, target: string, at: number): boolean {
  return listFaults(history, at - EVACUATION_MS, at).some(
    ({action}) =>
      action.kind === 'target-link' && target.startsWith(`t${action.target}-`),
  );
}

/**
 * Returns whether a gate ran for as long as an evacuation may take to be in effect,
 * and could read the store or hear a gate that could.
 */
function isInformed(history: SoakHistory, gate: number, at: number): boolean {
  const isStoreFaulty = listFaults(history, at - STORE_CONTACT_MS, at).some(
    ({action: {kind}}) => kind === 'store' || kind === 'store-restore',
  );
  const since = at - EVACUATION_MS;
  if (isStoreFaulty || !isRunning(history, gate, since, at)) return false;
  return Array.from({length: history.gateCount}, (_, i) => i).some(
    other =>
      isRunning(history, other, since, at) &&
      !listFaults(history, since, at).some(
        ({action}) => action.kind === 'store-link' && action.gate === other,
      ),
  );
}

/** Returns whether a gate was neither suspended nor stopped within a span of time. */
function isRunning(
  history: SoakHistory,
  gate: number,
  since: number,
  until: number,
): boolean {
  const isStopped = listFaults(history, since, until).some(({action}) => {
    if (action.kind === 'all-gates-kill') return true;
    const isStop =
      action.kind === 'gate-kill' ||
      action.kind === 'gate-drain' ||
      action.kind === 'gate-drain-twice' ||
      action.kind === 'gate-pause';
    return isStop && action.gate === gate;
  });
  const isDown = history.outages.some(
    ({node, from, to}) =>
      node === `gate-${gate}` && from <= until && to >= since,
  );
  return !isStopped && !isDown;
}

function listFaults(
  {faults}: SoakHistory,
  since: number,
  until: number,
): readonly InjectedFault[] {
  return faults.filter(
    ({beganAt, endedAt}) => beganAt <= until && endedAt >= since,
  );
}
