/**
 * Prices an engine for the prefill of a shard. An engine that decodes prefills
 * the shard in one iteration with all queued shards. Otherwise it prefills the
 * newest shard first, which delays every prompt in its prefill queue. The
 * expected loss of the delayed streams is called interference.
 */
import {countIterationTokens, estimateDecodeMs} from './engine-model.js';
import {
  ABANDON_TTFT_OBJECTIVES,
  TTFT_ERROR,
  estimateAddedLoss,
  estimateIterationLoss,
} from './loss.js';
import {estimateGroupLoss} from './stream-group.js';
import type {EngineCostModel} from '../types.js';
import type {EngineLoad} from './engine-load.js';

/** An engine considered for placing one prompt. */
export interface Candidate {
  readonly id: string;
  readonly isRemote: boolean;
  /** Measured slowdown; 1 means configured speed. */
  readonly slowdown: number;
  readonly load: EngineLoad;
}

/** Size of a shard. */
export interface ShardSize {
  readonly tokens: number;
  /** Prefill time at configured speed, in ms. */
  readonly prefillMs: number;
}

/** A candidate engine with the cost of prefilling a shard on it. */
export interface PricedEngine {
  readonly candidate: Candidate;
  readonly shard: ShardSize;
  /** Time until the prefill of the shard ends, in ms. */
  readonly doneMs: number;
  /** Interference with decoded streams. */
  readonly decodeInterference: number;
  /** Decoded streams that their callers cancel. */
  readonly brokenStreams: number;
  /** Interference with each queued prompt, by placement key. */
  readonly queueInterference: ReadonlyMap<string, number>;
  /** Sum of decode and queue interference. */
  readonly interference: number;
}

/** Interference map of an engine without queued prompts. */
const NO_INTERFERENCE: ReadonlyMap<string, number> = new Map();

/**
 * Prices one engine for shards of different sizes of one prompt. What does not
 * depend on the size is computed once.
 *
 * @example
 * new EnginePricer(candidate, engine, now).price({tokens: 30_000, prefillMs: 190});
 */
export class EnginePricer {
  /** Time that an iteration spends on decoding, in ms. */
  private readonly decodeMs: number;
  /** Time until a shard can start, in ms. */
  private readonly startMs: number;
  /** Number of tokens that one iteration can prefill. */
  private readonly iterationTokens: number;
  /** Loss of the decoded streams through the longest planned iteration. */
  private readonly plannedLoss: number;

  constructor(
    private readonly candidate: Candidate,
    engine: EngineCostModel,
    private readonly now: number,
  ) {
    const {load, slowdown} = candidate;
    this.decodeMs =
      estimateDecodeMs(load.decoding.length, load.contextTokens, engine) *
      slowdown;
    this.startMs = load.waitMs + load.lagMs + this.decodeMs;
    this.iterationTokens = countIterationTokens(engine);
    this.plannedLoss = estimateGroupLoss(
      this.decodeMs + load.longestPrefillMs,
      load.decodingGroups,
    );
  }

  /** Prices the engine for a shard. */
  price(shard: ShardSize): PricedEngine {
    const {candidate, startMs} = this;
    const prefillMs = shard.prefillMs * candidate.slowdown;
    const iterationPrefillMs = prefillMs + this.estimateJoinedMs(shard.tokens);
    const queueInterference = this.estimateQueueInterference(prefillMs);
    const decodeInterference =
      this.estimateDecodeInterference(iterationPrefillMs) +
      this.estimatePendingInterference(startMs + prefillMs, prefillMs);
    let interference = decodeInterference;
    for (const loss of queueInterference.values()) interference += loss;
    return {
      candidate,
      shard,
      doneMs: startMs + iterationPrefillMs,
      decodeInterference,
      brokenStreams: this.countBrokenStreams(iterationPrefillMs),
      queueInterference,
      interference,
    };
  }

