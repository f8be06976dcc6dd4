/**
 * Runs one attempt at a stream: reserves KV cache on prefill helpers if needed,
 * sends the request to the decoding engine and forwards its events.
 */
import {isEarlyCrash} from '@nutmeggauge/core';
import {ExchangeError} from '../errors.js';
import {ITERATION_SLACK_MS} from '../placement/engine-iterations.js';
import {estimatePrefillMs} from '../placement/engine-model.js';
import {estimatePatienceMs} from '../placement/loss.js';
import {createEventSplitter} from './event-splitter.js';
import {findFraming} from './exchange.js';
import {readVerdict, recordAnswerFacts} from './judge-answer.js';
import {openKvLease} from './kv-lease.js';
import {RequestSendCheck} from './send-check.js';
import {
  LIVENESS_WINDOW_MS,
  StallTimer,
  chooseTtftTimeoutMs,
} from './stall-timer.js';
import type {PlacedPrompt} from '../placement/placed-prompt.js';
import type {EngineCostModel} from '../types.js';
import type {ForwardContext} from './context.js';
import type {StreamEvent} from './event-splitter.js';
import type {ResponseHead, Exchange} from './exchange.js';
import type {KvLease, LivenessCheck} from './kv-lease.js';
import type {GateRequest} from './request.js';
import type {StallVerdict} from './stall-timer.js';
import type {StreamProgress} from './stream-progress.js';

/**
 * Time without an event after which a stream counts as stalled: a multiple of
 * the inter-token latency objective, and a minimum in ms.
 */
const STALL_ITL_FACTOR = 2.5;
const STALL_MIN_MS = 1000;

/** Time until the first event of a backup attempt, in ms. */
const BACKUP_START_MS = 350;

/** Period within which bytes of an engine show that it is alive, in ms. */
const ACTIVITY_WINDOW_MS = 400;

/**
 * Engine priority by maximum prompt size in tokens; short prompts go first.
 */
const PRIORITY_BY_TOKENS: ReadonlyArray<readonly [number, number]> = [
  [16_000, 2],
  [80_000, 4],
  [Infinity, 5],
];

/** Result of an attempt. */
export type AttemptEnd =
  /** The caller has received the complete stream. */
  | {readonly kind: 'done'}
  /** The caller has received an error response of the target. */
  | {readonly kind: 'passed-on'}
  /** Helpers lacked KV cache, so the request was not sent. */
  | {readonly kind: 'no-memory'}
  | {readonly kind: 'not-run'; readonly faultyAddress: string | undefined}
  | {readonly kind: 'failed'; readonly error: ExchangeError};

/** Result of an attempt after which the response is still incomplete. */
export type FailedEnd = Exclude<AttemptEnd, {kind: 'done' | 'passed-on'}>;

/** Options of an attempt. */
export interface StreamAttemptOptions {
  readonly context: ForwardContext;
  readonly request: GateRequest;
  readonly engine: EngineCostModel;
  readonly placed: PlacedPrompt;
  readonly progress: StreamProgress;
  /** Unique name of the attempt, used as the ticket of its reservations. */
  readonly name: string;
  /** Returns true if another attempt is running or may be started. */
  readonly isBackupPossible: () => boolean;
  /**
   * Starts an attempt at another engine; this attempt continues until the other
   * attempt forwards its first event.
   */
  readonly startBackup: () => void;
  /**
   * Claims the caller's response for this attempt; returns false if another
   * attempt has claimed it.
   */
  readonly claimResponse: () => boolean;
  /**
   * Returns the time for which an event waits for the engine of another attempt,
   * in ms; 0 if it is forwarded at once.
   */
  readonly chooseHoldMs: () => number;
}

/**
 * One attempt at a stream.
 *
 * @example
 * const end = await new StreamAttempt(options).run();
 */
