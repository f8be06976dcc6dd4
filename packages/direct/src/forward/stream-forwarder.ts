/**
 * Forwards a stream. When its engine dies, stalls or garbles, another one
 * goes on after the last whole event that the caller has, inside the same
 * answer, where the route allows it.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {PlacedPrompt} from '../placement/prompt-placer.js';
import {chooseReturnMs} from './retry-after.js';
import {StreamAttempt} from './stream-attempt.js';
import {StreamProgress} from './stream-progress.js';
import type {WaitingLine} from '../admission/waiting-line.js';
import type {LaterPlace, PlaceOutcome} from '../placement/prompt-placer.js';
import type {EngineFigures, Target} from '../types.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';
import type {AttemptEnd} from './stream-attempt.js';

/**
 * Wait of a caller that finds all places taken, in ms: about as long as a
 * place is held, so that it does not meet the same streams again.
 */
const OVERLOAD_RETURN_MS = 1200;

/** Time left below which no further engine is tried, in ms. */
const MIN_RETRY_LEFT_MS = 250;

/** How often a stream whose connection could not be opened is placed again. */
const MAX_UNSENT_TRIES = 4;

/**
 * Longest time until a prompt that is kept back is looked at again, in ms:
 * about a pass, since what others send meanwhile changes the picture.
 */
const LOOK_AGAIN_MS = 60;

/** An end of an attempt after which the caller still wants an answer. */
type FailedEnd = Exclude<AttemptEnd, {kind: 'done' | 'passed-on'}>;

function isLater(outcome: PlaceOutcome): outcome is LaterPlace {
  return typeof outcome === 'object' && !(outcome instanceof PlacedPrompt);
}

