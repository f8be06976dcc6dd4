/**
 * Forwards streams. If an engine dies, stalls or sends an invalid response,
 * another engine resumes the stream after the last complete event within the
 * same response, if the route allows it.
 */
import {PlacedPrompt} from '../placement/placed-prompt.js';
import {NoRoom} from '../placement/prompt-placer.js';
import {recordOversized} from './record-oversized.js';
import {SlotFinder} from './slot-finder.js';
import {StreamAttempt} from './stream-attempt.js';
import {MIN_RETRY_LEFT_MS, StreamBackup} from './stream-backup.js';
import {StreamChains} from './stream-chains.js';
import {StreamEnding} from './stream-ending.js';
import {StreamFaults, findFault} from './stream-faults.js';
import {StreamProgress} from './stream-progress.js';
import {StreamRecord} from './stream-record.js';
import {StreamRetries} from './stream-retries.js';
import {StreamStop} from './stream-stop.js';
import type {EngineCostModel} from '../types.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';
import type {AttemptChain} from './attempt-chain.js';
import type {AttemptEnd, FailedEnd} from './stream-attempt.js';
import type {RefusalReason} from './stream-ending.js';

/**
 * Base of Retry-After when all slots are taken, in ms: about the time for which
 * a stream occupies a slot.
 */
const OVERLOAD_RETRY_AFTER_MS = 1200;