export class StreamAttempt {
  private exchange: Exchange | undefined;
  private isCancelled = false;
  private hasEnded = false;
  private exchangeOpenedAt: number | undefined;
  private firstEventReceivedAt: number | undefined;
  /** Whether the answer has outlived its begin. */
  private hasLasted = false;
  /** Time of the newest event of this attempt; absent before the first one. */
  private lastEventAt: number | undefined;
  /** Events that wait for the engine of another attempt. */
  private heldEvents: StreamEvent[] = [];
  private holdTimer: NodeJS.Timeout | undefined;

  private readonly createdAt: number;

  constructor(private readonly options: StreamAttemptOptions) {
    this.createdAt = options.context.readNow();
  }

  /** Runs the attempt; resolves, not rejects, if a target fails. */
  async run(): Promise<AttemptEnd> {
    const lease = await this.openLease();
    if (lease === 'refused') return {kind: 'no-memory'};
    try {
      return await this.runExchange(lease);
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      return {kind: 'failed', error};
    } finally {
      this.hasEnded = true;
      clearTimeout(this.holdTimer);
      this.exchange?.cancel();
      lease?.close();
    }
  }

  /**
   * Time of the first event of this attempt on the monotonic clock, in ms; absent
   * before.
   */
  get firstEventAt(): number | undefined {
    return this.firstEventReceivedAt;
  }

  /**
   * Time at which the request was sent, or when the attempt was created if it was
   * not sent, in ms.
   */
  get sentAt(): number {
    return this.exchangeOpenedAt ?? this.createdAt;
  }

  /** True while the attempt runs and has received an event. */
  get isStreaming(): boolean {
    return !this.hasEnded && this.firstEventReceivedAt !== undefined;
  }

  /** True if bytes of the request may have reached the engine. */
  get wasSent(): boolean {
    return this.exchange?.wasSent ?? false;
  }

  /** True if another server took over the address of the engine. */
  get isEngineReplaced(): boolean {
    return this.exchange?.isReplaced ?? false;
  }

  /** Cancels the attempt, so that the engine drops the request. */
  cancel(): void {
    this.isCancelled = true;
    clearTimeout(this.holdTimer);
    this.exchange?.cancel();
  }

  /** Forwards the events that wait for the engine of another attempt. */
  releaseHeldEvents(): void {
    clearTimeout(this.holdTimer);
    if (this.isCancelled || this.hasEnded || this.heldEvents.length === 0)
      return;
    if (this.options.claimResponse()) this.writeHeldEvents();
  }

  private async openLease(): Promise<KvLease | undefined | 'refused'> {
    const {context, placed, name} = this.options;
    const {reservations} = placed.choice;
    if (reservations.length === 0) return undefined;
    const kvRequests = reservations.flatMap(({target, tokens}) => {
      const helper = placed.helpers.find(({id}) => id === target);
      return helper === undefined ? [] : [{target: helper, tokens}];
    });
    const lease = await openKvLease(
      context.reservations,
      name,
      kvRequests,
      this.createLivenessCheck(),
    );
    return lease ?? 'refused';
  }

  private createLivenessCheck(): LivenessCheck {
    const {health, readNow, reports} = this.options.context;
    const {target} = this.options.placed;
    return {
      isActive: () =>
        health.isActiveSince(target.id, readNow() - ACTIVITY_WINDOW_MS),
      ask: async () => (await reports.read(target)) !== undefined,
    };
  }

  private async runExchange(lease?: KvLease): Promise<AttemptEnd> {
    // The attempt may have been cancelled while KV cache was being reserved.
    if (this.isCancelled) throw new ExchangeError('cancelled', false);
    const exchange = this.sendToDecoder(lease);
    this.exchange = exchange;
    this.exchangeOpenedAt = this.options.context.readNow();
    const stallTimer = new StallTimer(() => this.judgeStall());
    const {request, engine, placed} = this.options;
    const prefillMs = estimatePrefillMs(
      request.facts.promptTokens ?? 0,
      engine,
    );
    const {predictedTtftMs} = placed.choice;
    stallTimer.restart(
      chooseTtftTimeoutMs(
        predictedTtftMs,
        prefillMs,
        request.route.objectiveMs,
      ),
    );
    try {
      return await this.readResponse(exchange, stallTimer);
    } finally {
      stallTimer.stop();
    }
  }

