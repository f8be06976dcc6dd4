/**
 * Tracks which streams run on which engine, as placed by this gate and its
 * peers. Peers announce placements within milliseconds; load reports of engines
 * are older.
 */

import {EngineIterations} from './engine-iterations.js';
import type {EngineFigures} from '../types.js';

/**
 * Longest predicted time to first token that says something about its engine if
 * missed, in ms. Long prompts are late for many other reasons.
 */
const SHORT_TTFT_MS = 400;

/**
 * Upper bound of the lag, in ms, so that one stuck stream does not exclude an
 * engine for good.
 */
const MAX_LAG_MS = 200;

/** The shard of a prompt that one engine prefills. */
export interface PrefillShard {
  readonly target: string;
  readonly prefillMs: number;
}

/** KV cache that a helper holds until the stream ends. */
export interface KvReservation {
  readonly target: string;
  readonly tokens: number;
}

/** One placed stream. */
export interface Placement {
  /** Unique among all gates: owner and number. */
  readonly key: string;
  /** The engine that decodes the answer; it prefills the first shard. */
  readonly decoder: string;
  readonly shards: readonly PrefillShard[];
  readonly promptTokens: number;
  /** KV cache on the decoding engine until the stream ends, in tokens. */
  readonly kvTokens: number;
  /** KV cache on helpers. */
  readonly reserved: readonly KvReservation[];
  readonly objectiveMs: number;
  readonly itlObjectiveMs: number;
  /** Worth of an answer within its objectives, relative to other streams. */
  readonly value: number;
  /** Predicted time to first token, in ms. */
  readonly predictedTtftMs: number;
  /** Time of the placement on this process's monotonic clock, in ms. */
  readonly placedAt: number;
}

interface EngineState {
  readonly entries: Set<Entry>;
  /** Absent for an engine that is not in the configuration. */
  readonly iterations: EngineIterations | undefined;
}

interface Entry {
  readonly placement: Placement;
  hasBegun: boolean;
}

/** A prompt with a shard in the prefill queue of an engine. */
export interface QueuedPrompt {
  readonly placement: Placement;
  /** Time until the prefill of its shard here ends, in ms. */
  readonly doneMs: number;
  /** Time until the prefill of its last shard on any engine ends, in ms. */
  readonly prefillDoneMs: number;
}

/** A stream that an engine will decode after prefill. */
export interface PendingStream {
  readonly placement: Placement;
  /** Time until the prefill of its last shard on any engine ends, in ms. */
  readonly prefillDoneMs: number;
}

/** Load of one engine at one time. */
export interface EngineLoad {
  /** Time until the prefill queue is empty, lag included, in ms. */
  readonly backlogMs: number;
  /** Time until a new shard can start: the rest of an iteration, in ms. */
  readonly waitMs: number;
  /** Prefill time of each coming iteration, in ms. */
  readonly iterationPrefillsMs: readonly number[];
  /**
   * How far a first token is behind its prediction, in ms. A slow or dead
   * engine shows by nothing else at first.
   */
  readonly lagMs: number;
  /** Prompts with a shard in the prefill queue. */
  readonly queued: readonly QueuedPrompt[];
  /** Streams that are decoded here, or will be. */
  readonly active: number;
  /** Streams that are decoded. */
  readonly decoding: readonly Placement[];
  /** Streams that will be decoded here after prefill. */
  readonly pending: readonly PendingStream[];
  readonly contextTokens: number;
  /** KV cache of decoded streams and of reservations for others, in tokens. */
  readonly kvTokens: number;
  /** Prompts for which it prefills a shard or holds KV cache as a helper. */
  readonly helping: number;
}

/**
 * The placements of all gates.
 *
 * @example
 * tracker.add(placement);
 * tracker.describe('i-1', now).backlogMs;
 */
export class LoadTracker {
  private readonly entries = new Map<string, Entry>();
  private readonly engines = new Map<string, EngineState>();
  private readonly slowdowns = new Map<string, number>();
  private readonly removeListeners: Array<() => void> = [];

  /** @param findEngine - Figures of a target that is an engine. */
  constructor(
    private readonly findEngine: (target: string) => EngineFigures | undefined,
  ) {}

  /** True while no gate has an open stream. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Registers a listener for slots that become free. */
  onRemove(listener: () => void): void {
    this.removeListeners.push(listener);
  }

  /** Adds a placement; a known key changes nothing. */
  add(placement: Placement, hasBegun = false): void {
    const known = this.entries.get(placement.key);
    if (known !== undefined) {
      if (hasBegun) this.markBegun(placement.key, placement.placedAt);
      return;
    }
    const entry: Entry = {placement, hasBegun};
    this.entries.set(placement.key, entry);
    for (const target of listTargets(placement))
      this.readEngine(target).entries.add(entry);
    if (hasBegun) this.addSequence(placement, placement.placedAt);
    else this.addShards(placement);
  }

