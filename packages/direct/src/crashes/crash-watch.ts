/**
 * Finds out whether a server that broke off an answer has crashed. A connection
 * may also end because the answer was cut on the way or was spoilt, because the
 * server left as planned, or because its host lost power.
 */
import {isEarlyCrash, waitMs} from '@nutmeggauge/core';
import type {
  Counters,
  ServerCheck,
  ServerState,
  SuspectRequests,
} from '@nutmeggauge/core';
import type {FleetState} from '../fleet/fleet-state.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {GateRequest} from '../forward/request.js';
import type {Route, Target} from '../types.js';

/** Time for which an ended server is remembered, in ms. */
const ENDED_RETENTION_MS = 60_000;

/**
 * Longest time for which a request is held back until the state of its server is
 * known, in ms; a few round trips within a region.
 */
const VERDICT_TIMEOUT_MS = 25;

/** Maximum number of parts of a prompt in a log line. */
const MAX_LOGGED_PARTS = 16;

/** Properties of a request whose run a server broke off. */
export type BrokenRequest = Pick<
  GateRequest,
  'fingerprint' | 'facts' | 'account'
> & {readonly route: Pick<Route, 'name'>};

/** Run of a request that its server broke off. */
export interface BrokenRun {
  readonly request: BrokenRequest;
  readonly target: Target;
  /**
   * Time of the first event of this run on the monotonic clock, in ms; absent
   * if none was received.
   */
  readonly firstEventAt: number | undefined;
  /** Time at which the request was sent, in ms. */
  readonly sentAt: number;
}

/** What became of a server: its state, or that it left as planned. */
export type BreakCause = ServerState | 'left';

/** Dependencies of a crash watch. */
export interface CrashWatchOptions {
  readonly state: FleetState;
  readonly serverCheck: ServerCheck;
  readonly suspects: SuspectRequests;
  readonly log: DecisionLog;
  readonly counters: Counters;
  readonly readNow: () => number;
  /** Called once for each server that has ended. */
  readonly onEnd: (target: string) => void;
  /** Tells the other gates that a server has ended. */
  readonly announceEnd: (target: string) => void;
}

/**
 * Watches the servers of broken runs.
 *
 * @example
 * const cause = await watch.judgeBreak(run); // 'ended'
 */
export class CrashWatch {
  private readonly checks = new Map<string, Promise<ServerState>>();
  /** Times at which servers were found to have ended, by incarnation id. */
  private readonly endedAt = new Map<string, number>();

  constructor(private readonly options: CrashWatchOptions) {}

  /**
   * Judges a run that a server broke off, before the request is sent again.
   * Resolves without a verdict if the run had long begun, which is no reason to
   * hold the request back, or if the server does not answer soon.
   */
  async waitForVerdict(run: BrokenRun): Promise<void> {
    const isEarly = isEarlyCrash(run.firstEventAt, this.options.readNow());
    const judged = this.judgeBreak(run);
    if (isEarly) await Promise.race([judged, waitMs(VERDICT_TIMEOUT_MS)]);
  }

  /**
   * Judges why a server broke off a run, and records a crash. Only `ended` is a
   * crash: the host still answers, and nothing listens on the port any more.
   */
  async judgeBreak(run: BrokenRun): Promise<BreakCause> {
    const brokenAt = this.options.readNow();
    const cause = await this.findCause(run.target);
    this.recordBreak(run, cause, brokenAt);
    if (cause === 'ended') this.recordCrash(run, brokenAt);
    return cause;
  }

  /**
   * Returns whether a server that closed its connection at the end of an answer
   * without a length has crashed there.
   */
  async isCrashEnd(target: Target): Promise<boolean> {
    const cause = await this.findCause(target);
    this.options.counters.add(`crash.unframed_${cause}`);
    return cause === 'ended';
  }

  private async findCause(target: Target): Promise<BreakCause> {
    if (this.endedAt.has(target.id)) return 'ended';
    const known = this.options.state.findIncarnation(target.id);
    if (known === undefined || known.isDraining) return 'left';
    const state = await this.checkOnce(target);
    if (state === 'ended') this.markEnded(target.id, 'own');
    return state;
  }

  /** Checks a server once for all runs that it broke off together. */
  private checkOnce(target: Target): Promise<ServerState> {
    const running = this.checks.get(target.id);
    if (running !== undefined) return running;
    const check = this.options.serverCheck
      .check(target)
      .finally(() => this.checks.delete(target.id));
    this.checks.set(target.id, check);
    return check;
  }

  /** Lists when servers were found to have ended, by incarnation id. */
  listEnded(): ReadonlyMap<string, number> {
    return this.endedAt;
  }

  /** Records that a server refused a connection of this gate. */
  recordRefusal({id}: Target): void {
    if (this.options.state.findIncarnation(id) !== undefined)
      this.markEnded(id, 'own');
  }

  /**
   * Checks a server that has ended according to a peer, which may just have lost
   * its own path to the server.
   */
  async confirmEnd(id: string): Promise<void> {
    const target = this.options.state.findIncarnation(id);
    if (target === undefined || this.endedAt.has(id)) return;
    const state = await this.checkOnce(target);
    if (state === 'ended') this.markEnded(id, 'peer');
  }

  private markEnded(target: string, source: 'own' | 'peer'): void {
    if (this.endedAt.has(target)) return;
    const now = this.options.readNow();
    for (const [id, endedAt] of this.endedAt)
      if (now - endedAt > ENDED_RETENTION_MS) this.endedAt.delete(id);
    this.endedAt.set(target, now);
    this.options.log.info('server_ended', {target, source});
    this.options.onEnd(target);
    if (source === 'own') this.options.announceEnd(target);
  }

  private recordCrash(run: BrokenRun, brokenAt: number): void {
    const {request, target, firstEventAt, sentAt} = run;
    this.options.suspects.recordCrash({
      fingerprint: request.fingerprint,
      target: target.id,
      sentAt,
      beganAt: firstEventAt,
      brokenAt,
    });
  }

  private recordBreak(
    run: BrokenRun,
    cause: BreakCause,
    brokenAt: number,
  ): void {
    const {log, counters} = this.options;
    const {firstEventAt, request} = run;
    const {facts} = request;
    counters.add(`crash.server_${cause}`);
    if (cause === 'ended' && firstEventAt === undefined)
      counters.add('crash.run_without_event');
    log.warn('run_broken_off', {
      requestId: facts.requestId,
      content: request.fingerprint.id,
      account: request.account,
      route: request.route.name,
      tokens: facts.promptTokens,
      parts: facts.sharedParts.slice(0, MAX_LOGGED_PARTS),
      target: run.target.id,
      server: cause,
      sinceFirstEventMs:
        firstEventAt === undefined
          ? undefined
          : Math.round(brokenAt - firstEventAt),
    });
  }
}