  private sendToDecoder(lease?: KvLease): Exchange {
    const {context, request, placed, progress} = this.options;
    const tokens = request.facts.promptTokens ?? 0;
    const priority = PRIORITY_BY_TOKENS.find(([most]) => tokens <= most)?.[1];
    return context.exchanges.open({
      target: placed.target,
      method: request.method,
      path: request.path,
      headers: context.dialect.buildForTarget(request.headers, {
        deadlineLeftMs: request.expiresAt - context.readNow(),
        target: placed.target,
        account: request.account,
        priority,
        helpers: placed.helpers.map(target => ({
          target,
          ticket: lease?.findTicket(target.id),
        })),
        lastEventId: progress.lastEventId,
      }),
      body: request.body,
      sendCheck: new RequestSendCheck(context, request, placed.target),
    });
  }

  /**
   * Starts a backup attempt if a retry is allowed, another engine has a free
   * slot, and this engine is neither expected to be prefilling nor sending
   * bytes for other requests, since a second prefill adds load. This attempt
   * continues in either case, as its engine may resume first.
   */
  private judgeStall(): StallVerdict {
    const {context, placed, isBackupPossible, startBackup} = this.options;
    const {request, engine} = this.options;
    const {health, readNow, prompts} = context;
    if (!isBackupPossible()) return 'ignore';
    if (placed.isPrefilling()) return 'wait';
    const others = new Set([placed.target.id]);
    if (!prompts.isSlotFree(request.service, engine, others)) return 'wait';
    if (health.isActiveSince(placed.target.id, readNow() - LIVENESS_WINDOW_MS))
      return 'wait';
    const waitMs = this.chooseIterationWaitMs();
    if (waitMs > 0) return waitMs;
    startBackup();
    return 'wait';
  }

  /**
   * Returns the time until the engine of a begun stream ends its predicted
   * iteration, in ms; 0 if a backup that starts then would come too late.
   */
  private chooseIterationWaitMs(): number {
    const {context, request, placed} = this.options;
    if (this.lastEventAt === undefined) return 0;
    const leftMs = placed.estimateIterationLeftMs();
    if (leftMs === 0) return 0;
    const {route} = request;
    const patienceMs = estimatePatienceMs({
      objectiveMs: route.objectiveMs,
      itlObjectiveMs: route.itlObjectiveMs ?? route.objectiveMs,
    });
    const silentMs = context.readNow() - this.lastEventAt;
    const waitMs = leftMs + ITERATION_SLACK_MS;
    return silentMs + waitMs + BACKUP_START_MS <= patienceMs ? waitMs : 0;
  }

  private async readResponse(
    exchange: Exchange,
    stallTimer: StallTimer,
  ): Promise<AttemptEnd> {
    const {context, request} = this.options;
    const head = await exchange.head;
    const {verdict, facts} = readVerdict(
      head,
      context.dialect,
      request.facts.requestId,
    );
    if (verdict !== 'foreign')
      recordAnswerFacts(context, this.options.placed.target, head, facts);
    if (verdict === 'not-run')
      return {kind: 'not-run', faultyAddress: facts.faultyAddress};
    if (verdict === 'foreign') throw new ExchangeError('foreign-answer', true);
    if (head.status !== 200) return this.forwardFailure(exchange, head);
    this.startResponse(head);
    await this.forwardEvents(exchange, head, stallTimer);
    this.claimResponse();
    this.writeHeldEvents();
    request.caller.finish();
    return {kind: 'done'};
  }

  private claimResponse(): void {
    if (!this.options.claimResponse())
      throw new ExchangeError('cancelled', true);
  }