/** One stream on its way. */
class StreamRun {
  private readonly tried = new Set<string>();
  private readonly progress: StreamProgress;
  private sends = 0;
  private unsentTries = 0;
  private mayHaveRun = false;
  /** True when the budget has paid for the next attempt already. */
  private isRetryClaimed = false;
  private isSettled = false;
  private expiry: NodeJS.Timeout | undefined;
  private attempt: StreamAttempt | undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
    private readonly engine: EngineFigures,
  ) {
    this.progress = new StreamProgress(request.arrivedAt, request.lastEventId);
  }

  async run(): Promise<void> {
    const {request, context} = this;
    request.caller.onLeave(() => this.settle('caller_left'));
    this.expiry = setTimeout(
      () => this.endWith(504, 'timeout'),
      request.expiresAt - context.readNow(),
    );
    while (!this.isSettled) {
      const placed = await this.place();
      if (placed === undefined) return;
      const end = await this.tryOnce(placed);
      if (this.isSettled) return;
      this.handleEnd(placed, end);
    }
  }

  private get line(): WaitingLine {
    return this.context.lines.find(this.request.service);
  }

  /** Places the stream, or answers the caller when it cannot be. */
  private async place(): Promise<PlacedPrompt | undefined> {
    const {context, request} = this;
    const leftMs = request.expiresAt - context.readNow();
    if (this.sends > 0 && leftMs < MIN_RETRY_LEFT_MS) {
      this.giveUp('no_time_left');
      return undefined;
    }
    // A stream that was begun or failed once has waited already.
    const mayOverfill = this.sends > 0 || this.unsentTries > 0;
    let result = await this.waitForMoment(mayOverfill);
    if (result === 'full' && !this.isSettled)
      result = await this.waitForPlace();
    if (this.isSettled) {
      if (result instanceof PlacedPrompt) result.release();
      return undefined;
    }
    if (result instanceof PlacedPrompt) return this.checkInTime(result);
    if (result === 'none') this.giveUp('no_target');
    else this.refuse('overloaded', OVERLOAD_RETURN_MS);
    return undefined;
  }

  /**
   * Keeps a prompt back while sending it would cost others more than it
   * gains, as long as it can still be answered in time.
   */
  private async waitForMoment(
    mayOverfill: boolean,
  ): Promise<PlacedPrompt | 'full' | 'none'> {
    for (;;) {
      const result = this.tryPlace(mayOverfill);
      if (!isLater(result)) return result;
      this.recordKept(result);
      await sleep(Math.min(result.waitMs, LOOK_AGAIN_MS));
      if (this.isSettled) return 'full';
    }
  }

  private tryPlace(mayOverfill: boolean): PlaceOutcome {
    const {context, request} = this;
    const {route, facts} = request;
    const elapsedMs = context.readNow() - request.arrivedAt;
    return context.prompts.place(
      {
        service: request.service,
        promptTokens: facts.promptTokens ?? 0,
        maxOutputTokens: facts.maxOutputTokens ?? 0,
        goalMs: route.goalMs,
        goalLeftMs: route.goalMs - elapsedMs,
        gapGoalMs: route.gapGoalMs ?? route.goalMs,
      },
      this.engine,
      this.tried,
      mayOverfill,
    );
  }

  private async waitForPlace(): Promise<PlacedPrompt | 'full' | 'none'> {
    const {request, context} = this;
    let result: PlacedPrompt | 'full' | 'none' = 'full';
    const leave = new AbortController();
    request.caller.onLeave(() => leave.abort());
    const predictedMs = this.line.estimateWaitMs();
    const outcome = await this.line.enter(
      {
        arrivedAt: request.arrivedAt,
        goalMs: request.route.goalMs,
        promptTokens: request.facts.promptTokens ?? 0,
        tryPlace: () => {
          const outcome = this.tryPlace(false);
          result = isLater(outcome) ? 'full' : outcome;
          return result !== 'full';
        },
      },
      leave.signal,
    );
    context.counters.add(`line.${outcome}`);
    context.log.info('waited_for_place', {
      requestId: request.facts.requestId,
      outcome,
      predictedMs: Math.round(predictedMs),
      inLine: this.line.length,
      ms: Math.round(context.readNow() - request.arrivedAt),
    });
    return result;
  }

  /** Gives the place back when the answer would come after the deadline. */
  private checkInTime(placed: PlacedPrompt): PlacedPrompt | undefined {
    const leftMs = this.request.expiresAt - this.context.readNow();
    if (placed.choice.predictedFirstMs <= leftMs) return placed;
    placed.release();
    this.refuse('too_late', placed.choice.predictedFirstMs - leftMs);
    return undefined;
  }

  private async tryOnce(placed: PlacedPrompt): Promise<AttemptEnd> {
    const {context, request, engine, progress} = this;
    const placedAt = context.readNow();
    this.sends++;
    this.recordPlacement(placed);
    this.attempt = new StreamAttempt({
      context,
      request,
      engine,
      placed,
      progress,
      name: `${request.facts.requestId ?? 'none'}-${this.sends}-${this.unsentTries}`,
      mayFollow: this.isRetryLeft(),
      claimFollow: () => this.claimFollow(placed),
    });
    let end: AttemptEnd;
    try {
      end = await this.attempt.run();
    } finally {
      placed.release();
    }
    if (end.kind === 'done') this.line.recordHold(context.readNow() - placedAt);
    return end;
  }

  /** A stream that cannot be resumed may run once only. */
  private isRetryLeft(): boolean {
    const {isResumable, maxAttempts} = this.request.route;
    return isResumable && this.sends < maxAttempts;
  }

  /** Claimed before the end of an attempt, as others stall at the same time. */
  private claimFollow({choice}: PlacedPrompt): boolean {
    const leftMs = this.request.expiresAt - this.context.readNow();
    if (leftMs < Math.max(MIN_RETRY_LEFT_MS, choice.predictedFirstMs))
      return false;
    return this.claimRetry();
  }

  private claimRetry(): boolean {
    const {context, request} = this;
    this.isRetryClaimed ||= context.budget.claimRetry(
      request.service,
      context.readNow(),
    );
    return this.isRetryClaimed;
  }

  private handleEnd(placed: PlacedPrompt, end: AttemptEnd): void {
    if (end.kind === 'done') {
      this.context.health.recordSuccess(placed.target.id);
      return this.settle('answered', placed.target);
    }
    if (end.kind === 'passed-on')
      return this.settle('target_failure', placed.target);
    this.markCulprit(placed, end);
    this.recordFailure(placed, end);
    const isUnsent =
      end.kind === 'no-memory' || (end.kind === 'failed' && !end.error.wasSent);
    if (isUnsent) return this.countUnsent();
    if (end.kind === 'not-run') return this.claimNextAttempt(true);
    this.mayHaveRun = true;
    this.claimNextAttempt(this.request.route.isResumable);
  }

  /** Nothing left this host: the attempt does not count as one. */
  private countUnsent(): void {
    this.sends--;
    if (++this.unsentTries >= MAX_UNSENT_TRIES) this.giveUp('unsent');
  }

  private claimNextAttempt(isAllowed: boolean): void {
    if (!isAllowed) return this.giveUp('not_repeatable');
    if (this.sends >= this.request.route.maxAttempts)
      return this.giveUp('attempts_spent');
    if (!this.claimRetry()) return this.giveUp('retry_budget_spent');
    this.isRetryClaimed = false;
  }

  /** Notes who failed, so that the next attempt goes elsewhere. */
  private markCulprit(placed: PlacedPrompt, end: FailedEnd): void {
    const {health, readNow} = this.context;
    if (end.kind === 'no-memory') {
      // Full is not faulty: only this stream looks elsewhere.
      for (const {target} of placed.choice.reservations) this.tried.add(target);
      return;
    }
    const faulty = end.kind === 'not-run' ? end.faultyAddress : undefined;
    const helper = placed.helpers.find(
      ({host, port}) => `${host}:${port}` === faulty,
    );
    const culprit = helper ?? placed.target;
    const isUnsent = end.kind === 'failed' && !end.error.wasSent;
    this.tried.add(culprit.id);
    if (end.kind === 'failed' && !end.error.isByTarget) return;
    health.recordFailure(
      culprit.id,
      readNow(),
      isUnsent || helper !== undefined,
    );
  }

  private giveUp(why: string): void {
    this.context.log.warn('request_given_up', {
      requestId: this.request.facts.requestId,
      why,
      tried: [...this.tried],
      events: this.progress.eventsSent,
    });
    this.refuse(why === 'no_target' ? 'no_target' : 'not_run', 0);
  }

  private refuse(
    reason: 'no_target' | 'not_run' | 'too_late' | 'overloaded',
    queueMs: number,
  ): void {
    const {context, request} = this;
    // "Not run" is said only of what has not run, whatever stops it now.
    if (this.progress.hasHead || this.mayHaveRun)
      return this.endWith(502, 'outcome_unknown');
    const leftMs = request.expiresAt - context.readNow();
    request.caller.refuse(503, reason, chooseReturnMs(queueMs, leftMs));
    this.settle(reason);
  }

  private endWith(status: number, reason: 'timeout' | 'outcome_unknown'): void {
    if (this.isSettled) return;
    this.request.caller.refuse(status, reason);
    this.settle(reason);
  }

  private settle(outcome: string, target?: Target): void {
    if (this.isSettled) return;
    this.isSettled = true;
    clearTimeout(this.expiry);
    this.attempt?.cancel();
    const {context, request} = this;
    context.counters.add(`stream.${outcome}`);
    const isGood = outcome === 'answered' || outcome === 'caller_left';
    context.log[isGood ? 'info' : 'warn']('request_ended', {
      requestId: request.facts.requestId,
      route: request.route.name,
      kind: request.route.kind,
      account: request.account,
      outcome,
      status: request.caller.status,
      target: target?.id,
      tried: [...this.tried],
      sends: this.sends,
      tokens: request.facts.promptTokens,
      ...this.progress.describe(),
      ms: Math.round(context.readNow() - request.arrivedAt),
      configVersion: request.configVersion,
      factsAgeMs: Math.round(context.readFactsAgeMs()),
    });
  }

  private recordKept({waitMs, predictedFirstMs}: LaterPlace): void {
    const {context, request} = this;
    context.counters.add('stream.kept');
    context.log.info('stream_kept', {
      requestId: request.facts.requestId,
      waitMs,
      predictedFirstMs: Math.round(predictedFirstMs),
    });
  }

  private recordPlacement({choice}: PlacedPrompt): void {
    const {context, request} = this;
    this.progress.recordChoice(choice);
    context.counters.add('stream.placed');
    context.counters.add('stream.readers', choice.parts.length);
    context.log.info('stream_placed', {
      requestId: request.facts.requestId,
      attempt: this.sends,
      tokens: request.facts.promptTokens,
      first: choice.first,
      helpers: choice.parts.slice(1).map(part => part.target),
      partMs: Math.round(choice.parts[0].workMs),
      backlogMs: Math.round(choice.backlogMs),
      predictedFirstMs: Math.round(choice.predictedFirstMs),
      memoryTokens: choice.memoryTokens,
      reservations: choice.reservations.length,
      cost: Number(choice.cost.toFixed(3)),
      factsAgeMs: Math.round(context.readFactsAgeMs()),
    });
  }

  private recordFailure(placed: PlacedPrompt, end: FailedEnd): void {
    const {context, request} = this;
    const outcome = end.kind === 'failed' ? end.error.fault : end.kind;
    context.counters.add(`stream.attempt_${outcome}`);
    context.log.warn('attempt_failed', {
      requestId: request.facts.requestId,
      target: placed.target.id,
      helpers: placed.helpers.length,
      faulty: end.kind === 'not-run' ? end.faultyAddress : undefined,
      outcome,
      attempt: this.sends,
      events: this.progress.eventsSent,
      ms: Math.round(context.readNow() - request.arrivedAt),
    });
  }
}

/**
 * Forwards one stream; the caller gets exactly one answer.
 *
 * @example
 * forwardStream(context, request, engine);
 */
export function forwardStream(
  context: ForwardContext,
  request: GateRequest,
  engine: EngineFigures,
): void {
  context.budget.recordRequest(request.service, context.readNow());
  void new StreamRun(context, request, engine).run();
}
