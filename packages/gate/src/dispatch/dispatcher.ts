/**
 * Sends one admitted request to targets and decides whether to retry:
 * - Outcome `not-run`, or a connection that was down before sending: the
 *   request provably did not run, so another target may run it. A keyed
 *   request is the exception, because only its home agent may run it.
 * - Outcome `unknown`: the request may have run. A not-repeatable request is
 *   never resent, and the caller gets "outcome unknown". A repeatable request
 *   is resent until its deadline.
 * - A request whose chunks have partly been delivered is resumed, and only in
 *   pools whose engines can resume. Running it again would generate a
 *   different text, and the caller would get parts of two answers.
 * - A request whose tokens have all been delivered is done, also without the
 *   report of its end.
 */
import {
  RpcClosedError,
  TargetUnreachableError,
  createDispatchFingerprint,
  createLogger,
} from '@nutmeggauge/core';
import type {
  Counters,
  DispatchOutcome,
  DispatchRequest,
  ResumePoint,
  SuspectRequests,
} from '@nutmeggauge/core';
import {waitVerdict} from '../stop/verdict.js';
import type {TargetDirectory, TargetLink} from '../membership/target-link.js';
import type {RouteRequest, Router} from '../routing/router.js';
import type {HeldRequest} from '../stop/held-request.js';
import type {ChunkStream} from '../streaming/reassembly.js';
import type {RetryBudget} from './retry-budget.js';

/**
 * Time after a request's deadline that the gate waits for the agent's answer
 * to the cancellation, in ms. The gate then answers the caller itself, because
 * a suspended agent must not hold the caller any longer.
 */
export const DEADLINE_GRACE_MS = 250;

/** Default Retry-After for a request that did not run, in ms. */
const RETRY_AFTER_MS = 1000;

type DoneOutcome = Extract<DispatchOutcome, {status: 'done'}>;

/**
 * Final result of a dispatch, from which the API builds the answer to the
 * caller.
 */
