/**
 * Sends one admitted request to targets and decides retries. The rules:
 * - `not-run` from an agent, or a link that was down before sending: the
 *   request provably did not run, so it may go to another target, except a
 *   keyed one, which only its home agent may run;

 * - `unknown` (it may have run): a not-repeatable request is never resent,
 *   and the caller hears "outcome unknown"; a repeatable one is resent
 *   while time remains, and reassembly drops the pieces already delivered.
 */
import {createLogger} from '@nutmeggauge/core';
import {isLinkLost, isNotSent} from '../membership/agent-connection.js';
import {chooseByRendezvous} from '../routing/router.js';
import type {AgentConnection} from '../membership/agent-connection.js';
import type {Membership} from '../membership/membership.js';
import type {RouteRequest, Router} from '../routing/router.js';
import type {ChunkStream} from '../streaming/reassembly.js';
import type {
  Counters,
  DispatchOutcome,
  DispatchRequest,
} from '@nutmeggauge/core';

/**
 * Time past a request's deadline that the gate waits for the agent's own
 * answer to the cancel, in ms. After it the gate answers the caller itself:
 * a frozen agent must not hold a caller past its window.
 */
export const DEADLINE_GRACE_MS = 250;

/** Final result of a dispatch, as the API answers it. */
export type DispatchResult =
  | {
      readonly status: 'done';
      readonly outcome: Extract<DispatchOutcome, {status: 'done'}>;
      readonly target: string;
    }
  | {
      readonly status: 'not-run';
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  | {readonly status: 'unknown'; readonly reason: string}
  | {readonly status: 'deadline'; readonly ran: boolean};

/** A request ready to dispatch, with its routing facts. */
export interface DispatchJob {
  readonly request: Omit<DispatchRequest, 'attempt'>;
  readonly route: RouteRequest;
  readonly chunks: ChunkStream;
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal;
}

/** Dependencies of a dispatcher. */
export interface DispatcherOptions {
  readonly membership: Membership;
  readonly router: Router;
  readonly counters: Counters;
  readonly maxAttempts: number;
}

/**
 * Runs the retry loop of one request across targets.
 *
 * @example
 * const result = await createDispatcher(options).run(job);
 */
export class Dispatcher {
  private readonly log = createLogger('dispatch');

  constructor(private readonly options: DispatcherOptions) {}

  /** Dispatches `job`; never throws. */
  async run(job: DispatchJob): Promise<DispatchResult> {
    const tried = new Set<string>();
    let lastNotRun: DispatchResult = {
      status: 'not-run',
      reason: 'no_target',
      retryAfterMs: 1000,
    };
    let mayHaveRun = false;
    for (let attempt = 1; attempt <= this.options.maxAttempts; attempt++) {
      if (Date.now() >= job.request.deadlineAt)
        return {status: 'deadline', ran: mayHaveRun};
      const target = this.pickTarget(job, tried);
      if (target === undefined)
        return mayHaveRun
          ? {status: 'unknown', reason: 'no_target_left'}
          : lastNotRun;
      tried.add(target.id);
      const outcome = await this.tryOnce(target, job, attempt);
      if (outcome.status === 'done')
        return {status: 'done', outcome, target: target.id};
      if (job.signal.aborted) return {status: 'unknown', reason: 'caller_gone'};
      if (outcome.status === 'not-run') {
        this.options.counters.add('dispatch.retry_not_run');
        lastNotRun = {
          status: 'not-run',
          reason: outcome.reason,
          retryAfterMs: outcome.retryAfterMs ?? 1000,
        };
        // A keyed request runs only at its home agent, whose ledger its
        // copies meet. Moving it to another agent after a not-run let the
        // caller's retry, back at a healthy home, run it a second time
        // (spec/at-most-once.pml with KEYED_RETRY shows the double run).
        if (job.route.affinityKey !== undefined) return lastNotRun;
        continue;
      }

      mayHaveRun = true;
      // At most once: a not-repeatable request that may have started is never
      // sent again anywhere; the caller is told the outcome is unknown.
      if (job.request.notRepeatable)
        return {status: 'unknown', reason: outcome.reason};
      this.options.counters.add('dispatch.retry_unknown');
    }
    if (Date.now() >= job.request.deadlineAt)
      return {status: 'deadline', ran: mayHaveRun};
    return mayHaveRun
      ? {status: 'unknown', reason: 'attempts_exhausted'}
      : lastNotRun;
  }

  private pickTarget(
    job: DispatchJob,
    tried: ReadonlySet<string>,
  ): AgentConnection | undefined {
    const candidates = this.options.membership
      .listUsable(job.request.pool)
      .filter(c => !tried.has(c.id));
    // Copies of a keyed request must meet the same agent's ledger, so they
    // are placed by rendezvous hash instead of by load.
    const key = job.route.affinityKey;
    if (key !== undefined) return chooseByRendezvous(candidates, key);
    return this.options.router.choose(candidates, job.route);
  }

  private async tryOnce(
    target: AgentConnection,
    job: DispatchJob,
    attempt: number,
  ): Promise<DispatchOutcome> {
    const cancel = () => target.cancel(job.request.requestId);
    job.signal.addEventListener('abort', cancel, {once: true});
    const timer = setTimeout(
      cancel,
      Math.max(0, job.request.deadlineAt - Date.now()),
    );
    try {
      return await target.dispatch(
        {...job.request, attempt},
        notice => job.chunks.push(notice),
        job.request.deadlineAt - Date.now() + DEADLINE_GRACE_MS,
      );
    } catch (error) {
      if (isNotSent(error))
        return {status: 'not-run', reason: 'agent_unreachable'};
      if (isLinkLost(error)) {
        this.log.warn('agent_link_lost', {
          requestId: job.request.requestId,
          target: target.id,
        });
        return {status: 'unknown', reason: 'agent_link_lost'};
      }
      this.log.warn('agent_no_answer', {
        requestId: job.request.requestId,
        target: target.id,
      });
      return {status: 'unknown', reason: 'agent_no_answer'};
    } finally {
      clearTimeout(timer);
      job.signal.removeEventListener('abort', cancel);
    }
  }
}

/**
 * Creates a dispatcher.
 *
 * @example
 * const dispatcher = createDispatcher({membership, router, counters, maxAttempts: 3});
 */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  return new Dispatcher(options);
}
