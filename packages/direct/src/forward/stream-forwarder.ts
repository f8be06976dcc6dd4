/**
 * Forwards streams. If an engine dies, stalls or sends an invalid response,
 * another engine resumes the stream after the last complete event within the
 * same response, if the route allows it.
 */
import {estimatePatienceMs} from '../placement/loss.js';
import {PlacedPrompt} from '../placement/placed-prompt.js';
import {AttemptChain} from './attempt-chain.js';
import {chooseHoldMs} from './choose-hold.js';
import {SlotFinder} from './slot-finder.js';
import {chooseRetryAfterMs} from './retry-after.js';
import {StreamAttempt} from './stream-attempt.js';
import {StreamProgress} from './stream-progress.js';
import {StreamRecord} from './stream-record.js';
import type {ExchangeError} from '../errors.js';
import type {EngineCostModel, Target} from '../types.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';
import type {AttemptEnd} from './stream-attempt.js';
import type {AttemptFault} from './stream-record.js';

/**
 * Base of Retry-After when all slots are taken, in ms: about the time for which
 * a stream occupies a slot.
 */
const OVERLOAD_RETRY_AFTER_MS = 1200;

/** Minimum time until the deadline to try another engine, in ms. */
const MIN_RETRY_LEFT_MS = 250;

/** Maximum number of attempts that fail before the request is sent. */
const MAX_UNSENT_ATTEMPTS = 4;

const NONE_TRIED: ReadonlySet<string> = new Set();

/** Result of an attempt after which the response is still incomplete. */
type FailedEnd = Exclude<AttemptEnd, {kind: 'done' | 'passed-on'}>;

/** Reason for which the gate refuses a stream. */
type RefusalReason = 'no_target' | 'not_run' | 'too_late' | 'overloaded';

