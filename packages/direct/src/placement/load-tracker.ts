/**
 * Tracks which streams run on which engine, as placed by this gate and its
 * peers. Placements are used instead of the engines' load reports because peers
 * announce placements within milliseconds, while load reports are older.
 */

import {EngineIterations} from './engine-iterations.js';
import type {EngineCostModel} from '../types.js';

/**
 * Longest predicted time to first token, in ms, at which a late first token
 * counts as lag of the engine. Long prompts are late for many other reasons.
 */
const SHORT_TTFT_MS = 400;

/**
 * Upper bound of an engine's lag, in ms: one stuck stream must not exclude its
 * engine permanently.
 */
const MAX_LAG_MS = 200;

/** Shard of a prompt, assigned to the engine that prefills it. */
export interface PrefillShard {
  readonly target: string;
  readonly prefillMs: number;
}

/** KV cache that a helper engine reserves until the stream ends. */
export interface KvReservation {
  readonly target: string;
  readonly tokens: number;
}

/** Assignment of one stream to engines. */
export interface Placement {
  /**
   * Key that is unique among all gates: owner (host and incarnation of the
   * gate), `#`, and a number.
   */
  readonly key: string;
  /** Engine that decodes the answer; it also prefills the first shard. */
  readonly decoder: string;
  readonly shards: readonly PrefillShard[];
  readonly promptTokens: number;
  /** KV cache on the decoding engine until the stream ends, in tokens. */
  readonly kvTokens: number;
  /** KV cache reservations on helper engines. */
  readonly reserved: readonly KvReservation[];
  readonly objectiveMs: number;
  readonly itlObjectiveMs: number;
  /** Value of an answer within its objectives, relative to other streams. */
  readonly value: number;
  /** Predicted time to first token, in ms. */
  readonly predictedTtftMs: number;
  /** Time of the placement on this process's monotonic clock, in ms. */
  readonly placedAt: number;
}

interface EngineState {
  readonly entries: Set<TrackedPlacement>;
  /** Undefined for an engine that is not in the configuration. */
  readonly iterations: EngineIterations | undefined;
}

interface TrackedPlacement {
  readonly placement: Placement;
  hasFirstToken: boolean;
}

/** A prompt with a shard in the prefill queue of an engine. */
export interface QueuedPrompt {
  readonly placement: Placement;
  /** Time until the prefill of the shard on this engine ends, in ms. */
  readonly shardDoneMs: number;
  /** Time until the prefill ends on all engines of the prompt, in ms. */
  readonly prefillDoneMs: number;
}

/** A stream whose prefill has not ended yet, on its decoding engine. */
export interface PendingStream {
  readonly placement: Placement;
  /** Time until the prefill ends on all engines of the prompt, in ms. */
  readonly prefillDoneMs: number;
}

/** Snapshot of the load of one engine. */
export interface EngineLoad {
  /** Time until the prefill queue is empty, including the lag, in ms. */
  readonly backlogMs: number;
  /** Time until a new shard can start, after the running iteration, in ms. */
  readonly waitMs: number;
  /** Prefill time of each coming iteration, in ms. */
  readonly iterationPrefillsMs: readonly number[];
  /**
   * Delay of the most overdue first token against its prediction, in ms. This
   * delay is the first sign of an engine that is slow or has failed.
   */
  readonly lagMs: number;
  /** Prompts with a shard in the prefill queue. */
  readonly queued: readonly QueuedPrompt[];
  /** Number of streams that this engine decodes now or after their prefill. */
  readonly active: number;
  /** Streams that this engine decodes now. */
  readonly decoding: readonly Placement[];
  /** Streams that this engine decodes once their prefill has ended. */
  readonly pending: readonly PendingStream[];
  readonly contextTokens: number;
  /** KV cache of streams decoded here and of helper reservations, in tokens. */
  readonly kvTokens: number;
  /**
   * Number of prompts for which this engine, as a helper, prefills a shard or
   * reserves KV cache.
   */
  readonly helpedPrompts: number;
}

/**
 * Tracks the placements of all gates and derives the load of each engine.
 *
 * @example
 * tracker.add(placement);
 * tracker.describe('i-1', now).backlogMs;
 */
