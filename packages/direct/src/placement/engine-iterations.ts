/**
 * Predicts the schedule of one engine from the shards placed on it:
 *
 * - The newest shard is prefilled first, whether or not this engine also
 *   decodes that prompt.
 * - While an engine decodes sequences, it runs long iterations that cannot be
 *   interrupted. Each prefills all shards that are queued at its start, up to a
 *   number of tokens.
 * - While an engine decodes nothing, a new shard preempts queued ones at once.
 * - The first token is sent with the iteration that completes the prefill.
 */
import {countIterationTokens, estimateDecodeMs} from './engine-model.js';
import type {EngineCostModel} from '../types.js';
import type {WaitingShard} from './engine-load.js';

/** Shard of a prompt, to be prefilled by one engine. */
export interface ShardWork {
  /** Prefill time on an otherwise idle engine, in ms. */
  readonly ms: number;
  readonly tokens: number;
  /** True if this engine also decodes the answer. */
  readonly isDecodedHere: boolean;
  /**
   * True if this shard is the whole prompt, so that decoding starts as soon as
   * the shard is prefilled.
   */
  readonly isWhole: boolean;
}

interface QueuedShard {
  readonly key: string;
  readonly isDecodedHere: boolean;
  readonly isWhole: boolean;
  readonly tokens: number;
  readonly msPerToken: number;
  leftTokens: number;
}

/** Tolerance of the predicted end of an iteration, in ms. */
export const ITERATION_SLACK_MS = 50;

/** Tokens left below which a shard counts as complete (rounding error). */
const TOKEN_EPSILON = 1e-6;

/** Planned prefill work of one iteration. */
interface IterationPlan {
  readonly prefillMs: number;
  /** Shards whose prefill this iteration completes. */
  readonly ended: readonly QueuedShard[];
}

/**
 * Advances the prefill of a shard by at most `tokenLimit` tokens.
 *
 * @returns The time taken at configured speed, in ms.
 */
function advanceShard(shard: QueuedShard, tokenLimit: number): number {
  const tokens = Math.min(shard.leftTokens, tokenLimit);
  shard.leftTokens -= tokens;
  return tokens * shard.msPerToken;
}

/**
 * Simulates the iterations of one engine. Every method takes the current time.
 *
 * @example
 * const work = {ms: 350, tokens: 38_000, isDecodedHere: false, isWhole: false};
 * iterations.addShard('gate#7', work, now);
 * iterations.listPrefillEnds(now).get('gate#7'); // 350 on an idle engine
 */
export class EngineIterations {
  /** Shards with prefill work left, newest first. */
  private shards: QueuedShard[] = [];
  /** Shards whose prefill the running iteration completes. */
  private completingShards: readonly QueuedShard[] = [];
  /** Context length of each decoded sequence by its key, in tokens. */
  private readonly sequences = new Map<string, number>();
  private contextTokens = 0;
  /**
   * End of the running iteration, in ms; while nothing is decoded, the time up
   * to which the engine has been simulated.
   */
  private iterationEndsAt = -Infinity;
  private prefillEnds: ReadonlyMap<string, number> | undefined;

  /** @param slowdown - Factor on all configured times; 3 triples them. */
  constructor(
    private readonly engine: EngineCostModel,
    private slowdown = 1,
  ) {}

  /** Sets the slowdown of the engine from `now` on. */
  setSlowdown(slowdown: number, now: number): void {
    this.advance(now);
    this.prefillEnds = undefined;
    this.slowdown = slowdown;
  }

  /** Adds a shard, which preempts the queued shards. */
  addShard(key: string, work: ShardWork, now: number): void {
    this.advance(now);
    this.prefillEnds = undefined;
    if (work.tokens <= 0) return;
    // Iterations that only decode are not tracked; on average, half of the
    // running one remains.
    if (this.iterationEndsAt <= now)
      this.iterationEndsAt = now + this.decodeMs / 2;
    this.shards.unshift({
      key,
      isDecodedHere: work.isDecodedHere,
      isWhole: work.isWhole,
      tokens: work.tokens,
      msPerToken: work.ms / work.tokens,
      leftTokens: work.tokens,
    });
  }