export type DispatchResult =
  | {
      readonly status: 'done';
      readonly outcome: DoneOutcome;
      readonly target: string;
    }
  | {
      readonly status: 'not-run';
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  | {readonly status: 'unknown'; readonly reason: string}
  | {readonly status: 'deadline'; readonly ran: boolean};

/** A request ready for dispatch, with the data that routing needs. */
export interface DispatchJob {
  readonly request: Omit<DispatchRequest, 'attempt' | 'resume'>;
  readonly route: RouteRequest;
  /** True when the pool's engines can resume an interrupted stream. */
  readonly resumable: boolean;
  readonly chunks: ChunkStream;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Tells when a stop of the gate ends the request. */
  readonly held: HeldRequest;
}

/** Options of a dispatcher. */
export interface DispatcherOptions {
  readonly directory: TargetDirectory;
  readonly router: Router;
  readonly counters: Counters;
  /** Maximum number of targets that one request is sent to. */
  readonly maxAttempts: number;
  /** Timeout for an agent's ack of a repeatable request, in ms. */
  readonly acceptTimeoutMs: number;
  readonly retryBudget: RetryBudget;
  readonly suspects: SuspectRequests;
  /** Waits until what has arrived has been read, such as disconnects. */
  readonly waitForReads: () => Promise<void>;
}

/** State of one request across its dispatch attempts. */
interface DispatchProgress {
  readonly tried: Set<string>;
  lastNotRun: Extract<DispatchResult, {status: 'not-run'}>;
  mayHaveRun: boolean;
}

/**
 * Runs the retry loop of each request across targets.
 *
 * @example
 * const result = await createDispatcher(options).run(job);
 */
export class Dispatcher {
  private readonly log = createLogger('dispatch');

  constructor(private readonly options: DispatcherOptions) {}

  /** Dispatches `job` and resolves with its result; never rejects. */
  async run(job: DispatchJob): Promise<DispatchResult> {
    const isKeyed = job.request.keyed;
    const progress: DispatchProgress = {
      tried: new Set(),
      lastNotRun: {
        status: 'not-run',
        reason: isKeyed ? 'home_unavailable' : 'no_target',
        retryAfterMs: RETRY_AFTER_MS,
      },
      mayHaveRun: false,
    };
    this.options.retryBudget.recordRequest();
    for (let attempt = 1; attempt <= this.options.maxAttempts; attempt++) {
      const refusal = this.checkSuspect(job, progress);
      if (refusal !== undefined) return refusal;
      await this.options.waitForReads();
      if (job.signal.aborted) return this.endForCaller(progress);
      if (job.held.handedBack.aborted) return this.endForStop(progress);
      if (attempt > 1 && !this.claimRetry()) break;
      if (Date.now() >= job.request.deadlineAt) break;
      job.held.setPlace('gate');
      const target = await Promise.race([
        this.pickTarget(job, progress.tried),
        job.held.waitHandedBack(),
      ]);
      if (job.held.handedBack.aborted) return this.endForStop(progress);
      if (!target) break;
      job.held.setPlace('agent');
      progress.tried.add(target.id);
      const outcome = await this.tryOnce(target, job, attempt);
      const result = this.judgeOutcome(outcome, target, job, progress);
      if (result !== undefined) return result;
    }
    if (Date.now() >= job.request.deadlineAt)
      return {status: 'deadline', ran: progress.mayHaveRun};
    return progress.mayHaveRun
      ? {status: 'unknown', reason: 'attempts_exhausted'}
      : progress.lastNotRun;
  }

  /** Returns a result if targets have crashed under requests with this content. */
  private checkSuspect(
    {request}: DispatchJob,
    {mayHaveRun}: DispatchProgress,
  ): DispatchResult | undefined {
    const {suspects, counters} = this.options;
    const fingerprint = createDispatchFingerprint(request);
    const retryAfterMs = suspects.readRefusalLeftMs(fingerprint);
    if (retryAfterMs === 0) return undefined;
    const reason = 'crashes_servers';
    counters.add('dispatch.suspect_refused');
    this.log.info('suspect_refused', {
      requestId: request.requestId,
      content: fingerprint.id,
      crashed: suspects.listCrashed(fingerprint),
      leftMs: Math.round(retryAfterMs),
    });
    return mayHaveRun
      ? {status: 'unknown', reason}
      : {status: 'not-run', reason, retryAfterMs};
  }

  /** Ends a request whose caller left before it was sent. */
  private endForCaller({mayHaveRun}: DispatchProgress): DispatchResult {
    this.options.counters.add('dispatch.caller_gone');
    const reason = 'caller_gone';
    return mayHaveRun
      ? {status: 'unknown', reason}
      : {status: 'not-run', reason, retryAfterMs: RETRY_AFTER_MS};
  }

  /** Ends a request that a stop of the gate hands back before it is sent. */
  private endForStop({mayHaveRun}: DispatchProgress): DispatchResult {
    this.options.counters.add('dispatch.handed_back');
    const reason = 'gate_draining';
    return mayHaveRun
      ? {status: 'unknown', reason}
      : {status: 'not-run', reason, retryAfterMs: RETRY_AFTER_MS};
  }

  private claimRetry(): boolean {
    const {retryBudget, counters} = this.options;
    const isAllowed = retryBudget.claimRetry();
    counters.add(isAllowed ? 'dispatch.retries' : 'dispatch.retry_refused');
    return isAllowed;
  }

  /** Returns the final result, or undefined when another attempt is allowed. */
  private judgeOutcome(
    outcome: DispatchOutcome,
    target: TargetLink,
    job: DispatchJob,
    progress: DispatchProgress,
  ): DispatchResult | undefined {
    const {counters} = this.options;
    if (outcome.status === 'done') {
      // Final completeness check: an answer with missing chunks must not be
      // presented to the caller as complete.
      if (outcome.chunks === job.chunks.releasedCount)
        return {status: 'done', outcome, target: target.id};
      counters.add('dispatch.answer_incomplete');
      return {status: 'unknown', reason: 'answer_incomplete'};
    }
    if (job.signal.aborted) return {status: 'unknown', reason: 'caller_gone'};
    // Only the report of the end is missing. A resumed engine would add a token
    // beyond the limit.
    if (isWhole(job))
      return {status: 'done', outcome: renderDone(job), target: target.id};
    if (outcome.status === 'not-run') {
      counters.add('dispatch.retry_not_run');
      progress.lastNotRun = {
        status: 'not-run',
        reason: outcome.reason,
        retryAfterMs: outcome.retryAfterMs ?? RETRY_AFTER_MS,
      };
      // A keyed request runs only at its home agent, whose ledger detects
      // duplicates. On another target it could run twice
      // (spec/at-most-once.pml with KEYED_RETRY).
      return job.request.keyed ? progress.lastNotRun : undefined;
    }
    progress.mayHaveRun = true;
    // A not-repeatable request that may have started is never resent.
    if (job.request.notRepeatable)
      return {status: 'unknown', reason: outcome.reason};
    if (job.chunks.releasedCount > 0 && !job.resumable)
      return {status: 'unknown', reason: 'stream_not_resumable'};
    counters.add('dispatch.retry_unknown');
    return undefined;
  }

  private async pickTarget(
    job: DispatchJob,
    tried: ReadonlySet<string>,
  ): Promise<TargetLink | undefined> {
    const {directory, router} = this.options;
    const {pool, keyed, ledgerKey} = job.request;
    // Duplicates of a keyed request must reach the same ledger, so the home is
    // chosen among all configured targets, usable or not
    // (spec/at-most-once.pml with HOME_AMONG_USABLE).
    if (keyed && ledgerKey !== undefined) {
      const home = await directory.findHome(pool, ledgerKey);
      return home !== undefined && !tried.has(home.id) ? home : undefined;
    }
    const candidates = directory.listUsable(pool).filter(c => !tried.has(c.id));
    const target = router.choose(candidates, job.route);
    if (target !== undefined) router.recordSent(target, job.route);
    return target;
  }

  private async tryOnce(
    target: TargetLink,
    job: DispatchJob,
    attempt: number,
  ): Promise<DispatchOutcome> {
    const {request, route, held} = job;
    const {requestId} = request;
    const cancel = () => target.cancel(requestId);
    const cancelQueued = () => target.cancelQueued(requestId);
    held.handedBack.addEventListener('abort', cancelQueued, {once: true});
    held.cut.addEventListener('abort', cancel, {once: true});
    job.signal.addEventListener('abort', cancel, {once: true});
    const remainingMs = Math.max(0, request.deadlineAt - Date.now());
    const timer = setTimeout(cancel, remainingMs);
    this.log.info('request_sent', {requestId, target: target.id, attempt});
    try {
      const answer = target.dispatch(
        {...request, attempt, resume: readResumePoint(job.chunks)},
        notice => job.chunks.push(notice),
        {
          answerTimeoutMs: remainingMs + DEADLINE_GRACE_MS,
          ackTimeoutMs: request.notRepeatable
            ? undefined
            : this.options.acceptTimeoutMs,
          promptTokens: route.promptTokens,
        },
      );
      return await waitVerdict(answer, held);
    } catch (error) {
      if (error instanceof TargetUnreachableError)
        return {status: 'not-run', reason: 'agent_unreachable'};
      // An agent that resumes after a suspension must not run a request that
      // another target has answered.
      cancel();
      const reason =
        error instanceof RpcClosedError ? 'agent_link_lost' : 'agent_no_answer';
      this.log.warn(reason, {requestId, target: target.id});
      return {status: 'unknown', reason};
    } finally {
      clearTimeout(timer);
      job.signal.removeEventListener('abort', cancel);
      held.handedBack.removeEventListener('abort', cancelQueued);
      held.cut.removeEventListener('abort', cancel);
    }
  }
}

/** Returns whether as many tokens have arrived as the answer may have. */
function isWhole({request, chunks}: DispatchJob): boolean {
  return (
    request.kind === 'generate' &&
    request.maxTokens !== undefined &&
    chunks.releasedCount >= request.maxTokens
  );
}

/** Renders the outcome of an answer whose end was not reported. */
function renderDone({chunks}: DispatchJob): DoneOutcome {
  return {
    status: 'done',
    chunks: chunks.releasedCount,
    tokens: chunks.releasedCount,
    cachedTokens: 0,
  };
}

function readResumePoint(chunks: ChunkStream): ResumePoint | undefined {
  if (chunks.releasedCount === 0) return undefined;
  return {fromSeq: chunks.releasedCount, text: chunks.releasedText};
}

/**
 * Creates a dispatcher.
 *
 * @example
 * const dispatcher = createDispatcher({directory, router, counters, maxAttempts: 3, acceptTimeoutMs: 1000, retryBudget});
 */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  return new Dispatcher(options);
}
