/** Wait of one stream for a slot in the admission queue of its service. */
import {isDeferral} from '../placement/prompt-request.js';
import type {QueueEntry} from '../admission/admission-queue.js';
import {PlacedPrompt} from '../placement/placed-prompt.js';
import type {PlacementOutcome} from '../placement/prompt-placer.js';
import type {EngineCostModel} from '../types.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';
import type {NoSlotReason} from './no-slot-reason.js';

/** What the wait of a stream needs. */
export interface QueuedStreamOptions {
  readonly context: ForwardContext;
  readonly request: GateRequest;
  readonly engine: EngineCostModel;
  /** Ids of the engines to avoid. */
  readonly tried: ReadonlySet<string>;
  /** Chooses engines for the stream. */
  readonly place: () => PlacementOutcome;
}

/**
 * Stream that may wait in an admission queue.
 *
 * @example
 * const result = await new QueuedStream(options).wait(signal);
 */
export class QueuedStream {
  /** The stream in the queue; absent while it doesn't wait. */
  private entry: QueueEntry | undefined;

  constructor(private readonly options: QueuedStreamOptions) {}

  /** Waits in the queue until the stream is placed, is refused, or its caller leaves. */
  async wait(signal: AbortSignal): Promise<PlacedPrompt | NoSlotReason> {
    const {request, context, engine, tried, place} = this.options;
    const {service, allowedZones} = request;
    const queue = context.queues.find(service);
    let result: PlacedPrompt | NoSlotReason = 'full';
    const entry = this.buildEntry(() => {
      const {prompts, state} = context;
      // No engine comes back before the caller leaves.
      if (state.isWhollyEvacuated(service, allowedZones)) {
        result = 'none';
        return 'refused';
      }
      if (!prompts.isSlotFree(service, engine, tried, allowedZones))
        return false;
      const outcome = place();
      result = isDeferral(outcome) ? 'full' : outcome;
      if (result === 'full') return false;
      return result instanceof PlacedPrompt || 'refused';
    });
    const predictedMs = queue.estimateWaitMs(entry);
    this.entry = entry;
    const outcome = await queue.enter(entry, signal);
    this.entry = undefined;
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

  /** Estimates the time until the stream has a slot, in ms; 0 if it doesn't wait. */
  estimateLeftMs(): number {
    const {request, context} = this.options;
    if (this.entry === undefined) return 0;
    return context.queues.find(request.service).estimateLeftMs(this.entry);
  }

  /** Returns whether streams wait in the queue that go before this one. */
  isOutranked(): boolean {
    const {context, request} = this.options;
    const queue = context.queues.find(request.service);
    return queue.length > 0 && queue.isOutranked(this.buildEntry(() => false));
  }

  private buildEntry(tryPlace: QueueEntry['tryPlace']): QueueEntry {
    const {request, context} = this.options;
    return {
      arrivedAt: request.arrivedAt,
      objectiveMs: request.route.objectiveMs,
      promptTokens: request.facts.promptTokens ?? 0,
      urgency: context.urgencies.rank(request),
      account: request.account,
      allowedZones: request.allowedZones,
      requestId: request.facts.requestId,
      tryPlace,
    };
  }
}