  /** Removes a shard that was cancelled or whose prefill has completed. */
  removeShard(key: string, now: number): void {
    this.advance(now);
    this.prefillEnds = undefined;
    if (this.shards.length > 0)
      this.shards = this.shards.filter(shard => shard.key !== key);
    if (this.completingShards.length > 0)
      this.completingShards = this.completingShards.filter(
        shard => shard.key !== key,
      );
  }

  /** Adds a sequence that the engine decodes from `now` on. */
  addSequence(key: string, contextTokens: number, now: number): void {
    if (this.sequences.has(key)) return;
    this.advance(now);
    this.prefillEnds = undefined;
    this.sequences.set(key, contextTokens);
    this.contextTokens += contextTokens;
  }

  /** Removes a sequence whose decoding has ended. */
  removeSequence(key: string, now: number): void {
    const contextTokens = this.sequences.get(key);
    if (contextTokens === undefined) return;
    this.advance(now);
    this.prefillEnds = undefined;
    this.sequences.delete(key);
    this.contextTokens -= contextTokens;
  }

  /**
   * Estimates the time until a new shard can start, in ms: the rest of the
   * running iteration, or 0 if the shard can start at once.
   */
  estimateStartDelayMs(now: number): number {
    this.advance(now);
    return this.iterationEndsAt > now
      ? this.iterationEndsAt - now
      : this.decodeMs / 2;
  }

  /** Returns true if no shard is queued and no prefill is running. */
  isWithoutPrefill(now: number): boolean {
    this.advance(now);
    return (
      this.shards.length === 0 &&
      this.completingShards.length === 0 &&
      this.iterationEndsAt <= now
    );
  }

  /**
   * Estimates the rest of the running iteration, in ms; 0 if no prefill is known
   * to be running.
   */
  estimateIterationLeftMs(now: number): number {
    this.advance(now);
    return Math.max(0, this.iterationEndsAt - now);
  }

  /**
   * Estimates the pause of decoded streams after an event that has arrived at
   * `now`, in ms.
   */
  estimatePauseMs(now: number): number {
    const leftMs = this.estimateIterationLeftMs(now);
    // The event may come a little before the predicted end of its iteration.
    return leftMs > ITERATION_SLACK_MS
      ? leftMs
      : leftMs + this.estimateNextIterationMs(now);
  }

  /** Estimates the iteration that follows the running one, in ms. */
  estimateNextIterationMs(now: number): number {
    this.advance(now);
    const shards = this.shards.map(shard => ({...shard}));
    return this.decodeMs + this.planIteration(shards).prefillMs;
  }

  /**
   * Lists the time from `now` until the prefill of each queued shard ends, by
   * shard key, in ms.
   */
  listPrefillEnds(now: number): ReadonlyMap<string, number> {
    this.advance(now);
    this.prefillEnds ??= this.planPrefillEnds();
    if (this.prefillEnds.size === 0) return this.prefillEnds;
    return new Map([...this.prefillEnds].map(([key, at]) => [key, at - now]));
  }

  /**
   * Estimates the time from `now` until the prefill of a shard ends, in ms; 0 if
   * the shard is not queued.
   */
  estimatePrefillEndMs(key: string, now: number): number {
    this.advance(now);
    this.prefillEnds ??= this.planPrefillEnds();
    const endsAt = this.prefillEnds.get(key);
    return endsAt === undefined ? 0 : endsAt - now;
  }

  /** Lists the shards that wait for the coming iterations, newest first. */
  listWaitingShards(now: number): readonly WaitingShard[] {
    this.advance(now);
    return this.shards.map(({leftTokens, msPerToken}) => ({
      tokens: leftTokens,
      prefillMs: leftTokens * msPerToken * this.slowdown,
    }));
  }

