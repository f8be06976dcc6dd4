/**
 * Checks the invariants against the history of a run, as callers and targets
 * saw it. Invariants with a time bound are optional, as a busy machine may
 * break them.
 */
import {
  STANDIN_TIMEOUT_MS,
  STREAM_EVENTS,
  buildCallBody,
  buildEvent,
} from '@nutmeggauge/platform';
import {findUnanswered} from './check-answered.js';
import type {TargetRun} from '@nutmeggauge/platform';
import type {Violation} from './violation.js';
import type {UnexpectedExit} from './gate-process.js';
import type {CallerRecord, PlayedFault, SoakHistory} from './history.js';
import type {FaultAction} from './schedule.js';

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Most targets of one request, as configured for its route. */
const MAX_ATTEMPTS = 2;

/** Memory limit of one gate, in bytes. */
const MAX_BYTES = 350 * 1024 * 1024;

/** Time after which a gate counts as in contact again, in ms. */
const CONTACT_MS = 3000;

/** Time until a drain or a revoked key must be known, in ms. */
const KNOWN_MS = 2000;

/** Slack on every time bound, in ms. */
const SLACK_MS = 500;

/** Share of the requests at the end that must be served. */
const RECOVERED_SHARE = 0.9;

/** Time before the end in which requests count for recovery, in ms. */
const RECOVERY_WINDOW_MS = 1500;

/**
 * Finds every broken invariant.
 *
 * @param hasTiming - Checks promises with a bound on time as well.
 * @example
 * findViolations(history, true).length; // 0
 */
export function findViolations(
  history: SoakHistory,
  hasTiming: boolean,
): readonly Violation[] {
  const runs = new Map<string, TargetRun[]>();
  for (const run of history.runs) {
    const list = runs.get(run.requestId) ?? [];
    list.push(run);
    runs.set(run.requestId, list);
  }
  const found = history.records.flatMap(record => [
    ...checkRuns(record, runs.get(record.requestId) ?? []),
    ...checkAnswer(record),
  ]);
  found.push(
    ...findUnanswered(history, hasTiming),
    ...checkTargets(history),
    ...checkProcesses(history),
  );
  if (!hasTiming) return found;
  const timed = new TimedChecks(history, runs);
  return [...found, ...timed.run()];
}

function checkRuns(
  record: CallerRecord,
  runs: readonly TargetRun[],
): readonly Violation[] {
  const {requestId, kind, status} = record;
  const targets = runs.map(run => run.target).join(', ');
  const isOnce = kind === 'unsafe' || kind === 'once';
  const found: Violation[] = [];
  if (isOnce && runs.length > 1)
    found.push({promise: 'at-most-once', requestId, detail: targets});
  if (!isOnce && runs.length > MAX_ATTEMPTS)
    found.push({promise: 'attempts', requestId, detail: targets});
  if (runs.length > 0 && NOT_RUN_STATUSES.has(status ?? 0))
    found.push({
      promise: 'not-run',
      requestId,
      detail: `answered ${status}, ran at ${targets}`,
    });
  return found;
}

/** A success is signed and contains what a target made for this request. */
function checkAnswer(record: CallerRecord): readonly Violation[] {
  const {requestId, kind, status, body, isWhole, hasGivenUp} = record;
  if (status !== 200) return [];
  const whole =
    kind === 'safe' || kind === 'unsafe'
      ? buildCallBody(requestId)
      : buildStreamBody(requestId);
  const isRight = isWhole ? body === whole : whole.startsWith(body);
  // A caller that disconnected has a part of the answer.
  if ((isRight || hasGivenUp) && record.isSigned) return [];
  return [
    {
      promise: 'whole-answer',
      requestId,
      detail: `${isWhole ? 'whole' : 'cut'}, ${body.length} of ${whole.length} bytes`,
    },
  ];
}

function buildStreamBody(requestId: string): string {
  let text = '';
  for (let number = 1; number <= STREAM_EVENTS; number++)
    text += buildEvent(requestId, number);
  return text;
}

function checkTargets(history: SoakHistory): readonly Violation[] {
  const found: Violation[] = [];
  for (const {requestId, hasKey, account} of history.runs) {
    if (hasKey)
      found.push({promise: 'key-kept', requestId, detail: 'key passed on'});
    if (account !== 'acme')
      found.push({promise: 'account-set', requestId, detail: `${account}`});
  }
  for (const detail of history.heldTickets)
    found.push({promise: 'memory-returned', requestId: undefined, detail});
  return found;
}

function checkProcesses(history: SoakHistory): readonly Violation[] {
  const found: Violation[] = history.exits
    .filter(exit => !isBeforeProgram(exit))
    .map(({node, code, signal}) => ({
      promise: 'no-exit',
      requestId: undefined,
      detail: `${node} ended with ${code ?? signal}`,
    }));
  if (history.peakBytes > MAX_BYTES)
    found.push({
      promise: 'memory-bound',
      requestId: undefined,
      detail: `${history.peakBytes} bytes`,
    });
  return found;
}