/** State of one forwarded stream and its attempts. */
class StreamRun {
  private readonly tried = new Set<string>();
  /**
   * Running chains: two while a backup runs beside a stalled engine, otherwise
   * one.
   */
  private readonly chains = new Set<AttemptChain>();
  private readonly progress: StreamProgress;
  private readonly record: StreamRecord;
  private readonly finder: SlotFinder;
  private sentAttempts = 0;
  private unsentAttempts = 0;
  private mayHaveRun = false;
  private isSettled = false;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private stopListening: (() => void) | undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
    private readonly engine: EngineCostModel,
  ) {
    this.progress = new StreamProgress(request.arrivedAt, request.lastEventId);
    this.record = new StreamRecord(context, request, this.progress);
    this.finder = new SlotFinder(context, request, engine, this.tried);
  }

  run(): void {
    const {request, context} = this;
    this.deadlineTimer = setTimeout(
      () => this.endWithError(504, 'timeout'),
      request.expiresAt - context.readNow(),
    );
    this.stopListening = context.suspects.onRefusal(isRefused => {
      if (isRefused(request.fingerprint)) this.refuseSuspect();
    });
    request.caller.onDisconnect(() => this.settle('caller_left'));
    if (!this.isSettled) void this.runChain();
  }

  private async runChain(retryClaimedAt?: number): Promise<void> {
    const chain = new AttemptChain();
    chain.retryClaimedAt = retryClaimedAt;
    this.chains.add(chain);
    while (!chain.isClosed) {
      const placed = await this.place(chain);
      if (placed === undefined) break;
      const end = await this.runAttempt(chain, placed);
      if (end.kind === 'failed')
        await this.checkCrash(chain, placed, end.error);
      if (this.isSettled) break;
      this.handleEnd(chain, placed, end);
    }
    this.close(chain);
  }

  private close(chain: AttemptChain): void {
    this.chains.delete(chain);
    chain.close();
  }

  /** Returns true if a chain other than `chain` is running. */
  private isOtherChainOpen(chain: AttemptChain): boolean {
    return [...this.chains].some(other => other !== chain);
  }

  /**
   * Places the next attempt. If no engine is found, responds to the caller
   * unless another chain is running.
   */
  private async place(chain: AttemptChain): Promise<PlacedPrompt | undefined> {
    const {suspects} = this.context;
    if (suspects.judge(this.request.fingerprint) === 'refused') {
      this.refuseSuspect();
      return undefined;
    }
    if (this.sentAttempts > 0 && this.readLeftMs() < MIN_RETRY_LEFT_MS) {
      this.giveUp(chain, 'no_time_left');
      return undefined;
    }
    // A stream that has already been attempted skips the admission queue.
    const mayExceedSlots = this.sentAttempts > 0 || this.unsentAttempts > 0;
    const result = await this.finder.findSlot(
      mayExceedSlots,
      chain.signal,
      this.progress.hasHead,
    );
    if (result instanceof PlacedPrompt)
      return this.checkDeadline(chain, result);
    if (result === 'none') this.giveUp(chain, 'no_target');
    if (result === 'behind') this.refuse(chain, 'overloaded', 0);
    if (result === 'full')
      this.refuse(chain, 'overloaded', this.estimateOverloadMs());
    return undefined;
  }

  /** Estimates the time until an engine may have a slot, in ms. */
  private estimateOverloadMs(): number {
    const {context, request, tried} = this;
    const waitMs = context.prompts.readWaitMs(request.service, tried);
    return Math.max(OVERLOAD_RETRY_AFTER_MS, waitMs);
  }

  /**
   * Releases the slot if the first token is predicted after the deadline or the
   * chain is closed.
   */
  private checkDeadline(
    chain: AttemptChain,
    placed: PlacedPrompt,
  ): PlacedPrompt | undefined {
    const lateMs = placed.choice.predictedTtftMs - this.readLeftMs();
    if (lateMs <= 0 && !chain.isClosed) return this.renewRetry(chain, placed);
    placed.release();
    if (!chain.isClosed) this.refuse(chain, 'too_late', lateMs);
    return undefined;
  }

  private async runAttempt(
    chain: AttemptChain,
    placed: PlacedPrompt,
  ): Promise<AttemptEnd> {
    const {context, request, engine, progress} = this;
    const placedAt = context.readNow();
    this.sentAttempts++;
    this.record.addPlacement(placed, this.sentAttempts);
    chain.placed = placed;
    chain.attempt = new StreamAttempt({
      context,
      request,
      engine,
      placed,
      progress,
      name: `${request.facts.requestId ?? 'none'}-${this.sentAttempts}-${this.unsentAttempts}`,
      isBackupPossible: () => this.isBackupPossible(chain),
      startBackup: () => this.startBackup(chain, placed),
      claimResponse: () => this.claimResponse(chain),
      chooseHoldMs: () => this.chooseHoldMs(chain, placed),
    });
    let end: AttemptEnd;
    try {
      end = await chain.attempt.run();
    } finally {
      placed.release();
    }
    if (end.kind === 'done')
      context.queues
        .find(request.service)
        .recordSlotTime(context.readNow() - placedAt);
    return end;
  }

  /** Finds out whether the engine has crashed that broke off an attempt. */
  private async checkCrash(
    {attempt}: AttemptChain,
    {target}: PlacedPrompt,
    error: ExchangeError,
  ): Promise<void> {
    const {crashes} = this.context;
    if (error.isRefusedConnection) return crashes.recordRefusal(target);
    if (!error.isConnectionEnd || attempt?.isEngineReplaced !== false) return;
    await crashes.waitForVerdict({
      request: this.request,
      target,
      firstEventAt: attempt.firstEventAt,
      sentAt: attempt.sentAt,
    });
  }

  /** Returns true if a backup is running or may be started for the chain. */
  private isBackupPossible(chain: AttemptChain): boolean {
    return (
      this.isOtherChainOpen(chain) ||
      (!chain.isStalled && this.isRetryAllowed())
    );
  }

  /**
   * Returns false if all attempts are used, or for a stream that cannot be
   * resumed, which runs only once.
   */
  private isRetryAllowed(): boolean {
    const {isResumable, maxAttempts} = this.request.route;
    return isResumable && this.sentAttempts < maxAttempts;
  }

  /**
   * Starts a backup chain for a stalled one if the retry budget and the
   * deadline allow it. Whichever chain receives the next event first claims the
   * response, unless only the other one can go on.
   */
  private startBackup(silent: AttemptChain, placed: PlacedPrompt): void {
    // The stream may end in the same event-loop turn as the stall timer.
    if (silent.isClosed || this.isOtherChainOpen(silent)) return;
    const {predictedTtftMs} = placed.choice;
    const neededMs = Math.max(MIN_RETRY_LEFT_MS, predictedTtftMs);
    if (this.readLeftMs() < neededMs) return;
    const {health, readNow} = this.context;
    health.recordStall(placed.target.id, readNow());
    const retryClaimedAt = this.claimRetry();
    if (retryClaimedAt === undefined) return;
    this.tried.add(placed.target.id);
    silent.isStalled = true;
    this.record.addStall(placed);
    void this.runChain(retryClaimedAt);
  }

  /**
   * Claims the response for one chain and closes the other; returns false if
   * the other chain has claimed it already.
   */
  private claimResponse(chain: AttemptChain): boolean {
    if (chain.isClosed) return false;
    for (const other of [...this.chains])
      if (other !== chain) this.close(other);
    chain.isStalled = false;
    return true;
  }

  /**
   * Returns the time for which an event of a chain waits for the engine of the
   * other chain, in ms. The first event goes to the caller at once.
   */
  private chooseHoldMs(chain: AttemptChain, placed: PlacedPrompt): number {
    const {context, progress} = this;
    const {lastEventAt} = progress;
    const other = [...this.chains].find(open => open !== chain);
    if (other === undefined || lastEventAt === undefined) return 0;
    const {objectiveMs, itlObjectiveMs = objectiveMs} = this.request.route;
    const pauseMs = placed.estimatePauseMs();
    const holdMs = chooseHoldMs({
      silentMs: context.readNow() - lastEventAt,
      patienceMs: estimatePatienceMs({objectiveMs, itlObjectiveMs}),
      pauseMs,
      other: other.describeEngine(),
    });
    if (holdMs > 0) this.record.addHold(placed, pauseMs, holdMs);
    return holdMs;
  }

  /** Claims a retry; returns the time of the claim, or undefined. */
  private claimRetry(): number | undefined {
    const {context, request} = this;
    const now = context.readNow();
    const isClaimed = context.budget.claimRetry(request.service, now);
    return isClaimed ? now : undefined;
  }

  /**
   * Renews the claim of a retry that has waited for its engine; releases the slot
   * if the retry budget is spent by now.
   */
  private renewRetry(
    chain: AttemptChain,
    placed: PlacedPrompt,
  ): PlacedPrompt | undefined {
    const {context, request} = this;
    const {retryClaimedAt} = chain;
    if (retryClaimedAt === undefined) return placed;
    const now = context.readNow();
    if (context.budget.renewRetry(request.service, retryClaimedAt, now)) {
      chain.retryClaimedAt = now;
      return placed;
    }
    placed.release();
    this.giveUp(chain, 'retry_budget_spent');
    return undefined;
  }

  private handleEnd(
    chain: AttemptChain,
    placed: PlacedPrompt,
    end: AttemptEnd,
  ): void {
    if (end.kind === 'done') {
      this.context.health.recordSuccess(placed.target.id);
      this.context.suspects.recordAnswer(
        this.request.fingerprint,
        chain.attempt?.firstEventAt,
      );
      return this.settle('answered', placed.target);
    }
    if (end.kind === 'passed-on')
      return this.settle('target_failure', placed.target);
    this.recordFailure(chain, placed, end);
    if (chain.isClosed) return;
    this.markFaultyTarget(placed, end);
    const isUnsent =
      end.kind === 'no-memory' || (end.kind === 'failed' && !end.error.wasSent);
    if (isUnsent) return this.countUnsent(chain);
    this.mayHaveRun ||= end.kind !== 'not-run';
    // A backup goes on to further engines, as the stalled one may be dead.
    if (chain.isStalled && this.isOtherChainOpen(chain))
      return this.closeForOther(chain);
    this.claimNextAttempt(chain, end);
  }

  /**
   * Counts an attempt that sent no request and therefore does not count against
   * the attempt limit; gives up after MAX_UNSENT_ATTEMPTS.
   */
  private countUnsent(chain: AttemptChain): void {
    this.sentAttempts--;
    if (++this.unsentAttempts >= MAX_UNSENT_ATTEMPTS)
      this.giveUp(chain, 'unsent');
  }

  private claimNextAttempt(chain: AttemptChain, end: FailedEnd): void {
    const {isResumable, maxAttempts} = this.request.route;
    if (end.kind !== 'not-run' && !isResumable)
      return this.giveUp(chain, 'not_repeatable');
    if (this.sentAttempts >= maxAttempts)
      return this.giveUp(chain, 'attempts_spent');
    chain.retryClaimedAt = this.claimRetry();
    if (chain.retryClaimedAt === undefined)
      this.giveUp(chain, 'retry_budget_spent');
  }

  /** Marks the target that failed, so that later attempts avoid it. */
  private markFaultyTarget(placed: PlacedPrompt, end: FailedEnd): void {
    const {health, readNow} = this.context;
    if (end.kind === 'no-memory') {
      // A helper without free KV cache is healthy; only this stream avoids it.
      for (const {target} of placed.choice.reservations) this.tried.add(target);
      return;
    }
    const faulty = end.kind === 'not-run' ? end.faultyAddress : undefined;
    const helper = placed.helpers.find(
      ({host, port}) => `${host}:${port}` === faulty,
    );
    const faultyTarget = helper ?? placed.target;
    const isUnsent = end.kind === 'failed' && !end.error.wasSent;
    this.tried.add(faultyTarget.id);
    if (end.kind === 'failed' && !end.error.isTargetFault) return;
    health.recordFailure(
      faultyTarget.id,
      readNow(),
      isUnsent || helper !== undefined,
    );
  }

  /** Ends a chain; refuses the stream if no other chain is running. */
  private giveUp(chain: AttemptChain, why: string): void {
    if (this.isOtherChainOpen(chain)) return this.closeForOther(chain);
    this.record.addGivenUp(why, [...this.tried]);
    this.refuse(chain, why === 'no_target' ? 'no_target' : 'not_run', 0);
  }

  /**
   * Refuses the stream unless another chain is running.
   *
   * @param queueMs - Expected time until an engine has a free slot, in ms.
   */
  private refuse(
    chain: AttemptChain,
    reason: RefusalReason,
    queueMs: number,
  ): void {
    if (this.isOtherChainOpen(chain)) return this.closeForOther(chain);
    // A refusal with 503 is allowed only for a request that has not run.
    if (this.progress.hasHead || this.mayHaveRun)
      return this.endWithError(502, 'outcome_unknown');
    const {context, request} = this;
    // No engine takes a request before that, whichever this stream has tried.
    const waitMs = context.prompts.readWaitMs(request.service, NONE_TRIED);
    const retryDelayMs = chooseRetryAfterMs(
      Math.max(queueMs, waitMs),
      this.readLeftMs(),
    );
    request.caller.refuse(503, reason, retryDelayMs);
    this.settle(reason);
  }

  /**
   * Refuses a stream whose content is refused from now on, and cancels its
   * attempts, unless an engine is streaming it already.
   */
  private refuseSuspect(): void {
    const attempts = [...this.chains].flatMap(({attempt}) => attempt ?? []);
    if (this.isSettled || attempts.some(({isStreaming}) => isStreaming)) return;
    this.record.addGivenUp('crashes_servers', [...this.tried]);
    this.mayHaveRun ||= attempts.some(({wasSent}) => wasSent);
    if (this.progress.hasHead || this.mayHaveRun)
      return this.endWithError(502, 'outcome_unknown');
    const {request, context} = this;
    const leftMs = context.suspects.readRefusalLeftMs(request.fingerprint);
    request.caller.refuse(503, 'crashes_servers', leftMs);
    this.settle('crashes_servers');
  }

  private closeForOther(chain: AttemptChain): void {
    this.close(chain);
    const [other] = this.chains;
    other.attempt?.releaseHeldEvents();
    if (other.isStalled && !this.progress.hasHead) void this.checkAlive(other);
  }

  /**
   * Gives up without waiting for the deadline if the stalled engine of the
   * remaining chain is dead.
   */
  private async checkAlive(chain: AttemptChain): Promise<void> {
    if (chain.placed === undefined) return;
    const report = await this.context.reports.read(chain.placed.target);
    if (report !== undefined || !chain.isStalled || chain.isClosed) return;
    // The engine may have sent the response head in the meantime.
    if (this.progress.hasHead) return;
    this.mayHaveRun = true;
    this.giveUp(chain, 'engine_dead');
  }

  private endWithError(
    status: number,
    reason: 'timeout' | 'outcome_unknown',
  ): void {
    if (this.isSettled) return;
    this.request.caller.refuse(status, reason);
    this.settle(reason);
  }

  private settle(outcome: string, target?: Target): void {
    if (this.isSettled) return;
    this.isSettled = true;
    clearTimeout(this.deadlineTimer);
    this.stopListening?.();
    for (const chain of [...this.chains]) this.close(chain);
    const tried = [...this.tried];
    this.record.addEnd({
      outcome,
      target,
      tried,
      sends: this.sentAttempts,
      choices: this.finder.choices,
    });
  }

  private recordFailure(
    chain: AttemptChain,
    placed: PlacedPrompt,
    end: FailedEnd,
  ): void {
    this.record.addFailure({
      placed,
      fault: findFault(chain, end),
      faultyAddress: end.kind === 'not-run' ? end.faultyAddress : undefined,
      attempt: this.sentAttempts,
    });
  }

  /** Returns the time until the request's deadline, in ms. */
  private readLeftMs(): number {
    return this.request.expiresAt - this.context.readNow();
  }
}

function findFault(chain: AttemptChain, end: FailedEnd): AttemptFault {
  if (chain.isClosed) return chain.isStalled ? 'stalled' : 'overtaken';
  return end.kind === 'failed' ? end.error.fault : end.kind;
}

/**
 * Forwards one stream. The caller gets exactly one response.
 *
 * @example
 * forwardStream(context, request, engine);
 */
export function forwardStream(
  context: ForwardContext,
  request: GateRequest,
  engine: EngineCostModel,
): void {
  context.budget.recordRequest(request.service, context.readNow());
  new StreamRun(context, request, engine).run();
}
