/**
 * Forwards a stream event by event. When its engine dies, stalls or garbles,
 * another one goes on after the last whole event that the caller has, inside
 * the same answer, where the route allows it.
 */
import {ExchangeError} from '../errors.js';
import {createEventSplitter} from './event-splitter.js';
import {findFraming, openExchange} from './exchange.js';
import {readVerdict} from './judge-answer.js';
import {openMemoryLease} from './memory-lease.js';
import {estimateReadMs} from '../placement/engine-model.js';
import {PlacedPrompt} from '../placement/prompt-placer.js';
import {chooseReturnMs} from './retry-after.js';
import type {WaitingLine} from '../admission/waiting-line.js';
import type {EngineFigures, Target} from '../types.js';
import type {ForwardContext} from './context.js';
import type {AnswerHead, Exchange} from './exchange.js';
import type {MemoryLease} from './memory-lease.js';
import type {GateRequest} from './request.js';

/**
 * Time without the first event after which another engine is tried, in ms:
 * the prediction, twice over for its error, and a slack.
 */
const FIRST_EVENT_FACTOR = 2;
const FIRST_EVENT_SLACK_MS = 700;

/**
 * The slack for a prompt that takes long to read: a helper's death is told by
 * the engine itself after a stall of 1,500 ms, and sent again too early such
 * a prompt is read twice by engines that were merely busy.
 */
const LONG_READ_MS = 400;
const LONG_READ_SLACK_MS = 2500;

/**
 * Time between two events after which another engine goes on: a pause of
 * several objectives, at least what one long part beside it may take, in ms.
 */
const STALL_GAPS = 2.5;
const STALL_MIN_MS = 1000;

/**
 * Wait of a caller that finds all places taken, in ms: about as long as a
 * place is held, so that it does not meet the same streams again.
 */
const OVERLOAD_RETURN_MS = 1200;

/** Time in which another answer of an engine shows that it lives, in ms. */
const HEARD_MS = 600;

/** Time left below which no further engine is tried, in ms. */
const MIN_RETRY_LEFT_MS = 250;

/** How often a stream whose connection could not be opened is placed again. */
const MAX_UNSENT_TRIES = 4;

/** Urgency for the engine, by prompt size: short prompts are admitted first. */
const URGENCY_BY_TOKENS: ReadonlyArray<readonly [number, number]> = [
  [16_000, 2],
  [80_000, 4],
  [Infinity, 5],
];

type AttemptEnd =
  | {readonly kind: 'done'}
  | {readonly kind: 'passed-on'}
  | {
      readonly kind: 'not-run';
      readonly faultyAddress: string | undefined;
    }
  | {readonly kind: 'failed'; readonly error: ExchangeError};

