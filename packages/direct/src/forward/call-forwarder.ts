/**
 * Forwards calls to plain services. A safe call is hedged to a second target
 * when the first one is slow or fails. An unsafe call is retried only if it is
 * certain that the target did not run it.
 */
import {ReadTimeout} from '@nutmeggauge/core';
import {ExchangeError} from '../errors.js';
import {CallRecord} from './call-record.js';
import {CallStop} from './call-stop.js';
import {CallFaults, readCallResult, releaseResult} from './call-result.js';
import {forwardLargeResult} from './large-answer.js';
import {chooseRetryAfterMs} from './retry-after.js';
import {sendCall} from './send-call.js';
import type {Target} from '../types.js';
import type {CallResult, CompleteResponse, LargeResult} from './call-types.js';
import type {GateErrorReason} from './caller-response.js';
import type {ForwardContext} from './context.js';
import type {Exchange} from './exchange.js';
import type {GateRequest} from './request.js';

/** Share of the latency objective after which a safe call is hedged. */
const HEDGE_DELAY_SHARE = 0.5;

/** Maximum number of attempts that fail before the request is sent. */
const MAX_UNSENT_ATTEMPTS = 4;

/** State of one forwarded call and its attempts. */
class CallRun {
  private readonly tried = new Set<string>();
  private readonly open = new Set<Exchange>();
  private sentAttempts = 0;
  private unsentAttempts = 0;
  /** Sends that wait until the gate has read what has arrived. */
  private pendingSends = 0;
  private mayHaveRun = false;
  private fallbackResponse: CompleteResponse | undefined;
  /** Exchange whose answer is passed on as it arrives. */
  private forwarded: Exchange | undefined;
  private isSettled = false;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private hedgeTimeout: ReadTimeout | undefined;
  private stopListening: (() => void) | undefined;
  private readonly faults: CallFaults;
  private readonly record: CallRecord;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
  ) {
    this.faults = new CallFaults(context, request);
    this.record = new CallRecord(context, request);
  }

  /** Whether the caller has got the head of an answer. */
  private get hasHead(): boolean {
    return this.forwarded !== undefined;
  }

  start(): void {
    const {request, context} = this;
    this.stopListening = context.suspects.onRefusal(isRefused => {
      if (isRefused(request.fingerprint)) this.refuseSuspect();
    });
    request.caller.onDisconnect(() => this.settle('caller_left'));
    const leftMs = request.expiresAt - context.readNow();
    this.deadlineTimer = setTimeout(() => this.refuse(504, 'timeout'), leftMs);
    if (request.route.kind === 'safe')
      this.hedgeTimeout = new ReadTimeout(
        () => this.tryNext('slow'),
        request.route.objectiveMs * HEDGE_DELAY_SHARE,
      );
    request.open.handler = this.createStop();
    if (!context.stop.judge(request.open)) this.tryNext('first');
  }

  private createStop(): CallStop {
    return new CallStop(this.context, this.request, {
      hasHead: () => this.hasHead,
      listOpen: () => [...this.open],
      isSending: () => this.pendingSends > 0,
      isOver: () => this.isSettled,
      mayHaveRun: () => this.mayHaveRun || this.fallbackResponse !== undefined,
      refuse: (status, reason, retryAfterMs) =>
        this.refuse(status, reason, retryAfterMs),
      sendFallback: () => this.sendFallback(),
    });
  }

  /** Sends the failure of a target that is kept; returns false if there is none. */
  private sendFallback(): boolean {
    if (this.fallbackResponse === undefined) return false;
    this.sendResponse(this.fallbackResponse, undefined);
    return true;
  }

  /** Sends the call to a target once the gate has read what has arrived. */
  private tryNext(why: string): void {
    if (this.isSettled || this.hasHead) return;
    this.pendingSends++;
    void this.waitAndSend(why);
  }

  private async waitAndSend(why: string): Promise<void> {
    const {reads, access} = this.context;
    await reads.wait();
    const isOver = () => this.isSettled || this.hasHead;
    const target = isOver() ? undefined : this.chooseTarget();
    const isPermitted = target === undefined || (await access.claim(target.id));
    this.pendingSends--;
    if (isOver()) return;
    // Another target may be free if the limit of this one is reached, or if a
    // hedge has just been sent there.
    const isTaken = target !== undefined && this.tried.has(target.id);
    if (!isPermitted || isTaken) return this.tryNext(why);
    this.sendTo(target, why);
  }

  /** Chooses a target for the next attempt; undefined if there is none. */
  private chooseTarget(): Target | undefined {
    const {context, request} = this;
    if (this.sentAttempts >= request.route.maxAttempts) return undefined;
    return context.calls.choose(
      request.service,
      this.tried,
      request.allowedZones,
    );
  }

  private sendTo(target: Target | undefined, why: string): void {
    const {context, request} = this;
    const verdict = context.suspects.judge(request.fingerprint);
    if (verdict === 'refused') return this.refuseSuspect();
    // A hedge could crash a second target.
    if (verdict === 'suspect' && this.open.size > 0) return;
    const isRetry = this.sentAttempts > 0;
    if (target === undefined || this.sentAttempts >= request.route.maxAttempts)
      return this.giveUpIfIdle(why);
    if (
      isRetry &&
      !context.budget.claimRetry(request.service, context.readNow())
    )
      return this.giveUpIfIdle('retry_budget_spent');
    this.tried.add(target.id);
    this.sentAttempts++;
    void this.runAttempt(target, why);
  }

  private async runAttempt(target: Target, why: string): Promise<void> {
    const {context, request} = this;
    context.calls.recordStart(target.id);
    const sentAt = context.readNow();
    const exchange = sendCall(context, request, target);
    this.open.add(exchange);
    let result: CallResult;
    try {
      result = await readCallResult(context, request, target, exchange);
      if (result.kind === 'large')
        result = await this.forwardLarge(result, exchange);
    } finally {
      this.open.delete(exchange);
      context.calls.recordEnd(target.id);
    }
    if (result.kind === 'failed') {
      // A crash may refuse this call, which must not deny that it has run.
      this.mayHaveRun ||= result.error.wasSent;
      await this.faults.checkCrash(target, exchange, result.error, sentAt);
    }
    if (this.isSettled) return releaseResult(result);
    this.faults.recordHealth(target, result);
    if (this.hasHead && this.forwarded !== exchange)
      return releaseResult(result);
    this.handleResult(target, result, why);
  }

  /** Passes a large answer on unless another was first; cancels the others. */
  private async forwardLarge(
    result: LargeResult,
    exchange: Exchange,
  ): Promise<CallResult> {
    if (this.isSettled || this.hasHead) {
      exchange.cancel();
      releaseResult(result);
      return {kind: 'failed', error: new ExchangeError('cancelled', true)};
    }
    this.forwarded = exchange;
    this.hedgeTimeout?.stop();
    for (const other of this.open) if (other !== exchange) other.cancel();
    return forwardLargeResult(this.request, exchange, result);
  }

  private handleResult(target: Target, result: CallResult, why: string): void {
    if (result.kind === 'large') {
      this.context.suspects.recordAnswer(this.request.fingerprint);
      this.request.caller.finish();
      return this.settle('answered', target);
    }
    if (result.kind === 'answer') {
      this.context.suspects.recordAnswer(this.request.fingerprint);
      return this.sendResponse(result.answer, target);
    }
    const attempt = this.sentAttempts;
    this.record.addFailure({target, result, attempt, why});
    if (result.kind === 'not-run') return this.tryNext('not_run');
    if (result.kind === 'target-failure') {
      this.fallbackResponse?.held.release();
      this.fallbackResponse = result.answer;
      if (this.request.route.kind === 'safe') return this.tryNext('failure');
      return this.sendResponse(result.answer, target);
    }
    if (this.hasHead) return this.refuse(502, 'outcome_unknown');
    if (!result.error.wasSent) return this.tryUnsentAgain();
    if (this.request.route.kind === 'safe') return this.tryNext('broken');
    this.refuse(502, 'outcome_unknown');
  }

  /**
   * Tries another target after an attempt that sent no bytes and therefore does
   * not count against the attempt limit.
   */
  private tryUnsentAgain(): void {
    this.sentAttempts--;
    if (++this.unsentAttempts < MAX_UNSENT_ATTEMPTS)
      return this.tryNext('unsent');
    this.giveUpIfIdle('unsent');
  }

  /** Ends the call without a further attempt if no attempt is running. */
  private giveUpIfIdle(why: string): void {
    const isBusy = this.open.size > 0 || this.pendingSends > 0;
    if (isBusy || this.isSettled) return;
    if (this.sendFallback()) return;
    this.record.addGivenUp(why, [...this.tried]);
    if (this.mayHaveRun) return this.refuse(502, 'outcome_unknown');
    const waitMs = this.context.calls.readWaitMs(
      this.request.service,
      this.request.allowedZones,
    );
    if (waitMs > 0) {
      const leftMs = this.request.expiresAt - this.context.readNow();
      return this.refuse(503, 'overloaded', chooseRetryAfterMs(waitMs, leftMs));
    }
    this.refuse(503, this.tried.size === 0 ? 'no_target' : 'not_run');
  }

  /**
   * Refuses a call whose content is refused from now on, and cancels its
   * attempts. An unsafe call in flight may have been executed, so its answer is
   * awaited.
   */
  private refuseSuspect(): void {
    if (this.isSettled || this.hasHead) return;
    const {context, request} = this;
    if (request.route.kind === 'unsafe' && this.open.size > 0) return;
    this.mayHaveRun ||= [...this.open].some(({wasSent}) => wasSent);
    if (this.mayHaveRun) return this.refuse(502, 'outcome_unknown');
    const leftMs = context.suspects.readRefusalLeftMs(request.fingerprint);
    this.refuse(503, 'crashes_servers', leftMs);
  }

  private sendResponse(
    answer: CompleteResponse,
    target: Target | undefined,
  ): void {
    if (this.isSettled) return;
    const {status, headers, held, framing} = answer;
    const {caller} = this.request;
    if (this.fallbackResponse !== answer) this.fallbackResponse?.held.release();
    this.fallbackResponse = undefined;
    caller.onClose(() => held.release());
    caller.sendComplete(status, headers, held.bytes, framing);
    this.settle('answered', target);
  }

  /**
   * @param retryAfterMs - Delay until a retry may help, in ms; by default a short
   *   one for requests that did not run.
   */
  private refuse(
    status: number,
    reason: GateErrorReason,
    retryAfterMs?: number,
  ): void {
    if (this.isSettled) return;
    const {context, request} = this;
    const leftMs = request.expiresAt - context.readNow();
    const retryDelayMs =
      status === 503
        ? (retryAfterMs ?? chooseRetryAfterMs(0, leftMs))
        : undefined;
    request.caller.refuse(status, reason, retryDelayMs);
    this.settle(reason);
  }

  private settle(outcome: string, target?: Target): void {
    if (this.isSettled) return;
    this.isSettled = true;
    clearTimeout(this.deadlineTimer);
    this.hedgeTimeout?.stop();
    this.stopListening?.();
    for (const exchange of this.open) exchange.cancel();
    this.fallbackResponse?.held.release();
    this.record.addEnd({outcome, target, tried: [...this.tried]});
  }
}

/**
 * Forwards one call. The caller gets exactly one response.
 *
 * @example
 * forwardCall(context, request);
 */
export function forwardCall(
  context: ForwardContext,
  request: GateRequest,
): void {
  context.budget.recordRequest(request.service, context.readNow());
  new CallRun(context, request).start();
}