export class LoadTracker {
  private readonly entries = new Map<string, TrackedPlacement>();
  private readonly engines = new Map<string, EngineState>();
  private readonly slowdowns = new Map<string, number>();
  private readonly removeListeners: Array<() => void> = [];

  /**
   * @param findEngine - Returns the cost model of an engine; undefined for a
   *   target that is not a configured engine.
   */
  constructor(
    private readonly findEngine: (
      target: string,
    ) => EngineCostModel | undefined,
  ) {}

  /** True while no gate has a placed stream. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Registers a listener that is called when a stream releases its slot. */
  onRemove(listener: () => void): void {
    this.removeListeners.push(listener);
  }

  /**
   * Adds a placement. For a key that is already tracked, records only the first
   * token.
   *
   * @param hasFirstToken - True if the first token has been received.
   */
  add(placement: Placement, hasFirstToken = false): void {
    const known = this.entries.get(placement.key);
    if (known !== undefined) {
      if (hasFirstToken) this.markFirstToken(placement.key, placement.placedAt);
      return;
    }
    const entry: TrackedPlacement = {placement, hasFirstToken};
    this.entries.set(placement.key, entry);
    for (const target of listTargets(placement))
      this.findEngineState(target).entries.add(entry);
    if (hasFirstToken) this.addSequence(placement, placement.placedAt);
    else this.addShards(placement);
  }

  /** Records that the first token was received, so that prefill has ended. */
  markFirstToken(key: string, now: number): void {
    const entry = this.entries.get(key);
    if (entry === undefined || entry.hasFirstToken) return;
    entry.hasFirstToken = true;
    for (const {target} of entry.placement.shards)
      this.engines.get(target)?.iterations?.removeShard(key, now);
    this.addSequence(entry.placement, now);
  }

