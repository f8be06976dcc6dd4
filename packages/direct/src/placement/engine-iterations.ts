/**
 * Predicts the schedule of one engine from the prompts that were placed on it:
 *
 * - The newest shard is prefilled first, whether its engine decodes the prompt
 *   or not.
 * - While it decodes, an engine runs long iterations that cannot be
 *   interrupted: its own prompts and one shard of another engine's prompt in
 *   each. Otherwise a new shard preempts the others at once.
 * - The first token leaves with the iteration that ends the prefill.
 */
import {estimateDecodeMs} from './engine-model.js';
import type {EngineFigures} from '../types.js';

/** The shard of a prompt that one engine prefills. */
export interface ShardWork {
  /** Prefill time with no other work, in ms. */
  readonly ms: number;
  readonly tokens: number;
  /** True when this engine also decodes the answer. */
  readonly isOwn: boolean;
  /** True when no other engine has a shard: decoding follows at once. */
  readonly isWhole: boolean;
}

interface QueuedShard {
  readonly key: string;
  readonly isOwn: boolean;
  readonly isWhole: boolean;
  readonly tokens: number;
  readonly msPerToken: number;
  leftTokens: number;
}

/** Tokens below which only a rounding error is left. */
const LEAST_TOKENS = 1e-6;

/** Prefill work of one iteration. */
interface IterationPlan {
  readonly prefillMs: number;
  /** Shards that it completes. */
  readonly ended: readonly QueuedShard[];
}

/** Advances a shard by at most `mostTokens`; returns the time taken, in ms. */
function advanceShard(shard: QueuedShard, mostTokens: number): number {
  const tokens = Math.min(shard.leftTokens, mostTokens);
  shard.leftTokens -= tokens;
  return tokens * shard.msPerToken;
}

/**
 * The iterations of one engine. Time is passed in by the owner.
 *
 * @example
 * iterations.addShard('gate#7', {ms: 350, tokens: 38_000, isOwn: false}, now);
 * iterations.listPrefillEnds(now).get('gate#7'); // 350 on an idle engine
 */
export class EngineIterations {
  /** Newest first. */
  private shards: QueuedShard[] = [];
  /** Shards that the iteration under way completes. */
  private ending: readonly QueuedShard[] = [];
  /** Context of each sequence that is decoded, in tokens. */
  private readonly sequences = new Map<string, number>();
  private contextTokens = 0;
  /**
   * End of the iteration under way; without decoding, the time simulated up to.
   */
  private iterationEndsAt = -Infinity;
  private ends: ReadonlyMap<string, number> | undefined;

  /** @param slowdown - 3 takes three times as long as configured. */
  constructor(
    private readonly engine: EngineFigures,
    private slowdown = 1,
  ) {}

  /** Sets the engine's slowdown from now on. */
  setSlowdown(slowdown: number, now: number): void {
    this.advance(now);
    this.ends = undefined;
    this.slowdown = slowdown;
  }

  /** Adds a shard; it preempts those that are queued. */
  addShard(key: string, work: ShardWork, now: number): void {
    this.advance(now);
    this.ends = undefined;
    if (work.tokens <= 0) return;
    // Iterations that only decode are not tracked: on average half of one is
    // left.
    if (this.iterationEndsAt <= now)
      this.iterationEndsAt = now + this.decodeMs / 2;
    this.shards.unshift({
      key,
      isOwn: work.isOwn,
      isWhole: work.isWhole,
      tokens: work.tokens,
      msPerToken: work.ms / work.tokens,
      leftTokens: work.tokens,
    });
  }

  /** Removes a shard that was cancelled or is known to be complete. */
  removeShard(key: string, now: number): void {
    this.advance(now);
    this.ends = undefined;
    this.shards = this.shards.filter(shard => shard.key !== key);
    this.ending = this.ending.filter(shard => shard.key !== key);
  }

  /** Adds a sequence that is decoded from now on. */
  addSequence(key: string, contextTokens: number, now: number): void {
    if (this.sequences.has(key)) return;
    this.advance(now);
    this.ends = undefined;
    this.sequences.set(key, contextTokens);
    this.contextTokens += contextTokens;
  }

  /** Removes a sequence that has ended. */
  removeSequence(key: string, now: number): void {
    const contextTokens = this.sequences.get(key);
    if (contextTokens === undefined) return;
    this.advance(now);
    this.ends = undefined;
    this.sequences.delete(key);
    this.contextTokens -= contextTokens;
  }