/**
 * A SIGHUP during Node's own start ends the process before the program can
 * handle it.
 */
function isBeforeProgram(exit: UnexpectedExit): boolean {
  return exit.signal === 'SIGHUP' && !exit.hadBegun;
}

/** Invariants with a time bound, for gates in contact. */
class TimedChecks {
  constructor(
    private readonly history: SoakHistory,
    private readonly runs: ReadonlyMap<string, readonly TargetRun[]>,
  ) {}

  run(): readonly Violation[] {
    return [
      ...this.history.records.flatMap(record => [
        ...this.checkInTime(record),
        ...this.checkRevoked(record),
        ...this.checkGraceful(record),
        ...this.checkDrain(record),
      ]),
      ...this.checkRecovery(),
    ];
  }

  private checkInTime(record: CallerRecord): readonly Violation[] {
    const {requestId, gate, sentAt, endedAt} = record;
    const limitMs = STANDIN_TIMEOUT_MS + SLACK_MS;
    if (endedAt - sentAt <= limitMs) return [];
    if (this.isHarmed(sentAt, endedAt, action => isAtGate(action, gate)))
      return [];
    const detail = `${Math.round(endedAt - sentAt)} ms`;
    return [{promise: 'answered-in-time', requestId, detail}];
  }

  private checkRevoked(record: CallerRecord): readonly Violation[] {
    const {requestId, gate, key, sentAt, status} = record;
    const revoked = this.history.published.find(
      fact => fact.kind === 'key-revoked' && fact.id === key,
    );
    if (revoked === undefined || sentAt < revoked.at + KNOWN_MS) return [];
    const isLate = (this.runs.get(requestId)?.length ?? 0) > 0;
    if (!isLate || !this.isInTouch(gate, sentAt)) return [];
    return [{promise: 'revoked-key', requestId, detail: `status ${status}`}];
  }

  private checkDrain(record: CallerRecord): readonly Violation[] {
    const {requestId, gate} = record;
    for (const run of this.runs.get(requestId) ?? []) {
      const left = this.history.published.find(
        fact => fact.kind === 'target-draining' && fact.id === run.target,
      );
      if (left === undefined || run.at < left.at + KNOWN_MS) continue;
      if (!this.isInTouch(gate, run.at)) continue;
      const lateMs = Math.round(run.at - left.at);
      return [{promise: 'drain', requestId, detail: `${lateMs} ms after`}];
    }
    return [];
  }

  /** A graceful stop cuts off nothing that a healthy target runs. */
  private checkGraceful(record: CallerRecord): readonly Violation[] {
    const {requestId, gate, sentAt, endedAt, status, isWhole} = record;
    const runs = this.runs.get(requestId) ?? [];
    if (isWhole || runs.length === 0 || record.hasGivenUp) return [];
    const isPlanned = (action: FaultAction) =>
      action.kind === 'gate-drain' ||
      action.kind === 'config-change' ||
      action.kind === 'key-revoke' ||
      action.kind === 'gate-reload' ||
      action.kind === 'target-leave';
    const isExcused = (action: FaultAction) =>
      !isPlanned(action) && isAtGateOrTargets(action, gate);
    if (this.isHarmed(sentAt, endedAt, isExcused)) return [];
    const isDraining = this.isHarmed(
      sentAt,
      endedAt,
      action => action.kind === 'gate-drain' && action.gate === gate,
    );
    if (!isDraining) return [];
    return [{promise: 'graceful-stop', requestId, detail: `${status}, cut`}];
  }

  private checkRecovery(): readonly Violation[] {
    const {records, endedAt, published} = this.history;
    const last = records.filter(
      ({sentAt, key}) =>
        sentAt > endedAt - RECOVERY_WINDOW_MS &&
        !published.some(({id}) => id === key),
    );
    const served = last.filter(record => record.status === 200);
    if (served.length >= last.length * RECOVERED_SHARE) return [];
    const detail = `${served.length} of ${last.length} served`;
    return [{promise: 'recovery', requestId: undefined, detail}];
  }

  /** True if the gate, its store and its links had no fault. */
  private isInTouch(gate: number, at: number): boolean {
    return !this.isHarmed(
      at,
      at,
      action =>
        isAtGate(action, gate) ||
        action.kind === 'store' ||
        action.kind === 'store-history' ||
        action.kind === 'store-restore',
    );
  }

  private isHarmed(
    from: number,
    to: number,
    isMeant: (action: FaultAction) => boolean,
  ): boolean {
    const touches = (fault: PlayedFault) =>
      fault.beganAt <= to && fault.endedAt + CONTACT_MS >= from;
    return this.history.faults.some(
      fault => isMeant(fault.action) && touches(fault),
    );
  }
}

/** Faults of one gate or of its own link. */
function isAtGate(action: FaultAction, gate: number): boolean {
  if (action.kind === 'all-gates-kill') return true;
  if (action.kind === 'gate-reload') return false;
  return 'gate' in action && action.gate === gate;
}

function isAtGateOrTargets(action: FaultAction, gate: number): boolean {
  return isAtGate(action, gate) || 'target' in action;
}
