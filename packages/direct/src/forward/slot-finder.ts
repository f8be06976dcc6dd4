/**
 * Finds engines for a stream: at once, later if that costs less overall, or
 * after a wait in the admission queue.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {PlacedPrompt} from '../placement/prompt-placer.js';
import type {Deferral, PlacementOutcome} from '../placement/prompt-placer.js';
import type {EngineFigures} from '../types.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';

/**
 * Longest time until a deferred prompt is reconsidered, in ms: about one
 * iteration.
 */
const REEVALUATE_MS = 60;

/**
 * Why no engine was found: no free slot, no engine that could ever take it, or
 * no longer wanted.
 */
export type NoSlotReason = 'full' | 'none' | 'left';

function isDeferral(outcome: PlacementOutcome): outcome is Deferral {
  return typeof outcome === 'object' && !(outcome instanceof PlacedPrompt);
}

/**
 * Finds engines for one stream, for each of its attempts.
 *
 * @example
 * const placed = await new SlotFinder(context, request, engine, tried).findSlot(false, signal);
 */
export class SlotFinder {
  /** @param tried - Engines to avoid. */
  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
    private readonly engine: EngineFigures,
    private readonly tried: ReadonlySet<string>,
  ) {}

  /**
   * @param mayOverfill - Takes an engine even if all slots are taken.
   * @param signal - Aborted when no engine is wanted any more; none is held
   *   after that.
   */
  async findSlot(
    mayOverfill: boolean,
    signal: AbortSignal,
  ): Promise<PlacedPrompt | NoSlotReason> {
    let result = await this.waitForSendTime(mayOverfill, signal);
    if (result === 'full') result = await this.waitForSlot(signal);
    if (!signal.aborted) return result;
    if (result instanceof PlacedPrompt) result.release();
    return 'left';
  }

  /** Defers a prompt while sending it would cost others more than it gains. */
  private async waitForSendTime(
    mayOverfill: boolean,
    signal: AbortSignal,
  ): Promise<PlacedPrompt | NoSlotReason> {
    for (;;) {
      const result = this.tryPlace(mayOverfill);
      if (!isDeferral(result)) return result;
      this.recordDeferral(result);
      await sleep(Math.min(result.waitMs, REEVALUATE_MS));
      if (signal.aborted) return 'left';
    }
  }

  private tryPlace(mayOverfill: boolean): PlacementOutcome {
    const {context, request} = this;
    const {route, facts} = request;
    const elapsedMs = context.readNow() - request.arrivedAt;
    return context.prompts.place(
      {
        service: request.service,
        promptTokens: facts.promptTokens ?? 0,
        maxOutputTokens: facts.maxOutputTokens ?? 0,
        objectiveMs: route.objectiveMs,
        objectiveLeftMs: route.objectiveMs - elapsedMs,
        itlObjectiveMs: route.itlObjectiveMs ?? route.objectiveMs,
      },
      this.engine,
      this.tried,
      mayOverfill,
    );
  }

  private async waitForSlot(
    signal: AbortSignal,
  ): Promise<PlacedPrompt | NoSlotReason> {
    const {request, context} = this;
    const queue = context.queues.find(request.service);
    let result: PlacedPrompt | NoSlotReason = 'full';
    const predictedMs = queue.estimateWaitMs();
    const outcome = await queue.enter(
      {
        arrivedAt: request.arrivedAt,
        objectiveMs: request.route.objectiveMs,
        promptTokens: request.facts.promptTokens ?? 0,
        tryPlace: () => {
          const outcome = this.tryPlace(false);
          result = isDeferral(outcome) ? 'full' : outcome;
          return result !== 'full';
        },
      },
      signal,
    );
    context.counters.add(`queue.${outcome}`);
    context.log.info('waited_for_slot', {
      requestId: request.facts.requestId,
      outcome,
      predictedMs: Math.round(predictedMs),
      queued: queue.length,
      ms: Math.round(context.readNow() - request.arrivedAt),
    });
    return result;
  }

  private recordDeferral({waitMs, predictedTtftMs}: Deferral): void {
    const {context, request} = this;
    context.counters.add('stream.deferred');
    context.log.info('stream_deferred', {
      requestId: request.facts.requestId,
      waitMs,
      predictedTtftMs: Math.round(predictedTtftMs),
    });
  }
}
