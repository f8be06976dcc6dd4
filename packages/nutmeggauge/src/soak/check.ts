/**
 * Checks the invariants of the soak against the history of a run. Checks with
 * a time bound are optional, because a busy machine may exceed the bound.
 */
import {findSendsToLeaving, findSendsToResting} from './check-announcements.js';
import {findUnanswered} from './check-answered.js';
import {findColdOverloads} from './check-cold.js';
import {findCrashingViolations} from './check-crashing.js';
import {
  findNotRefused,
  findSendsToEvacuated,
  findUnusedRestored,
} from './check-evacuations.js';
import {findExceededLimits, findLateRuns} from './check-limits.js';
import {TimedChecks} from './check-timed.js';
import {checkAnswer} from './check-whole.js';
import {parseRuns} from './gate-stops.js';
import type {TargetRun} from '@nutmeggauge/platform';
import type {Violation} from './violation.js';
import type {UnexpectedExit} from './gate-process.js';
import type {CallerRecord, SoakHistory} from './history.js';

/**
 * Status codes that guarantee that a request has not run and never will run.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Maximum number of attempts per request, as configured for its route. */
const MAX_ATTEMPTS = 2;

/** Limit on the resident memory of one gate, in bytes. */
const MAX_GATE_BYTES = 350 * 1024 * 1024;

/**
 * Finds every violation of an invariant in the history of a run.
 *
 * @param hasTiming - Whether to check invariants with a time bound as well.
 * @example
 * findViolations(history, true).length; // 0
 */
export function findViolations(
  history: SoakHistory,
  hasTiming: boolean,
): readonly Violation[] {
  const runs = parseRuns(history.runs);
  const answered = [...history.records, ...history.lasting];
  const found = answered.flatMap(record => {
    const runsOfRequest = runs.get(record.requestId) ?? [];
    return [
      ...checkRuns(record, runsOfRequest),
      ...checkAnswer(history, record, runsOfRequest),
    ];
  });
  for (const record of [...history.crashing, ...history.impatient])
    found.push(...checkRuns(record, runs.get(record.requestId) ?? []));
  found.push(
    ...findUnanswered(history, hasTiming),
    ...findCrashingViolations(history),
    ...findExceededLimits(history),
    ...findSendsToLeaving(history),
    ...findColdOverloads(history),
    ...findSendsToEvacuated(history),
    ...findNotRefused(history),
    ...findUnusedRestored(history),
    ...checkTargets(history),
    ...checkProcesses(history),
  );
  if (!hasTiming) return found;
  const timed = new TimedChecks(history, runs);
  return [
    ...found,
    ...findLateRuns(history),
    ...findSendsToResting(history),
    ...timed.run(),
  ];
}

function checkRuns(
  record: CallerRecord,
  runs: readonly TargetRun[],
): readonly Violation[] {
  const {requestId, kind, status} = record;
  const targets = runs.map(run => run.target).join(', ');
  const isAtMostOnce = kind === 'unsafe' || kind === 'once';
  const found: Violation[] = [];
  if (isAtMostOnce && runs.length > 1)
    found.push({promise: 'at-most-once', requestId, detail: targets});
  if (!isAtMostOnce && runs.length > MAX_ATTEMPTS)
    found.push({promise: 'attempts', requestId, detail: targets});
  if (runs.length > 0 && NOT_RUN_STATUSES.has(status ?? 0))
    found.push({
      promise: 'not-run',
      requestId,
      detail: `answered ${status}, ran at ${targets}`,
    });
  return found;
}

function checkTargets(history: SoakHistory): readonly Violation[] {
  const found: Violation[] = [];
  for (const {requestId, hasKey, account} of history.runs) {
    if (hasKey)
      found.push({promise: 'key-kept', requestId, detail: 'key forwarded'});
    if (account !== 'acme')
      found.push({promise: 'account-set', requestId, detail: `${account}`});
  }
  for (const detail of history.heldTickets)
    found.push({promise: 'memory-returned', requestId: undefined, detail});
  return found;
}

function checkProcesses(history: SoakHistory): readonly Violation[] {
  const found: Violation[] = history.exits
    .filter(exit => !isDuringNodeStart(exit))
    .map(({node, code, signal}) => ({
      promise: 'no-exit',
      requestId: undefined,
      detail: `${node} ended with code ${code}, signal ${signal}`,
    }));
  if (history.peakBytes > MAX_GATE_BYTES)
    found.push({
      promise: 'memory-bound',
      requestId: undefined,
      detail: `${history.peakBytes} bytes`,
    });
  return found;
}

/**
 * Returns true for an exit by SIGHUP while Node itself was starting: the
 * program cannot have installed a handler by then.
 */
function isDuringNodeStart(exit: UnexpectedExit): boolean {
  return exit.signal === 'SIGHUP' && !exit.hadBegun;
}
