/**
 * Finds engines for a stream: immediately, after a deferral if that costs less
 * overall, or after a wait in the admission queue.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {PlacedPrompt} from '../placement/placed-prompt.js';
import {isDeferral} from '../placement/prompt-request.js';
import {QueuedStream} from './queued-stream.js';
import {recordPlannedStream} from './record-planned.js';
import type {Deferral, PlacementOutcome} from '../placement/prompt-placer.js';
import type {PromptWait} from '../placement/prompt-wait.js';
import type {RequestPlace} from '../stop/open-request.js';
import type {EngineCostModel} from '../types.js';
import type {ForwardContext} from './context.js';
import type {NoSlotReason} from './no-slot-reason.js';
import type {GateRequest} from './request.js';

/**
 * Maximum time until the placement of a deferred prompt is evaluated again, in
 * ms: about one iteration of an engine.
 */
const REEVALUATE_MS = 60;

/**
 * Longest time until the placement of a begun stream that found no free KV
 * cache is tried again, in ms.
 */
const BEGUN_RETRY_MS = 500;

/**
 * Time until other gates have heard of a placement, in ms; a few round trips
 * within a region.
 */
const TRIAL_SETTLE_MS = 25;

/** Reason for which engines are chosen for a prompt, as measured. */
type ChoiceCause = 'arrival' | 'retry' | 'deferred' | 'queued';

/**
 * Finds the engines for each attempt at one stream.
 *
 * @example
 * const placed = await new SlotFinder(context, request, engine, tried).findSlot(false, signal, false);
 */
export class SlotFinder {
  private choiceCount = 0;
  private wait: PromptWait | undefined;
  /** Where the stream waits for its engines. */
  private waitsIn: RequestPlace = 'choice';
  /** Time at which a deferred stream is expected to be sent, in ms. */
  private deferredUntil = -Infinity;
  private readonly queued: QueuedStream;

