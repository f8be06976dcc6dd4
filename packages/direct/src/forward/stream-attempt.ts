/**
 * Runs one attempt at a stream: reserves KV cache on prefill helpers if needed,
 * sends the request to the decoding engine and forwards its events.
 */
import {isEarlyCrash} from '@nutmeggauge/core';
import {ExchangeError} from '../errors.js';
import {estimatePrefillMs} from '../placement/engine-model.js';
import {readAnswerBody} from './answer-body.js';
import {createEventSplitter} from './event-splitter.js';
import {forwardErrorAnswer} from './error-answer.js';
import {EventWriter} from './event-writer.js';
import {findFraming} from './exchange.js';
import {readVerdict, recordAnswerFacts} from './judge-answer.js';
import {judgeSilence} from './judge-stall.js';
import {openHelperLease, sendPrompt} from './send-prompt.js';
import {StallTimer, chooseTtftTimeoutMs} from './stall-timer.js';
import type {PlacedPrompt} from '../placement/placed-prompt.js';
import type {EngineCostModel} from '../types.js';
import type {AnswerSource} from './answer-body.js';
import type {EventWriterOptions} from './event-writer.js';
import type {StreamEvent} from './event-splitter.js';
import type {ResponseHead, Exchange} from './exchange.js';
import type {KvLease} from './kv-lease.js';
import type {StallVerdict} from './stall-timer.js';

/**
 * Time without an event after which a stream counts as stalled: a multiple of
 * the inter-token latency objective, and a minimum in ms.
 */
const STALL_ITL_FACTOR = 2.5;
const STALL_MIN_MS = 1000;

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
export interface StreamAttemptOptions extends EventWriterOptions {
  readonly engine: EngineCostModel;
  readonly placed: PlacedPrompt;
  /** Unique name of the attempt, used as the ticket of its reservations. */
  readonly name: string;
  /** Returns true if another attempt is running or may be started. */
  readonly isBackupPossible: () => boolean;
  /**
   * Starts an attempt at another engine; this attempt continues until the other
   * attempt forwards its first event.
   */
  readonly startBackup: () => void;
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
  private readonly writer: EventWriter;
  private readonly createdAt: number;

  constructor(private readonly options: StreamAttemptOptions) {
    this.createdAt = options.context.readNow();
    this.writer = new EventWriter(options);
  }

  /** Runs the attempt; resolves, not rejects, if a target fails. */
  async run(): Promise<AttemptEnd> {
    let lease: KvLease | undefined | 'refused';
    try {
      lease = await openHelperLease(this.options, this.options.name);
      if (lease === 'refused') return {kind: 'no-memory'};
      return await this.runExchange(lease);
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      return {kind: 'failed', error};
    } finally {
      this.hasEnded = true;
      this.writer.stop();
      this.exchange?.cancel();
      if (lease !== 'refused') lease?.close();
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
    this.writer.stop();
    this.exchange?.cancel();
  }

  /** Forwards the events that wait for the engine of another attempt. */
  releaseHeldEvents(): void {
    this.writer.release();
  }

  private async runExchange(lease?: KvLease): Promise<AttemptEnd> {
    // The attempt may have been cancelled while KV cache was being reserved.
    if (this.isCancelled) throw new ExchangeError('cancelled', false);
    const {lastEventId} = this.options.progress;
    const exchange = sendPrompt(this.options, lastEventId, lease);
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

  /**
   * Starts a backup attempt if that helps. This attempt continues in either case,
   * as its engine may resume first.
   */
  private judgeStall(): StallVerdict {
    const {context, placed, isBackupPossible, startBackup} = this.options;
    const {request, engine} = this.options;
    if (!isBackupPossible()) return 'ignore';
    const {lastEventAt} = this;
    const silent = {context, request, engine, placed, lastEventAt};
    const verdict = judgeSilence(silent);
    if (verdict !== 'backup') return verdict;
    startBackup();
    return 'wait';
  }

  private async readResponse(
    exchange: Exchange,
    stallTimer: StallTimer,
  ): Promise<AttemptEnd> {
    const {context, request, placed, progress, isBackupPossible} = this.options;
    const head = await exchange.head;
    const {verdict, facts} = readVerdict(
      head,
      context.dialect,
      request.facts.requestId,
    );
    if (verdict !== 'foreign')
      recordAnswerFacts(context, placed.target, head, facts);
    if (verdict === 'not-run')
      return {kind: 'not-run', faultyAddress: facts.faultyAddress};
    if (verdict === 'foreign') throw new ExchangeError('foreign-answer', true);
    const source = {context, request, target: placed.target, exchange};
    if (head.status !== 200) {
      const hasAlternative = () => progress.hasHead || isBackupPossible();
      await forwardErrorAnswer(source, head, hasAlternative);
      return {kind: 'passed-on'};
    }
    this.startResponse(head);
    await this.forwardEvents(source, head, stallTimer);
    this.writer.finish();
    request.caller.finish();
    return {kind: 'done'};
  }

  private startResponse(head: ResponseHead): void {
    const {request, progress} = this.options;
    // A resumed stream keeps the response head of its first engine.
    if (progress.hasHead) return;
    // With chunks, a gate that is killed in the middle of a stream leaves no whole one.
    request.caller.start(head.status, head.message.rawHeaders, 'chunked');
    progress.hasHead = true;
  }

  private async forwardEvents(
    source: AnswerSource,
    head: ResponseHead,
    stallTimer: StallTimer,
  ): Promise<void> {
    const {context, request} = this.options;
    const {route} = request;
    const itlObjectiveMs = route.itlObjectiveMs ?? route.objectiveMs;
    const stallMs = Math.max(STALL_MIN_MS, STALL_ITL_FACTOR * itlObjectiveMs);
    const splitter = createEventSplitter(context.heldBytes);
    try {
      for await (const bytes of readAnswerBody(source, head)) {
        const events = splitter.push(bytes);
        if (events.length === 0) continue;
        await this.forwardPart(events, stallTimer, stallMs);
      }
      if (splitter.hasPartialEvent) throw new ExchangeError('truncated', true);
    } finally {
      splitter.close();
    }
    const isEmpty = this.firstEventReceivedAt === undefined;
    if (isEmpty && findFraming(head.message) === 'by-close')
      throw new ExchangeError('truncated', true);
  }

  /** Forwards events, and waits while the caller reads too slowly. */
  private async forwardPart(
    events: readonly StreamEvent[],
    stallTimer: StallTimer,
    stallMs: number,
  ): Promise<void> {
    const {context, request, placed} = this.options;
    if (this.isCancelled) throw new ExchangeError('cancelled', true);
    if (this.firstEventReceivedAt === undefined) placed.markFirstToken();
    stallTimer.restart(stallMs);
    const now = context.readNow();
    this.lastEventAt = now;
    this.recordProgress(now);
    context.health.markActive(placed.target.id, now);
    this.writer.push(events);
    if (request.caller.hasRoom) return;
    // The engine is not silent while nothing is read of it.
    stallTimer.stop();
    await request.caller.waitForRoom();
    stallTimer.restart(stallMs);
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
}