  /**
   * Lists the prefill time of each coming iteration, in ms. Streams decoded by
   * the engine see this time as part of their inter-token latency.
   */
  listIterationPrefills(now: number): readonly number[] {
    this.advance(now);
    const shards = this.shards.map(shard => ({...shard}));
    const prefillsMs: number[] = [];
    while (shards.some(shard => shard.leftTokens > 0))
      prefillsMs.push(this.planIteration(shards).prefillMs);
    return prefillsMs;
  }

  private get decodeMs(): number {
    return (
      estimateDecodeMs(this.sequences.size, this.contextTokens, this.engine) *
      this.slowdown
    );
  }

  private get isDecoding(): boolean {
    return this.sequences.size > 0;
  }

  /**
   * Plans when the prefill of each shard ends, by shard key, as a timestamp on
   * the clock of `now`.
   */
  private planPrefillEnds(): ReadonlyMap<string, number> {
    const endByKey = new Map<string, number>();
    let at = this.iterationEndsAt;
    for (const {key} of this.completingShards) endByKey.set(key, at);
    const shards = this.shards.map(shard => ({...shard}));
    while (!this.isDecoding && shards.length > 0) {
      const [shard] = shards.splice(0, 1);
      at += advanceShard(shard, Infinity) * this.slowdown;
      endByKey.set(shard.key, at);
    }
    while (shards.some(shard => shard.leftTokens > 0)) {
      const {prefillMs, ended} = this.planIteration(shards);
      at += this.decodeMs + prefillMs;
      for (const {key} of ended) endByKey.set(key, at);
    }
    return endByKey;
  }

  /**
   * Plans the prefill of one iteration, newest shard first, and advances the
   * given shards by it.
   */
  private planIteration(shards: readonly QueuedShard[]): IterationPlan {
    let tokenBudget = countIterationTokens(this.engine);
    let prefillMs = 0;
    const ended: QueuedShard[] = [];
    for (const shard of shards) {
      if (shard.leftTokens <= 0) continue;
      if (tokenBudget <= 0) break;
      const before = shard.leftTokens;
      prefillMs += advanceShard(shard, tokenBudget) * this.slowdown;
      tokenBudget -= before - shard.leftTokens;
      if (shard.leftTokens <= 0) ended.push(shard);
    }
    return {prefillMs, ended};
  }

  /** Simulates the iterations that have started since the previous call. */
  private advance(now: number): void {
    while (this.iterationEndsAt <= now) {
      this.startCompletedSequences();
      if (this.isDecoding && this.shards.length > 0) this.startIteration();
      else if (this.shards.length > 0) this.runNewestShard(now);
      else this.iterationEndsAt = now;
      if (this.iterationEndsAt >= now) return;
    }
  }

  private startIteration(): void {
    const {prefillMs, ended} = this.planIteration(this.shards);
    this.shards = this.shards.filter(shard => shard.leftTokens > 0);
    this.completingShards = ended;
    this.iterationEndsAt += this.decodeMs + prefillMs;
    this.prefillEnds = undefined;
  }

  /** Prefills the newest shard until `now` while nothing is decoded. */
  private runNewestShard(now: number): void {
    const [shard] = this.shards;
    const msPerToken = shard.msPerToken * this.slowdown;
    const tokenLimit = (now - this.iterationEndsAt) / msPerToken;
    this.iterationEndsAt += advanceShard(shard, tokenLimit) * this.slowdown;
    this.prefillEnds = undefined;
    if (shard.leftTokens > TOKEN_EPSILON) {
      this.iterationEndsAt = now;
      return;
    }
    this.shards.splice(0, 1);
    this.completingShards = [shard];
  }

  /**
   * Starts to decode prompts whose prefill is complete, without waiting until
   * the gate that placed them has received the first token.
   */
  private startCompletedSequences(): void {
    for (const {key, isDecodedHere, isWhole, tokens} of this.completingShards) {
      if (!isDecodedHere || !isWhole || this.sequences.has(key)) continue;
      this.sequences.set(key, tokens);
      this.contextTokens += tokens;
    }
    if (this.completingShards.length === 0) return;
    this.completingShards = [];
    this.prefillEnds = undefined;
  }
}
