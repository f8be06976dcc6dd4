/** Checks on requests under which targets crash, and on the requests beside. */
import {isGateCalm} from './gate-faults.js';
import type {TargetRun} from '@nutmeggauge/platform';
import type {CallerRecord, SoakHistory} from './history.js';
import type {Violation} from './violation.js';

/** Number of crashes after which a request may hardly run any more. */
const CRASHES_TO_KNOW = 3;

/** Number of runs that are still allowed after the gates must know. */
const MAX_LATE_RUNS = 3;

/** Time after which gates in contact must know of a crash, in ms. */
const CONTACT_MS = 3000;

/** Reason that a gate gives when it refuses a request as crashing servers. */
const REFUSAL_REASON = 'crashes_servers';

/**
 * Finds requests that still run after three targets have crashed under them or a
 * part of their prompts, requests with a whole answer of a target that crashed, and
 * other requests that are refused for crashes.
 *
 * @example
 * findCrashingViolations(history).length; // 0
 */
export function findCrashingViolations(
  history: SoakHistory,
): readonly Violation[] {
  const contents = new Set(history.crashes.map(({content}) => content));
  const late = [...contents].flatMap(content => checkContent(history, content));
  const refused = history.records
    .filter(({body}) => body.includes(REFUSAL_REASON))
    .map(({requestId, kind}) => ({
      promise: 'innocent-refused' as const,
      requestId,
      detail: kind,
    }));
  const whole = history.crashing
    .filter(({status, isWhole}) => status === 200 && isWhole)
    .map(({requestId}) => ({
      promise: 'crashing-request' as const,
      requestId,
      detail: 'whole answer of a target that crashed',
    }));
  return [...late, ...refused, ...whole];
}

function checkContent(
  history: SoakHistory,
  content: string,
): readonly Violation[] {
  const crashes = history.crashes.filter(crash => crash.content === content);
  if (crashes.length < CRASHES_TO_KNOW) return [];
  const knownAt = crashes[CRASHES_TO_KNOW - 1].at;
  const records = new Map(history.crashing.map(r => [r.requestId, r]));
  const lateRuns = history.runs.filter(
    run =>
      run.content === content &&
      run.at > knownAt + CONTACT_MS &&
      isKnowing(history, run, records.get(run.requestId), knownAt),
  );
  if (lateRuns.length <= MAX_LATE_RUNS) return [];
  const detail = `${content}: ${lateRuns.length} late runs, ${crashes.length} crashes`;
  return [{promise: 'crashing-request', requestId: undefined, detail}];
}

/**
 * Returns whether the gate of a run must have known of the crashes: it had no
 * fault lately, and a gate that was there all the while could tell it.
 */
function isKnowing(
  history: SoakHistory,
  run: TargetRun,
  record: CallerRecord | undefined,
  knownAt: number,
): boolean {
  if (record === undefined) return false;
  const {outages, gateCount} = history;
  const since = run.at - CONTACT_MS;
  const isCalm = (gate: number) => isGateCalm(history, gate, since, run.at);
  const hasMemory = (gate: number) =>
    !outages.some(
      ({node, from}) =>
        node === `gate-${gate}` && from >= knownAt && from <= run.at,
    );
  const gates = Array.from({length: gateCount}, (_, gate) => gate);
  return (
    isCalm(record.gate) && gates.some(gate => isCalm(gate) && hasMemory(gate))
  );
}
