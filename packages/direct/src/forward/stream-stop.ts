/** One stream, as a stop of the gate sees it. */
import {StoppableRequest} from '../stop/open-request.js';
import {estimateOutputMs, estimateStreamMs} from '../stop/estimate-stream.js';
import type {StreamSize} from '../stop/estimate-stream.js';
import type {RequestPlace} from '../stop/open-request.js';
import type {EngineCostModel} from '../types.js';
import type {GateRequest} from './request.js';
import type {SlotFinder} from './slot-finder.js';
import type {StreamChains} from './stream-chains.js';
import type {StreamEnding} from './stream-ending.js';
import type {StreamProgress} from './stream-progress.js';

/** Dependencies of {@link StreamStop}. */
export interface StreamStopOptions {
  readonly request: GateRequest;
  readonly engine: EngineCostModel;
  readonly progress: StreamProgress;
  readonly chains: StreamChains;
  readonly finder: SlotFinder;
  readonly ending: StreamEnding;
}

/**
 * Tells a stop where a stream waits and when it may end, and ends it.
 *
 * @example
 * new StreamStop(options).place; // 'queue'
 */
export class StreamStop extends StoppableRequest {
  constructor(private readonly options: StreamStopOptions) {
    super();
  }

  override get place(): RequestPlace {
    const {progress, chains, finder} = this.options;
    if (progress.hasHead) return 'answer';
    if (chains.attempts.some(({wasSent}) => wasSent)) return 'target';
    return chains.attempts.length > 0 ? 'connect' : finder.place;
  }

  override estimateEndMs(): number {
    const {engine, chains, finder} = this.options;
    const waitMs = chains.estimateFirstTokenMs();
    if (waitMs !== undefined) return waitMs + this.estimateOutputMs();
    return finder.estimateWaitMs() + estimateStreamMs(this.size, engine);
  }

  /** Estimates the time that the engines generate the answer, in ms. */
  estimateOutputMs(): number {
    return estimateOutputMs(this.size, this.options.engine);
  }

  override handBack(): boolean {
    return this.options.ending.handBack();
  }

  override endUnfinished(): void {
    // Its engine may have sent everything.
    if (!this.options.request.caller.hasRoom) return;
    this.options.ending.endWithError(502, 'outcome_unknown');
  }

  /** What is left to generate of the stream. */
  private get size(): StreamSize {
    const {request, engine, progress} = this.options;
    const {promptTokens = 0, maxOutputTokens = 0} = request.facts;
    const sentTokens = progress.eventsSent * engine.stepsPerIteration;
    return {
      promptTokens,
      outputTokens: Math.max(0, maxOutputTokens - sentTokens),
      objectiveMs: request.route.objectiveMs,
    };
  }
}