  /** Removes the placement of a stream that has ended. */
  remove(key: string, now: number): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    this.entries.delete(key);
    for (const target of listTargets(entry.placement)) {
      const state = this.engines.get(target);
      state?.entries.delete(entry);
      state?.iterations?.removeShard(key, now);
      state?.iterations?.removeSequence(key, now);
      if (state?.entries.size === 0) this.engines.delete(target);
    }
    for (const listener of this.removeListeners) listener();
  }

  /** Estimates the time until a prompt is prefilled on all engines, in ms. */
  estimateRemainingPrefillMs(key: string, now: number): number {
    const placement = this.entries.get(key)?.placement;
    return placement === undefined
      ? 0
      : this.estimatePrefillDoneMs(placement, now);
  }

  /**
   * Estimates the time until the running iteration of an engine ends, in ms; 0
   * if no prefill is known to be running.
   */
  estimateIterationLeftMs(target: string, now: number): number {
    return (
      this.engines.get(target)?.iterations?.estimateIterationLeftMs(now) ?? 0
    );
  }

  /** Sets the slowdown of an engine; 1 means configured speed. */
  setSlowdown(target: string, slowdown: number, now: number): void {
    this.slowdowns.set(target, slowdown);
    if (slowdown === 1) this.slowdowns.delete(target);
    this.engines.get(target)?.iterations?.setSlowdown(slowdown, now);
  }

  /** Lists the placements whose keys begin with `owner`. */
  listOwnedBy(owner: string): ReadonlyArray<{
    readonly placement: Placement;
    readonly hasFirstToken: boolean;
  }> {
    const prefix = `${owner}#`;
    return [...this.entries.values()].filter(entry =>
      entry.placement.key.startsWith(prefix),
    );
  }

  /** Removes every placement of `owner` whose key is not in `keep`. */
  removeOwnedExcept(
    owner: string,
    keep: ReadonlySet<string>,
    now: number,
  ): void {
    for (const {placement} of this.listOwnedBy(owner))
      if (!keep.has(placement.key)) this.remove(placement.key, now);
  }

  /** Describes the load of one engine at `now`. */
  describe(target: string, now: number): EngineLoad {
    const state = this.engines.get(target);
    const decoding: Placement[] = [];
    const pending: PendingStream[] = [];
    let contextTokens = 0;
    let kvTokens = 0;
    let lagMs = 0;
    let helpedPrompts = 0;
    for (const {placement, hasFirstToken} of state?.entries ?? []) {
      if (placement.decoder !== target) {
        const reservedTokens = readReservedTokens(placement, target);
        kvTokens += reservedTokens;
        if (reservedTokens > 0 || !hasFirstToken) helpedPrompts++;
        continue;
      }
      kvTokens += placement.kvTokens;
      if (hasFirstToken) {
        decoding.push(placement);
        contextTokens += placement.promptTokens;
      } else {
        const prefillDoneMs = this.estimatePrefillDoneMs(placement, now);
        pending.push({placement, prefillDoneMs});
        lagMs = Math.max(lagMs, measureLagMs(placement, now));
      }
    }
    return {
      backlogMs:
        Math.max(
          0,
          ...(state?.iterations?.listPrefillEnds(now).values() ?? []),
        ) + lagMs,
      waitMs: state?.iterations?.estimateStartDelayMs(now) ?? 0,
      iterationPrefillsMs: state?.iterations?.listIterationPrefills(now) ?? [],
      lagMs,
      queued: this.listQueued(state, now),
      active: decoding.length + pending.length,
      decoding,
      pending,
      contextTokens,
      kvTokens,
      helpedPrompts,
    };
  }

  private listQueued(
    state: EngineState | undefined,
    now: number,
  ): readonly QueuedPrompt[] {
    const queued: QueuedPrompt[] = [];
    for (const [key, shardDoneMs] of state?.iterations?.listPrefillEnds(now) ??
      []) {
      const placement = this.entries.get(key)?.placement;
      if (placement === undefined) continue;
      const prefillDoneMs = this.estimatePrefillDoneMs(placement, now);
      queued.push({placement, shardDoneMs, prefillDoneMs});
    }
    return queued;
  }

  /** Estimates the time until the prefill of all shards has ended, in ms. */
  private estimatePrefillDoneMs({key, shards}: Placement, now: number): number {
    let lastMs = 0;
    for (const {target} of shards) {
      const ends = this.engines.get(target)?.iterations?.listPrefillEnds(now);
      lastMs = Math.max(lastMs, ends?.get(key) ?? 0);
    }
    return lastMs;
  }

  private addShards(placement: Placement): void {
    const {key, decoder, shards, promptTokens, placedAt} = placement;
    const tokens = promptTokens / shards.length;
    for (const {target, prefillMs} of shards) {
      const isDecodedHere = target === decoder;
      const isWhole = shards.length === 1;
      const work = {ms: prefillMs, tokens, isDecodedHere, isWhole};
      this.findEngineState(target).iterations?.addShard(key, work, placedAt);
    }
  }

  private addSequence(
    {key, decoder, promptTokens}: Placement,
    now: number,
  ): void {
    this.findEngineState(decoder).iterations?.addSequence(
      key,
      promptTokens,
      now,
    );
  }

  private findEngineState(target: string): EngineState {
    let state = this.engines.get(target);
    if (state === undefined) {
      const engine = this.findEngine(target);
      const iterations =
        engine && new EngineIterations(engine, this.slowdowns.get(target));
      state = {entries: new Set(), iterations};
      this.engines.set(target, state);
    }
    return state;
  }
}

/**
 * Measures how late the first token of a stream is against its prediction, in
 * ms; 0 for streams with a long predicted time to first token.
 */
function measureLagMs(placement: Placement, now: number): number {
  if (placement.predictedTtftMs > SHORT_TTFT_MS) return 0;
  const dueAt = placement.placedAt + placement.predictedTtftMs;
  return Math.min(MAX_LAG_MS, Math.max(0, now - dueAt));
}

function readReservedTokens(placement: Placement, target: string): number {
  return (
    placement.reserved.find(reserved => reserved.target === target)?.tokens ?? 0
  );
}

function listTargets(placement: Placement): ReadonlySet<string> {
  return new Set([
    placement.decoder,
    ...placement.shards.map(shard => shard.target),
  ]);
}

/**
 * Creates a load tracker without placements.
 *
 * @example
 * const tracker = createLoadTracker(id => state.findEngine(id));
 */
export function createLoadTracker(
  findEngine: (target: string) => EngineCostModel | undefined,
): LoadTracker {
  return new LoadTracker(findEngine);
}
