/** Graceful shutdown of a gate. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Ingress} from './ingress/ingress.js';
import type {GateStop} from './stop/gate-stop.js';
import type {DecisionLog} from './observe/decision-log.js';

/**
 * Time until the load balancer sends no more requests to a stopping gate, in
 * ms; long enough for two failed readiness checks.
 */
const DRAIN_NOTICE_MS = 2900;

/** Part of the stop grace period reserved for the process exit, in ms. */
const DRAIN_EXIT_RESERVE_MS = 500;

/** Interval at which a drain checks for open requests, in ms. */
const DRAIN_POLL_MS = 50;

/** Dependencies of a drain. */
export interface DrainOptions {
  readonly ingress: Ingress;
  readonly stop: GateStop;
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
 * and resolves when the open ones have ended.
 *
 * @example
 * await runDrain(options);
 */
export async function runDrain(options: DrainOptions): Promise<void> {
  const {ingress, stop, stopGraceMs, log, readNow} = options;
  log.info('drain_started', {inFlight: ingress.inFlight});
  options.stopShedding();
  ingress.closeConnectionsAfterAnswers();
  const giveUpAt = readNow() + stopGraceMs - DRAIN_EXIT_RESERVE_MS;
  stop.begin(giveUpAt);
  await sleep(Math.min(DRAIN_NOTICE_MS, stopGraceMs / 2));
  await ingress.stopAccepting();
  await waitForOpenRequests(options, giveUpAt);
  await ingress.closeIdle();
  // Waits for the requests that were read before idle connections were closed.
  await waitForOpenRequests(options, giveUpAt);
  stop.recordCut();
  log.info('drain_finished', {left: ingress.inFlight});
  await options.leavePeers();
}

async function waitForOpenRequests(
  {ingress, readNow}: DrainOptions,
  giveUpAt: number,
): Promise<void> {
  while (ingress.inFlight > 0 && readNow() < giveUpAt)
    await sleep(DRAIN_POLL_MS);
}