  private startResponse(head: ResponseHead): void {
    const {request, progress} = this.options;
    // A resumed stream keeps the response head of its first engine.
    if (progress.hasHead) return;
    request.caller.start(head.status, head.message.rawHeaders);
    progress.hasHead = true;
  }

  private async forwardEvents(
    exchange: Exchange,
    head: ResponseHead,
    stallTimer: StallTimer,
  ): Promise<void> {
    const {context, request, placed} = this.options;
    const {route} = request;
    const itlObjectiveMs = route.itlObjectiveMs ?? route.objectiveMs;
    const stallMs = Math.max(STALL_MIN_MS, STALL_ITL_FACTOR * itlObjectiveMs);
    const splitter = createEventSplitter();
    for await (const bytes of exchange.readBody(head)) {
      const events = splitter.push(bytes);
      if (events.length === 0) continue;
      if (this.isCancelled) throw new ExchangeError('cancelled', true);
      if (this.firstEventReceivedAt === undefined) placed.markFirstToken();
      stallTimer.restart(stallMs);
      const now = context.readNow();
      this.lastEventAt = now;
      this.recordProgress(now);
      context.health.markActive(placed.target.id, now);
      this.forwardOrHold(events);
    }
    if (splitter.hasPartialEvent) throw new ExchangeError('truncated', true);
    if (findFraming(head.message) === 'by-close') await this.checkUnframedEnd();
  }

  /**
   * Checks the end of an answer without a length, which a crash looks like.
   *
   * @throws ExchangeError if the answer has no event or its server has crashed.
   */
  private async checkUnframedEnd(): Promise<void> {
    const {context, placed} = this.options;
    const isEmpty = this.firstEventReceivedAt === undefined;
    if (isEmpty || (await context.crashes.isCrashEnd(placed.target)))
      throw new ExchangeError('truncated', true);
  }

  /** Tells what the events show about the parts of the prompt. */
  private recordProgress(now: number): void {
    const {context, request} = this.options;
    const {fingerprint} = request;
    if (this.firstEventReceivedAt === undefined) {
      this.firstEventReceivedAt = now;
      context.suspects.recordBegin(fingerprint);
    }
    if (this.hasLasted || isEarlyCrash(this.firstEventReceivedAt, now)) return;
    this.hasLasted = true;
    context.suspects.recordLasting(fingerprint, this.firstEventReceivedAt);
  }

  private forwardOrHold(events: readonly StreamEvent[]): void {
    // An engine that sends more while an event is held goes on.
    const holdMs = this.heldEvents.length > 0 ? 0 : this.options.chooseHoldMs();
    this.heldEvents.push(...events);
    if (holdMs > 0) {
      this.holdTimer = setTimeout(() => this.releaseHeldEvents(), holdMs);
      return;
    }
    this.claimResponse();
    this.writeHeldEvents();
  }

  private writeHeldEvents(): void {
    const {context, request, progress} = this.options;
    clearTimeout(this.holdTimer);
    const now = context.readNow();
    for (const event of this.heldEvents.splice(0)) {
      request.caller.write(event.bytes);
      const ttftMs = progress.recordEvent(event.id, now);
      if (ttftMs !== undefined) context.ttftMs.recordMs(ttftMs);
    }
  }

  /**
   * Forwards an error response of the target if no event has been sent and no
   * other attempt is possible.
   */
  private async forwardFailure(
    exchange: Exchange,
    head: ResponseHead,
  ): Promise<AttemptEnd> {
    const {request, progress, isBackupPossible} = this.options;
    const body = await exchange.readWholeBody(head);
    if (progress.hasHead || isBackupPossible())
      throw new ExchangeError('malformed', true);
    request.caller.sendComplete(
      head.status,
      head.message.rawHeaders,
      body,
      findFraming(head.message),
    );
    return {kind: 'passed-on'};
  }
}
