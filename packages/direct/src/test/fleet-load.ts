/** Builds engines with streams for tests of placement. */
import {estimateDecodeMs} from '../placement/engine-model.js';
import {createLoadTracker} from '../placement/load-tracker.js';
import {estimateValue} from '../placement/place-prompt.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import type {Placement} from '../placement/placement.js';
import type {Candidate} from '../placement/price-prefill.js';
import type {PromptDemand} from '../placement/prompt-types.js';
import type {EngineCostModel} from '../types.js';

/** Cost model of an engine with long iterations. */
export const LONG_ITERATION_ENGINE: EngineCostModel = {
  slots: 8,
  kvCapacityTokens: 267_750,
  stepMs: 0.85,
  stepMsPerSequence: 0.006375,
  stepMsPerContextK: 0.00285,
  prefillTokensPerMs: 177,
  attentionMsPerMillionPairs: 0.184,
  stepsPerIteration: 57,
  chunkTokens: 2048,
};

/** Shortest pause between two events after which a caller cancels, in ms. */
const MIN_PATIENCE_MS = 2000;

/** Latency objectives of one stream. */
export interface StreamObjectives {
  readonly objectiveMs: number;
  readonly itlObjectiveMs: number;
}

/** Returns the pause between two events after which a caller cancels, in ms. */
export function findPatienceMs(objectives: StreamObjectives): number {
  return Math.max(
    MIN_PATIENCE_MS,
    4 * objectives.objectiveMs,
    8 * objectives.itlObjectiveMs,
  );
}

/** Returns the objectives that callers attach to prompts of this size. */
export function findObjectives(promptTokens: number): StreamObjectives {
  if (promptTokens < 24_000) return {objectiveMs: 300, itlObjectiveMs: 250};
  if (promptTokens < 110_000) return {objectiveMs: 1500, itlObjectiveMs: 600};
  return {objectiveMs: 4000, itlObjectiveMs: 1000};
}

/** Builds the demand of a prompt that has just arrived. */
export function buildPromptDemand(promptTokens: number): PromptDemand {
  const objectives = findObjectives(promptTokens);
  return {
    promptTokens,
    maxOutputTokens: 400,
    ...objectives,
    objectiveLeftMs: objectives.objectiveMs,
    value: estimateValue(promptTokens),
  };
}

/**
 * Fleet of engines with decoded streams and queued shards.
 *
 * @example
 * const fleet = new TestFleet(54);
 * fleet.addDecodedStreams(0, 8, 4960);
 */
export class TestFleet {
  readonly tracker: LoadTracker = createLoadTracker(
    () => LONG_ITERATION_ENGINE,
  );
  private lastKey = 0;

  constructor(readonly engineCount: number) {}

  get ids(): readonly string[] {
    return Array.from({length: this.engineCount}, (_, i) => `e${i}`);
  }

  /** Adds streams that an engine decodes. */
  addDecodedStreams(engine: number, count: number, promptTokens: number): void {
    for (let i = 0; i < count; i++) {
      const id = `e${engine}`;
      const placement = this.buildPlacement(id, [id], promptTokens, 0);
      this.tracker.add(placement, true);
    }
  }

  /** Adds a shard that an engine prefills as a helper of another engine. */
  addHelperShard(engine: number, shardMs: number, shardTokens = 150_000): void {
    const placement = this.buildPlacement('other', [], 2 * shardTokens, 0);
    const shards = [
      {target: 'other', prefillMs: shardMs},
      {target: `e${engine}`, prefillMs: shardMs},
    ];
    this.tracker.add({...placement, shards});
  }

  /**
   * Places a prompt in equal shards; the first engine decodes it.
   *
   * @param prefillMs - Prefill time of the whole prompt, in ms.
   * @returns Key of the placement.
   */
  placeShards(
    engines: readonly string[],
    promptTokens: number,
    prefillMs: number,
  ): string {
    const placement = this.buildPlacement(
      engines[0],
      engines,
      promptTokens,
      prefillMs / engines.length,
    );
    this.tracker.add(placement);
    return placement.key;
  }

  listCandidates(): readonly Candidate[] {
    return this.ids.map(id => ({
      id,
      isRemote: false,
      slowdown: 1,
      load: this.tracker.describe(id, 0),
    }));
  }

  /**
   * Estimates the longest coming iteration of an engine, in ms: the longest
   * pause of the streams that it decodes.
   */
  estimatePauseMs(id: string): number {
    const load = this.tracker.describe(id, 0);
    const decodeMs = estimateDecodeMs(
      load.decoding.length,
      load.contextTokens,
      LONG_ITERATION_ENGINE,
    );
    return decodeMs + Math.max(0, ...load.iterationPrefillsMs);
  }

  /** Lists the streams of an engine whose pause exceeds their patience. */
  listAbandoned(id: string): readonly Placement[] {
    const pauseMs = this.estimatePauseMs(id);
    return this.tracker
      .describe(id, 0)
      .decoding.filter(stream => pauseMs > findPatienceMs(stream));
  }

  private buildPlacement(
    decoder: string,
    engines: readonly string[],
    promptTokens: number,
    shardMs: number,
  ): Placement {
    return {
      key: `w#${++this.lastKey}`,
      decoder,
      shards: engines.map(target => ({target, prefillMs: shardMs})),
      promptTokens,
      kvTokens: promptTokens / Math.max(1, engines.length) + 400,
      reserved: [],
      ...findObjectives(promptTokens),
      value: estimateValue(promptTokens),
      predictedTtftMs: 100,
      placedAt: 0,
    };
  }
}