/** State of one forwarded stream and its attempts. */
class StreamRun {
  private readonly tried = new Set<string>();
  private readonly chains = new StreamChains();
  private readonly retries: StreamRetries;
  private readonly faults: StreamFaults;
  private readonly progress: StreamProgress;
  private readonly record: StreamRecord;
  private readonly finder: SlotFinder;
  private readonly ending: StreamEnding;
  private readonly backup: StreamBackup;
  private readonly stop: StreamStop;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
    private readonly engine: EngineCostModel,
  ) {
    this.progress = new StreamProgress(request.arrivedAt, request.lastEventId);
    this.record = new StreamRecord(context, request, this.progress);
    this.retries = new StreamRetries(context, request);
    this.faults = new StreamFaults(context, request, this.tried);
    this.finder = new SlotFinder(context, request, engine, this.tried);
    this.ending = new StreamEnding({
      context,
      request,
      progress: this.progress,
      record: this.record,
      chains: this.chains,
      tried: this.tried,
      countWork: () => ({
        sends: this.retries.sent,
        choices: this.finder.choices,
      }),
    });
    this.backup = new StreamBackup({
      context,
      request,
      progress: this.progress,
      record: this.record,
      chains: this.chains,
      retries: this.retries,
      ending: this.ending,
      tried: this.tried,
      startChain: claimedAt => void this.runChain(claimedAt),
      giveUp: (chain, why) => this.giveUp(chain, why),
    });
    this.stop = new StreamStop({
      request,
      engine,
      progress: this.progress,
      chains: this.chains,
      finder: this.finder,
      ending: this.ending,
    });
  }

  run(): void {
    this.request.open.handler = this.stop;
    this.ending.start();
    this.context.stop.judge(this.request.open);
    if (!this.ending.isOver) void this.runChain();
  }

  private async runChain(retryClaimedAt?: number): Promise<void> {
    const chain = this.chains.open(retryClaimedAt);
    while (!chain.isClosed) {
      const placed = await this.place(chain);
      if (placed === undefined) break;
      const end = await this.runAttempt(chain, placed);
      if (end.kind === 'failed') {
        recordOversized(this.context, this.request, placed.target, end.error);
        await this.faults.checkCrash(chain, placed.target, end.error);
      }
      if (this.ending.isOver) break;
      this.handleEnd(chain, placed, end);
      // What the attempt has sent is known from its end.
      chain.attempt = undefined;
    }
    this.chains.close(chain);
  }

  /**
   * Places the next attempt. If no engine is found, responds to the caller
   * unless another chain is running.
   */
  private async place(chain: AttemptChain): Promise<PlacedPrompt | undefined> {
    const {suspects} = this.context;
    if (suspects.judge(this.request.fingerprint) === 'refused') {
      this.ending.refuseSuspect();
      return undefined;
    }
    if (this.retries.sent > 0 && this.readLeftMs() < MIN_RETRY_LEFT_MS) {
      this.giveUp(chain, 'no_time_left');
      return undefined;
    }
    // A stream that has already been attempted skips the admission queue.
    const mayExceedSlots = this.retries.sent > 0 || this.retries.unsent > 0;
    const result = await this.finder.findSlot(
      mayExceedSlots,
      chain.signal,
      this.progress.hasHead,
    );
    if (result instanceof PlacedPrompt)
      return this.confirmPlacement(chain, result);
    if (result instanceof NoRoom)
      this.refuse(chain, 'overloaded', result.roomMs);
    if (result === 'none') this.giveUp(chain, 'no_target');
    if (result === 'behind') this.refuse(chain, 'overloaded', 0);
    if (result === 'full')
      this.refuse(chain, 'overloaded', this.estimateOverloadMs());
    return undefined;
  }

  /** Estimates the time until an engine may have a slot, in ms. */
  private estimateOverloadMs(): number {
    const {context, request, tried} = this;
    const waitMs = context.prompts.readWaitMs(
      request.service,
      tried,
      request.allowedZones,
    );
    return Math.max(OVERLOAD_RETRY_AFTER_MS, waitMs);
  }

  /**
   * Releases the slot if the gate ends before the answer or the first token is
   * predicted after the deadline, if the chain is closed, or if the retry budget is
   * spent by now.
   */
  private confirmPlacement(
    chain: AttemptChain,
    placed: PlacedPrompt,
  ): PlacedPrompt | undefined {
    const {predictedTtftMs} = placed.choice;
    const lateMs = predictedTtftMs - this.readLeftMs();
    const endMs = predictedTtftMs + this.stop.estimateOutputMs();
    if (this.context.stop.judge(this.request.open, endMs)) {
      placed.release();
      return undefined;
    }
    if (lateMs <= 0 && !chain.isClosed && this.retries.renew(chain))
      return placed;
    placed.release();
    if (chain.isClosed) return undefined;
    if (lateMs > 0) this.refuse(chain, 'too_late', lateMs);
    else this.giveUp(chain, 'retry_budget_spent');
    return undefined;
  }

  private async runAttempt(
    chain: AttemptChain,
    placed: PlacedPrompt,
  ): Promise<AttemptEnd> {
    const {context, request, engine, progress} = this;
    const placedAt = context.readNow();
    this.retries.recordAttempt();
    const {sent, unsent} = this.retries;
    this.record.addPlacement(placed, sent);
    chain.placed = placed;
    chain.attempt = new StreamAttempt({
      context,
      request,
      engine,
      placed,
      progress,
      name: `${request.facts.requestId ?? 'none'}-${sent}-${unsent}`,
      isBackupPossible: () => this.backup.isPossible(chain),
      startBackup: () => this.backup.start(chain, placed),
      claimResponse: () => this.chains.claimResponse(chain),
      chooseHoldMs: () => this.backup.chooseHoldMs(chain, placed),
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
      return this.ending.settle('answered', placed.target);
    }
    if (end.kind === 'passed-on')
      return this.ending.settle('target_failure', placed.target);
    this.recordFailure(chain, placed, end);
    if (chain.isClosed) return;
    this.faults.recordFault(placed, end);
    const isUnsent =
      end.kind === 'no-memory' || (end.kind === 'failed' && !end.error.wasSent);
    if (isUnsent) {
      if (!this.retries.recordUnsent()) this.giveUp(chain, 'unsent');
      return;
    }
    this.ending.mayHaveRun ||= end.kind !== 'not-run';
    // A backup goes on to further engines, as the stalled one may be dead.
    if (chain.isStalled && this.chains.findOther(chain) !== undefined)
      return this.backup.closeForOther(chain);
    const why = this.retries.claimNext(chain, end);
    if (why !== undefined) this.giveUp(chain, why);
  }

  /** Ends a chain; refuses the stream if no other chain is running. */
  private giveUp(chain: AttemptChain, why: string): void {
    if (this.chains.findOther(chain) !== undefined)
      return this.backup.closeForOther(chain);
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
    if (this.chains.findOther(chain) !== undefined)
      return this.backup.closeForOther(chain);
    this.ending.refuse(reason, queueMs);
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
      attempt: this.retries.sent,
    });
  }

  /** Returns the time until the request's deadline, in ms. */
  private readLeftMs(): number {
    return this.request.expiresAt - this.context.readNow();
  }
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