/** One stream on its way. */
class StreamRun {
  private readonly tried = new Set<string>();
  private readonly startedAt: number;
  private sends = 0;
  private unsentTries = 0;
  private mayHaveRun = false;
  private isSettled = false;
  private hasHead = false;
  /** The answer that the caller gets ends with its connection. */
  private isUnframed = false;
  private lastEventId: string | undefined;
  private eventsSent = 0;
  private firstEventAt: number | undefined;
  private longestGapMs = 0;
  private lastEventAt: number | undefined;
  private predictedFirstMs = 0;
  private readers = 0;
  private expiry: NodeJS.Timeout | undefined;
  private exchange: Exchange | undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
    private readonly engine: EngineFigures,
  ) {
    this.startedAt = context.readNow();
    this.lastEventId = request.lastEventId;
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
      const placedAt = context.readNow();
      const end = await this.tryOnce(placed);
      placed.release();
      if (end.kind === 'done')
        this.line.recordHold(context.readNow() - placedAt);
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
    let result = this.tryPlace(mayOverfill);
    if (result === 'full') result = await this.waitForPlace();
    if (this.isSettled) {
      if (result instanceof PlacedPrompt) result.release();
      return undefined;
    }
    if (result instanceof PlacedPrompt) return this.checkInTime(result, leftMs);
    if (result === 'none') this.giveUp('no_target');
    else this.refuse('overloaded', OVERLOAD_RETURN_MS);
    return undefined;
  }

  private tryPlace(mayOverfill: boolean): PlacedPrompt | 'full' | 'none' {
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
        tryPlace: () => {
          result = this.tryPlace(false);
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
  private checkInTime(
    placed: PlacedPrompt,
    leftMs: number,
  ): PlacedPrompt | undefined {
    if (placed.choice.predictedFirstMs <= leftMs) return placed;
    placed.release();
    this.refuse('too_late', placed.choice.predictedFirstMs - leftMs);
    return undefined;
  }

  private async tryOnce(placed: PlacedPrompt): Promise<AttemptEnd> {
    const lease = await this.openLease(placed);
    if (lease === 'refused') return {kind: 'not-run', faultyAddress: undefined};
    if (this.isSettled) {
      lease?.close();
      return {kind: 'done'};
    }
    this.sends++;
    this.recordPlacement(placed);
    const exchange = this.sendTo(placed, lease);
    this.exchange = exchange;
    try {
      return await this.readAnswer(placed, exchange);
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      return {kind: 'failed', error};
    } finally {
      exchange.cancel();
      lease?.close();
    }
  }

  private async openLease(
    placed: PlacedPrompt,
  ): Promise<MemoryLease | undefined | 'refused'> {
    const {reservations} = placed.choice;
    if (reservations.length === 0) return undefined;
    const wishes = reservations.flatMap(({target, tokens}) => {
      const helper = placed.helpers.find(({id}) => id === target);
      return helper === undefined ? [] : [{target: helper, tokens}];
    });
    const name = `${this.request.facts.requestId ?? 'none'}-${this.sends}-${this.unsentTries}`;
    const lease = await openMemoryLease(
      this.context.reservations,
      name,
      wishes,
    );
    return lease ?? 'refused';
  }

  private sendTo(placed: PlacedPrompt, lease?: MemoryLease): Exchange {
    const {context, request} = this;
    const tokens = request.facts.promptTokens ?? 0;
    const urgency = URGENCY_BY_TOKENS.find(([most]) => tokens <= most)?.[1];
    return openExchange({
      target: placed.target,
      method: request.method,
      path: request.path,
      headers: context.dialect.buildForTarget(request.headers, {
        deadlineLeftMs: request.expiresAt - context.readNow(),
        target: placed.target,
        account: request.account,
        urgency,
        helpers: placed.helpers.map(target => ({
          target,
          ticket: lease?.findTicket(target.id),
        })),
        lastEventId: this.lastEventId,
      }),
      body: request.body,
    });
  }

  private async readAnswer(
    placed: PlacedPrompt,
    exchange: Exchange,
  ): Promise<AttemptEnd> {
    const readMs = estimateReadMs(
      this.request.facts.promptTokens ?? 0,
      this.engine,
    );
    const firstLimitMs =
      placed.choice.predictedFirstMs * FIRST_EVENT_FACTOR +
      (readMs > LONG_READ_MS ? LONG_READ_SLACK_MS : FIRST_EVENT_SLACK_MS);
    const stall = new StallTimer(() => this.judgeStall(placed, exchange));
    stall.restart(firstLimitMs);
    try {
      const head = await exchange.head;
      const {dialect} = this.context;
      const {requestId} = this.request.facts;
      const {verdict, facts} = readVerdict(head, dialect, requestId);
      if (verdict === 'not-run')
        return {kind: 'not-run', faultyAddress: facts.faultyAddress};
      if (verdict === 'foreign')
        throw new ExchangeError('foreign-answer', true);
      if (head.status !== 200) return await this.forwardFailure(exchange, head);
      return await this.forwardEvents(placed, exchange, head, stall);
    } catch (error) {
      if (stall.hasFired) throw new ExchangeError('stalled', true);
      throw error;
    } finally {
      stall.stop();
    }
  }

  /**
   * A stall ends the attempt only where another one may follow, and not while
   * the engine answers others: sent again, the prompt would be read twice by
   * engines that have too much to read already.
   */
  private judgeStall(placed: PlacedPrompt, exchange: Exchange): StallVerdict {
    const {health, readNow} = this.context;
    if (this.sends >= this.request.route.maxAttempts) return 'ignore';
    if (health.isHeardSince(placed.target.id, readNow() - HEARD_MS))
      return 'wait';
    exchange.cancel();
    return 'stop';
  }

  private async forwardEvents(
    placed: PlacedPrompt,
    exchange: Exchange,
    head: AnswerHead,
    stall: StallTimer,
  ): Promise<AttemptEnd> {
    const {caller, route} = this.request;
    const splitter = createEventSplitter();
    const gapGoalMs = route.gapGoalMs ?? route.goalMs;
    const stallMs = Math.max(STALL_MIN_MS, STALL_GAPS * gapGoalMs);
    const isResumed = this.hasHead;
    const framing = findFraming(head.message);
    if (!isResumed) caller.start(head.status, head.message.rawHeaders, framing);
    if (!isResumed) this.isUnframed = framing === 'by-close';
    this.hasHead = true;
    this.mayHaveRun = true;
    let isFirst = true;
    try {
      for await (const bytes of head.message as AsyncIterable<Buffer>) {
        const events = splitter.push(bytes);
        if (events.length === 0) continue;
        if (isFirst) placed.markBegun();
        isFirst = false;
        stall.restart(stallMs);
        this.context.health.markHeard(placed.target.id, this.context.readNow());
        for (const event of events) {
          caller.write(event.bytes);
          if (event.id !== undefined) this.lastEventId = event.id;
          this.recordEvent();
        }
      }
    } catch (cause) {
      throw new ExchangeError('truncated', true, cause as Error);
    }
    if (!exchange.isWhole(head.message) || splitter.hasPartialEvent)
      throw new ExchangeError('truncated', true);
    // The caller was promised a framed end that this engine does not give.
    if (framing === 'by-close' && !this.isUnframed)
      throw new ExchangeError('truncated', true);
    caller.finish();
    return {kind: 'done'};
  }

  private recordEvent(): void {
    const now = this.context.readNow();
    this.eventsSent++;
    if (this.firstEventAt === undefined) {
      this.firstEventAt = now;
      this.context.firstEventMs.recordMs(now - this.request.arrivedAt);
    }
    if (this.lastEventAt !== undefined)
      this.longestGapMs = Math.max(this.longestGapMs, now - this.lastEventAt);
    this.lastEventAt = now;
  }

  /** Passes on a failure that the target signed, before any event. */
  private async forwardFailure(
    exchange: Exchange,
    head: AnswerHead,
  ): Promise<AttemptEnd> {
    const parts: Buffer[] = [];
    try {
      for await (const part of head.message as AsyncIterable<Buffer>)
        parts.push(part);
    } catch (cause) {
      throw new ExchangeError('truncated', true, cause as Error);
    }
    if (!exchange.isWhole(head.message))
      throw new ExchangeError('truncated', true);
    if (this.hasHead || this.isRetryLeft())
      throw new ExchangeError('malformed', true);
    const {caller} = this.request;
    caller.sendWhole(
      head.status,
      head.message.rawHeaders,
      Buffer.concat(parts),
      findFraming(head.message),
    );
    return {kind: 'passed-on'};
  }

  private isRetryLeft(): boolean {
    return this.isRepeatable() && this.sends < this.request.route.maxAttempts;
  }

  /** A stream that cannot be resumed may run once only. */
  private isRepeatable(): boolean {
    return this.request.route.isResumable;
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
    if (end.kind === 'not-run') return this.claimNextAttempt(true);
    if (!end.error.wasSent) {
      this.sends--;
      if (++this.unsentTries >= MAX_UNSENT_TRIES) this.giveUp('unsent');
      return;
    }
    this.mayHaveRun = true;
    this.claimNextAttempt(this.isRepeatable());
  }

  private claimNextAttempt(isAllowed: boolean): void {
    const {context, request} = this;
    if (!isAllowed) return this.giveUp('not_repeatable');
    if (this.sends >= request.route.maxAttempts)
      return this.giveUp('attempts_spent');
    if (!context.budget.claimRetry(request.service, context.readNow()))
      return this.giveUp('retry_budget_spent');
  }

  /** Notes who failed, so that the next attempt goes elsewhere. */
  private markCulprit(
    placed: PlacedPrompt,
    end: Extract<AttemptEnd, {kind: 'not-run' | 'failed'}>,
  ): void {
    const {health, readNow} = this.context;
    const isUnsent = end.kind === 'failed' && !end.error.wasSent;
    const culprit =
      end.kind === 'not-run' && end.faultyAddress !== undefined
        ? placed.helpers.find(
            helper => `${helper.host}:${helper.port}` === end.faultyAddress,
          )
        : undefined;
    if (culprit !== undefined) {
      this.tried.add(culprit.id);
      health.recordFailure(culprit.id, readNow(), true);
      return;
    }
    this.tried.add(placed.target.id);
    health.recordFailure(placed.target.id, readNow(), isUnsent);
  }

  private giveUp(why: string): void {
    this.context.log.warn('request_given_up', {
      requestId: this.request.facts.requestId,
      why,
      tried: [...this.tried],
      events: this.eventsSent,
    });
    if (this.hasHead) return this.endWith(502, 'outcome_unknown');
    if (this.mayHaveRun) return this.endWith(502, 'outcome_unknown');
    this.refuse(why === 'no_target' ? 'no_target' : 'not_run', 0);
  }

  private refuse(
    reason: 'no_target' | 'not_run' | 'too_late' | 'overloaded',
    queueMs: number,
  ): void {
    const {context, request} = this;
    if (this.hasHead) return this.endWith(502, 'outcome_unknown');
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
    this.exchange?.cancel();
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
      readers: this.readers,
      predictedFirstMs: Math.round(this.predictedFirstMs),
      firstMs: this.toMsSinceArrival(this.firstEventAt),
      gapMs: Math.round(this.longestGapMs),
      events: this.eventsSent,
      ms: Math.round(context.readNow() - request.arrivedAt),
      configVersion: request.configVersion,
      factsAgeMs: Math.round(context.readFactsAgeMs()),
    });
  }

  private toMsSinceArrival(at: number | undefined): number | undefined {
    return at === undefined
      ? undefined
      : Math.round(at - this.request.arrivedAt);
  }

  private recordPlacement(placed: PlacedPrompt): void {
    this.predictedFirstMs = placed.choice.predictedFirstMs;
    this.readers = placed.choice.parts.length;
    this.context.counters.add('stream.placed');
    this.context.counters.add('stream.readers', this.readers);
    const {first, parts, reservations, memoryTokens, cost} = placed.choice;
    this.context.log.info('stream_placed', {
      requestId: this.request.facts.requestId,
      attempt: this.sends,
      tokens: this.request.facts.promptTokens,
      first,
      helpers: parts.slice(1).map(part => part.target),
      partMs: Math.round(parts[0].workMs),
      backlogMs: Math.round(placed.choice.backlogMs),
      predictedFirstMs: Math.round(this.predictedFirstMs),
      memoryTokens,
      reservations: reservations.length,
      cost: Number(cost.toFixed(3)),
      factsAgeMs: Math.round(this.context.readFactsAgeMs()),
    });
  }

  private recordFailure(
    placed: PlacedPrompt,
    end: Extract<AttemptEnd, {kind: 'not-run' | 'failed'}>,
  ): void {
    const outcome = end.kind === 'failed' ? end.error.fault : end.kind;
    this.context.counters.add(`stream.attempt_${outcome}`);
    this.context.log.warn('attempt_failed', {
      requestId: this.request.facts.requestId,
      target: placed.target.id,
      helpers: placed.helpers.length,
      faulty: end.kind === 'not-run' ? end.faultyAddress : undefined,
      outcome,
      attempt: this.sends,
      events: this.eventsSent,
      ms: Math.round(this.context.readNow() - this.startedAt),
    });
  }
}

/** What to do about a stall. */
type StallVerdict = 'stop' | 'wait' | 'ignore';

/** A timer that is set anew with each sign of life. */
class StallTimer {
  hasFired = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly judge: () => StallVerdict) {}

  restart(ms: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.handleExpiry(), ms);
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private handleExpiry(): void {
    const verdict = this.judge();
    this.hasFired = verdict === 'stop';
    if (verdict === 'wait') this.restart(HEARD_MS);
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