  /**
   * Estimates the prefill of waiting shards in the iteration that prefills a new
   * shard of `shardTokens`, in ms.
   */
  private estimateJoinedMs(shardTokens: number): number {
    const {decoding, waitingShards} = this.candidate.load;
    if (decoding.length === 0) return 0;
    let leftTokens = this.iterationTokens - shardTokens;
    let joinedMs = 0;
    for (const {tokens, prefillMs} of waitingShards) {
      if (leftTokens <= 0) break;
      joinedMs += prefillMs * Math.min(1, leftTokens / tokens);
      leftTokens -= tokens;
    }
    return joinedMs;
  }

  /**
   * Estimates the interference with decoded streams, whose inter-token latency
   * grows with the longest iteration.
   */
  private estimateDecodeInterference(iterationPrefillMs: number): number {
    const {longestPrefillMs, decodingGroups} = this.candidate.load;
    if (iterationPrefillMs <= longestPrefillMs) return 0;
    const iterationMs = this.decodeMs + iterationPrefillMs;
    return estimateGroupLoss(iterationMs, decodingGroups) - this.plannedLoss;
  }

  /**
   * Estimates the interference with streams that start decoding while the shard
   * is prefilled: the rest of this prefill delays their second event.
   */
  private estimatePendingInterference(
    shardEndMs: number,
    prefillMs: number,
  ): number {
    const {longestPrefillMs, pending} = this.candidate.load;
    let sum = 0;
    for (const {placement, prefillDoneMs} of pending) {
      const overlapMs = Math.min(prefillMs, shardEndMs - prefillDoneMs);
      if (overlapMs <= longestPrefillMs) continue;
      sum +=
        estimateIterationLoss(overlapMs, placement) -
        estimateIterationLoss(longestPrefillMs, placement);
    }
    return sum;
  }

  /**
   * Counts the decoded streams whose callers outlast every coming iteration but
   * not one with `iterationPrefillMs` of prefill.
   */
  private countBrokenStreams(iterationPrefillMs: number): number {
    const {longestPrefillMs, decodingGroups} = this.candidate.load;
    let broken = 0;
    for (const {patienceMs, count} of decodingGroups)
      if (
        this.decodeMs + longestPrefillMs < patienceMs &&
        this.decodeMs + iterationPrefillMs >= patienceMs
      )
        broken += count;
    return broken;
  }

  /**
   * Estimates the interference with queued prompts, which the new shard
   * preempts. A prompt that waits longer for another engine is not delayed by
   * this one.
   */
  private estimateQueueInterference(
    addedMs: number,
  ): ReadonlyMap<string, number> {
    const {queued} = this.candidate.load;
    if (queued.length === 0) return NO_INTERFERENCE;
    const lossByPrompt = new Map<string, number>();
    for (const {placement, shardDoneMs, prefillDoneMs} of queued) {
      const delayMs = Math.max(0, addedMs - (prefillDoneMs - shardDoneMs));
      if (delayMs === 0) continue;
      const loss = estimateAddedLoss(prefillDoneMs, delayMs, {
        remainingMs: placement.objectiveMs - (this.now - placement.placedAt),
        wholeMs: placement.objectiveMs,
        abandonMultiple: ABANDON_TTFT_OBJECTIVES,
        error: TTFT_ERROR,
      });
      lossByPrompt.set(placement.key, placement.value * loss);
    }
    return lossByPrompt;
  }
}

/** Pricers of engines that only decode; they don't depend on the time. */
const decodingPricers = new WeakMap<Candidate, DecodingPricer>();

/** Pricer of an engine that only decodes, for one cost model. */
interface DecodingPricer {
  readonly engine: EngineCostModel;
  readonly pricer: EnginePricer;
}

/**
 * Returns a pricer for an engine; the same one while the engine only decodes
 * and its load does not change.
 *
 * @example
 * findPricer(candidate, engine, performance.now()).price({tokens: 30_000, prefillMs: 190});
 */
export function findPricer(
  candidate: Candidate,
  engine: EngineCostModel,
  now: number,
): EnginePricer {
  if (candidate.load.queued.length > 0)
    return new EnginePricer(candidate, engine, now);
  const known = decodingPricers.get(candidate);
  if (known?.engine === engine) return known.pricer;
  const pricer = new EnginePricer(candidate, engine, now);
  decodingPricers.set(candidate, {engine, pricer});
  return pricer;
}