  /** @param tried - Ids of the engines to avoid. */
  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
    private readonly engine: EngineCostModel,
    private readonly tried: ReadonlySet<string>,
  ) {
    const place = () => this.tryPlace('queued', false);
    this.queued = new QueuedStream({context, request, engine, tried, place});
  }

  /** Number of times that engines were chosen for the stream. */
  get choices(): number {
    return this.choiceCount;
  }

  /** Where the stream waits for its engines. */
  get place(): RequestPlace {
    return this.waitsIn;
  }

  /** Estimates the time until engines are chosen, in ms. */
  estimateWaitMs(): number {
    if (this.waitsIn === 'queue') return this.queued.estimateLeftMs();
    return Math.max(0, this.deferredUntil - this.context.readNow());
  }

  /**
   * Finds engines for the next attempt, with access if the decoding engine has
   * a limit or has rested.
   *
   * @param mayExceedSlots - True to use an engine even if all its slots are
   *   taken.
   * @param signal - Aborted when no engine is needed any more; a slot that was
   *   found by then is released.
   * @param hasBegun - True for a stream that can no longer be refused; it waits
   *   until an engine has free KV cache.
   */
  async findSlot(
    mayExceedSlots: boolean,
    signal: AbortSignal,
    hasBegun: boolean,
  ): Promise<PlacedPrompt | NoSlotReason> {
    if (!mayExceedSlots && this.isTooFarBehind()) return 'behind';
    for (;;) {
      const result = await this.findPlanned(mayExceedSlots, signal, hasBegun);
      if (!(result instanceof PlacedPrompt)) return result;
      const {access} = this.context;
      this.waitsIn = 'permit';
      const isUsable =
        (await this.claimTrial(result)) &&
        (await access.claim(result.target.id));
      if (isUsable && !signal.aborted) return result;
      result.release();
      if (signal.aborted) return 'left';
    }
  }

  /**
   * Waits until the gates have heard of the placement of a suspect; returns false
   * if another one goes first.
   */
  private async claimTrial(placed: PlacedPrompt): Promise<boolean> {
    if (!placed.isSuspect) return true;
    await sleep(TRIAL_SETTLE_MS);
    return !placed.isTrialLost();
  }

  /** Finds a slot; a long prompt is planned over all gates meanwhile. */
  private async findPlanned(
    mayExceedSlots: boolean,
    signal: AbortSignal,
    hasBegun: boolean,
  ): Promise<PlacedPrompt | NoSlotReason> {
    const {context, request} = this;
    const wait = context.prompts.createWait();
    const startedAt = context.readNow();
    this.wait = wait;
    try {
      const result = await this.findFreeSlot(mayExceedSlots, signal, hasBegun);
      recordPlannedStream(context, request, {
        wait,
        result,
        waitedMs: context.readNow() - startedAt,
      });
      return result;
    } finally {
      context.prompts.endWait(request.service, wait);
      this.wait = undefined;
    }
  }

  private async findFreeSlot(
    mayExceedSlots: boolean,
    signal: AbortSignal,
    hasBegun: boolean,
  ): Promise<PlacedPrompt | NoSlotReason> {
    let cause: ChoiceCause = mayExceedSlots ? 'retry' : 'arrival';
    let result: PlacedPrompt | NoSlotReason = 'full';
    if (mayExceedSlots || hasBegun || !this.queued.isOutranked())
      result = await this.waitForSendTime(cause, mayExceedSlots, signal);
    while (result === 'full' && hasBegun && !signal.aborted) {
      await this.waitForChange(BEGUN_RETRY_MS, signal);
      cause = 'deferred';
      result = await this.waitForSendTime(cause, mayExceedSlots, signal);
    }
    if (result === 'full' && !signal.aborted) {
      const {service, route, allowedZones} = this.request;
      const limitMs = this.context.prompts.readWaitMs(
        service,
        this.tried,
        allowedZones,
      );
      if (limitMs > route.objectiveMs) return 'full';
      this.waitsIn = 'queue';
      result = await this.queued.wait(signal);
    }
    if (!signal.aborted) return result;
    if (result instanceof PlacedPrompt) result.release();
    return 'left';
  }

  /**
   * Waits while placing the prompt now would cost other prompts more than this
   * prompt gains.
   */
  private async waitForSendTime(
    firstCause: ChoiceCause,
    mayExceedSlots: boolean,
    signal: AbortSignal,
  ): Promise<PlacedPrompt | NoSlotReason> {
    let cause = firstCause;
    for (;;) {
      const result = await this.scheduleChoice(cause, mayExceedSlots, signal);
      if (!isDeferral(result)) return result;
      this.recordDeferral(result);
      await this.waitForChange(result.waitMs, signal);
      if (signal.aborted) return 'left';
      cause = 'deferred';
    }
  }

  /** Makes a choice as soon as the gate has read what has arrived. */
  private async scheduleChoice(
    cause: ChoiceCause,
    mayExceedSlots: boolean,
    signal: AbortSignal,
  ): Promise<PlacementOutcome | 'left'> {
    this.waitsIn = 'choice';
    const outcome = await this.context.choices.schedule({
      isRepeated: cause === 'deferred',
      dueAt: this.dueAt,
      signal,
      choose: () => this.tryPlace(cause, mayExceedSlots),
    });
    return outcome ?? 'left';
  }

  /**
   * Waits before engines are chosen again for a deferred prompt: for the whole
   * deferral, or until the load of an engine has changed.
   */
  private async waitForChange(
    waitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {prompts, readNow} = this.context;
    const endsAt = readNow() + waitMs;
    this.waitsIn = 'deferred';
    this.deferredUntil = endsAt;
    const version = prompts.loadVersion;
    do await sleep(Math.min(endsAt - readNow(), REEVALUATE_MS));
    while (
      !signal.aborted &&
      readNow() < endsAt &&
      prompts.loadVersion === version
    );
  }

  private isTooFarBehind(): boolean {
    const {choices, readNow} = this.context;
    const waitMs = choices.estimateWaitMs(this.dueAt);
    return readNow() + waitMs > this.request.expiresAt;
  }

  private get dueAt(): number {
    const {arrivedAt, route} = this.request;
    return arrivedAt + route.objectiveMs;
  }

  private tryPlace(
    cause: ChoiceCause,
    mayExceedSlots: boolean,
  ): PlacementOutcome {
    this.choiceCount++;
    return this.context.turns.run(`choice_${cause}`, () =>
      this.choose(mayExceedSlots),
    );
  }

  private choose(mayExceedSlots: boolean): PlacementOutcome {
    const {context, request} = this;
    const {route, facts, fingerprint} = request;
    const elapsedMs = context.readNow() - request.arrivedAt;
    return context.prompts.place(
      {
        service: request.service,
        promptTokens: facts.promptTokens ?? 0,
        maxOutputTokens: facts.maxOutputTokens ?? 0,
        objectiveMs: route.objectiveMs,
        objectiveLeftMs: route.objectiveMs - elapsedMs,
        itlObjectiveMs: route.itlObjectiveMs ?? route.objectiveMs,
        suspects: context.suspects.listTrialIds(fingerprint),
        allowedZones: request.allowedZones,
        leftMs: request.expiresAt - context.readNow(),
        wait: this.wait,
      },
      this.engine,
      this.tried,
      mayExceedSlots,
    );
  }

  private recordDeferral({waitMs, predictedTtftMs, planned}: Deferral): void {
    const {context, request, wait} = this;
    // A planned prompt is planned anew every few ms; the end of its wait is logged.
    if (planned !== undefined && wait !== undefined)
      return wait.recordPlan(planned);
    context.counters.add('stream.deferred');
    context.log.info('stream_deferred', {
      requestId: request.facts.requestId,
      waitMs,
      predictedTtftMs: Math.round(predictedTtftMs),
    });
  }
}