  /**
   * Time until the iteration under way ends, in ms; 0 if a shard can start at
   * once.
   */
  countWaitMs(now: number): number {
    this.advance(now);
    return this.iterationEndsAt > now
      ? this.iterationEndsAt - now
      : this.decodeMs / 2;
  }

  /** Time from `now` until the prefill of each queued shard ends, in ms. */
  listPrefillEnds(now: number): ReadonlyMap<string, number> {
    this.advance(now);
    this.ends ??= this.planEnds();
    if (this.ends.size === 0) return this.ends;
    return new Map([...this.ends].map(([key, at]) => [key, at - now]));
  }

  /**
   * Lists the prefill time of each coming iteration while the engine decodes,
   * in ms: what its streams see as inter-token latency.
   */
  listIterationPrefills(now: number): readonly number[] {
    this.advance(now);
    const shards = this.shards.map(shard => ({...shard}));
    const reads: number[] = [];
    while (shards.some(shard => shard.leftTokens > 0))
      reads.push(this.planIteration(shards).prefillMs);
    return reads;
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

  /** When the prefill of each shard ends, on the clock. */
  private planEnds(): ReadonlyMap<string, number> {
    const ends = new Map<string, number>();
    let at = this.iterationEndsAt;
    for (const {key} of this.ending) ends.set(key, at);
    const shards = this.shards.map(shard => ({...shard}));
    while (!this.isDecoding && shards.length > 0) {
      const [shard] = shards.splice(0, 1);
      at += advanceShard(shard, Infinity) * this.slowdown;
      ends.set(shard.key, at);
    }
    while (shards.some(shard => shard.leftTokens > 0)) {
      const {prefillMs, ended} = this.planIteration(shards);
      at += this.decodeMs + prefillMs;
      for (const {key} of ended) ends.set(key, at);
    }
    return ends;
  }

  /** Plans the prefill of one iteration, newest shard first. */
  private planIteration(shards: readonly QueuedShard[]): IterationPlan {
    // Every iteration must make progress, or planning would not terminate.
    let mostTokens = Math.max(
      1,
      this.engine.stepsPerIteration * this.engine.chunkTokens,
    );
    let prefillMs = 0;
    const ended: QueuedShard[] = [];
    for (const shard of shards) {
      if (shard.leftTokens <= 0) continue;
      if (mostTokens <= 0) break;
      const before = shard.leftTokens;
      prefillMs += advanceShard(shard, mostTokens) * this.slowdown;
      mostTokens -= before - shard.leftTokens;
      if (shard.leftTokens <= 0) ended.push(shard);
      if (!shard.isOwn) break;
    }
    return {prefillMs, ended};
  }

  /** Simulates the iterations that have begun since the last call. */
  private advance(now: number): void {
    while (this.iterationEndsAt <= now) {
      this.settleEnded();
      if (this.isDecoding && this.shards.length > 0) this.startIteration();
      else if (this.shards.length > 0) this.runNewest(now);
      else this.iterationEndsAt = now;
      if (this.iterationEndsAt >= now) return;
    }
  }

  private startIteration(): void {
    const {prefillMs, ended} = this.planIteration(this.shards);
    this.shards = this.shards.filter(shard => shard.leftTokens > 0);
    this.ending = ended;
    this.iterationEndsAt += this.decodeMs + prefillMs;
    this.ends = undefined;
  }

  /**
   * Prefills the newest shard until `now` on an engine that decodes nothing.
   */
  private runNewest(now: number): void {
    const [shard] = this.shards;
    const msPerToken = shard.msPerToken * this.slowdown;
    const mostTokens = (now - this.iterationEndsAt) / msPerToken;
    this.iterationEndsAt += advanceShard(shard, mostTokens) * this.slowdown;
    this.ends = undefined;
    if (shard.leftTokens > LEAST_TOKENS) {
      this.iterationEndsAt = now;
      return;
    }
    this.shards.splice(0, 1);
    this.ending = [shard];
  }

  /**
   * Starts decoding prompts whose prefill has ended, without waiting for the
   * gate that placed them to see the first token.
   */
  private settleEnded(): void {
    for (const {key, isOwn, isWhole, tokens} of this.ending) {
      if (!isOwn || !isWhole || this.sequences.has(key)) continue;
      this.sequences.set(key, tokens);
      this.contextTokens += tokens;
    }
    if (this.ending.length === 0) return;
    this.ending = [];
    this.ends = undefined;
  }
}