  /** Records the first token: prefill has ended. */
  markBegun(key: string, now: number): void {
    const entry = this.entries.get(key);
    if (entry === undefined || entry.hasBegun) return;
    entry.hasBegun = true;
    for (const {target} of entry.placement.shards)
      this.engines.get(target)?.iterations?.removeShard(key, now);
    this.addSequence(entry.placement, now);
  }

  /** Removes a stream that has ended. */
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

  /** Time until the prefill of a prompt ends on all its engines, in ms. */
  countPrefillLeftMs(key: string, now: number): number {
    const placement = this.entries.get(key)?.placement;
    return placement === undefined ? 0 : this.findPrefillDoneMs(placement, now);
  }

  /** Sets the slowdown of an engine; 1 is as configured. */
  setSlowdown(target: string, slowdown: number, now: number): void {
    this.slowdowns.set(target, slowdown);
    if (slowdown === 1) this.slowdowns.delete(target);
    this.engines.get(target)?.iterations?.setSlowdown(slowdown, now);
  }

  /** Lists the placements whose key begins with `owner`. */
  listOwnedBy(owner: string): ReadonlyArray<{
    readonly placement: Placement;
    readonly hasBegun: boolean;
  }> {
    const prefix = `${owner}#`;
    return [...this.entries.values()].filter(entry =>
      entry.placement.key.startsWith(prefix),
    );
  }

  /** Removes every placement of `owner` that is not in `keep`. */
  dropUnlessKept(owner: string, keep: ReadonlySet<string>, now: number): void {
    for (const {placement} of this.listOwnedBy(owner))
      if (!keep.has(placement.key)) this.remove(placement.key, now);
  }

  /** Describes the load of one engine. */
  describe(target: string, now: number): EngineLoad {
    const state = this.engines.get(target);
    const decoding: Placement[] = [];
    const pending: PendingStream[] = [];
    let contextTokens = 0;
    let kvTokens = 0;
    let lagMs = 0;
    let helping = 0;
    for (const {placement, hasBegun} of state?.entries ?? []) {
      if (placement.decoder !== target) {
        const reservedTokens = readReservedTokens(placement, target);
        kvTokens += reservedTokens;
        if (reservedTokens > 0 || !hasBegun) helping++;
        continue;
      }
      kvTokens += placement.kvTokens;
      if (hasBegun) {
        decoding.push(placement);
        contextTokens += placement.promptTokens;
      } else {
        const prefillDoneMs = this.findPrefillDoneMs(placement, now);
        pending.push({placement, prefillDoneMs});
        lagMs = Math.max(lagMs, countLagMs(placement, now));
      }
    }
    return {
      backlogMs:
        Math.max(
          0,
          ...(state?.iterations?.listPrefillEnds(now).values() ?? []),
        ) + lagMs,
      waitMs: state?.iterations?.countWaitMs(now) ?? 0,
      iterationPrefillsMs: state?.iterations?.listIterationPrefills(now) ?? [],
      lagMs,
      queued: this.listQueued(state, now),
      active: decoding.length + pending.length,
      decoding,
      pending,
      contextTokens,
      kvTokens,
      helping,
    };
  }

  private listQueued(
    state: EngineState | undefined,
    now: number,
  ): readonly QueuedPrompt[] {
    const queued: QueuedPrompt[] = [];
    for (const [key, doneMs] of state?.iterations?.listPrefillEnds(now) ?? []) {
      const placement = this.entries.get(key)?.placement;
      if (placement === undefined) continue;
      const prefillDoneMs = this.findPrefillDoneMs(placement, now);
      queued.push({placement, doneMs, prefillDoneMs});
    }
    return queued;
  }

  /** Time until the prefill of the last shard ends, in ms. */
  private findPrefillDoneMs({key, shards}: Placement, now: number): number {
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
      const isOwn = target === decoder;
      const isWhole = shards.length === 1;
      const work = {ms: prefillMs, tokens, isOwn, isWhole};
      this.readEngine(target).iterations?.addShard(key, work, placedAt);
    }
  }

  private addSequence(
    {key, decoder, promptTokens}: Placement,
    now: number,
  ): void {
    this.readEngine(decoder).iterations?.addSequence(key, promptTokens, now);
  }

  private readEngine(target: string): EngineState {
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

/** How far a short stream's first token is behind its prediction, in ms. */
function countLagMs(placement: Placement, now: number): number {
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
 * Creates an empty tracker.
 *
 * @example
 * const tracker = createLoadTracker(id => state.findEngine(id));
 */
export function createLoadTracker(
  findEngine: (target: string) => EngineFigures | undefined,
): LoadTracker {
  return new LoadTracker(findEngine);
}
