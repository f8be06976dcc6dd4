/** Graceful shutdown of a gate. */
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from 'node:timers/promises';
import type {Ingress} from './ingress/ingress.js';
import type {GateStop} from './stop/gate-stop.js';
import type {DecisionLog} from './observe/decision-log.js';

/**
 * Time until the load balancer sends no more requests to a stopping gate, in
 * ms; long enough for two failed readiness checks.
 */
const DRAIN_NOTICE_MS = 2900;

/** Part of the grace period in which only callers delay their answers, in ms. */
const ANSWER_RESERVE_MS = 500;

/** Part of the grace period reserved for the process exit, in ms. */
const EXIT_RESERVE_MS = 200;

/** Longest time for which the peers are told that the gate leaves, in ms. */
const LEAVE_LIMIT_MS = 100;

/**
 * Time for which the rest of refused bodies is read after the last other answer, in
 * ms: closing a connection with unread data resets it.
 */
const LINGER_MS = 500;

/** Time in which callers read the last answers, in ms. */
const LAST_ANSWERS_MS = 50;

/** Interval at which a drain checks for open requests, in ms. */
const DRAIN_POLL_MS = 50;

/** Dependencies of a drain. */
export interface DrainOptions {
  readonly ingress: Ingress;
  readonly stop: GateStop;
  /**
   * Time of the request to stop, in ms on the monotonic clock; the earliest possible
   * one if it was noticed late.
   */
  readonly signalledAt: number;
  /** Time between the request to stop and the kill of the process, in ms. */
  readonly stopGraceMs: number;
  /** Ends the closing of new connections by a gate that is behind. */
  readonly stopShedding: () => void;
  /** Tells the peers that this gate leaves. */
  readonly leavePeers: () => Promise<void>;
  readonly log: DecisionLog;
  readonly readNow: () => number;
}

/**
 * Refuses requests once the load balancer has noticed that the gate is not ready,
 * and those that can't end in time at once. Resolves when every request has an
 * answer, or the process has to exit.
 *
 * @example
 * await runDrain(options);
 */
export async function runDrain(options: DrainOptions): Promise<void> {
  const {ingress, stop, signalledAt, stopGraceMs, log, readNow} = options;
  log.recordOutcome('drain_started', {
    inFlight: ingress.inFlight,
    lateMs: Math.round(readNow() - signalledAt),
  });
  options.stopShedding();
  ingress.closeConnectionsAfterAnswers();
  const killedAt = signalledAt + stopGraceMs;
  stop.begin(killedAt - ANSWER_RESERVE_MS);
  await waitUntil(
    options,
    signalledAt + Math.min(DRAIN_NOTICE_MS, stopGraceMs / 2),
  );
  const hasNone = () => ingress.inFlight === 0;
  const endsAt = killedAt - ANSWER_RESERVE_MS;
  // Callers that keep connecting prolong the wait for what has arrived.
  await Promise.race([ingress.stopAccepting(), waitUntil(options, endsAt)]);
  const hasNoneWaiting = () => stop.countWaiting() === 0;
  await waitUntil(options, endsAt, hasNoneWaiting);
  await waitUntil(options, Math.min(endsAt, readNow() + LINGER_MS), hasNone);
  stop.endOpen();
  const exitAt = killedAt - EXIT_RESERVE_MS;
  await Promise.race([ingress.closeIdle(), waitUntil(options, exitAt)]);
  await waitUntil(options, exitAt, hasNoneWaiting);
  await waitUntil(options, Math.min(exitAt, readNow() + LINGER_MS), hasNone);
  // Requests may arrive meanwhile.
  await Promise.race([options.leavePeers(), sleep(LEAVE_LIMIT_MS)]);
  // Requests may have arrived since, or wait for the rest of their bodies.
  stop.endOpen();
  await nextTurn();
  // A connection that is closed with unread bytes loses the answer.
  if (!hasNone()) await sleep(LAST_ANSWERS_MS);
  log.recordOutcome('drain_finished', {left: stop.dropOpen()});
}

/** Waits until a time on the monotonic clock, or until `isDone` returns true. */
async function waitUntil(
  {stop, readNow}: DrainOptions,
  endsAt: number,
  isDone: () => boolean = () => false,
): Promise<void> {
  while (!isDone() && readNow() < endsAt) {
    await sleep(Math.min(DRAIN_POLL_MS, endsAt - readNow()));
    stop.advance();
  }
}
