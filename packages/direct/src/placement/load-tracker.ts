/**
 * Tracks which streams run on which engine, as placed by this gate and its
 * peers. Placements are used instead of the engines' load reports because peers
 * announce placements within milliseconds, while load reports are older.
 */

import {IDLE_LOAD, findLongest} from './engine-load.js';
import {OwnedPlacements} from './owned-placements.js';
import {SuspectTrials} from './suspect-trials.js';
import {TrackedEngine} from './tracked-engine.js';
import type {EngineCostModel} from '../types.js';
import type {EngineIterations} from './engine-iterations.js';
import type {Placement} from './placement.js';
import type {EngineLoad, EngineOccupancy, QueuedPrompt} from './engine-load.js';
import type {TrackedPlacement} from './tracked-engine.js';

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

/** Interval at which engines without work are dropped, in ms. */
const IDLE_CHECK_INTERVAL_MS = 1000;

/**
 * Tracks the placements of all gates and derives the load of each engine.
 *
 * @example
 * tracker.add(placement);
 * tracker.describe('i-1', now).backlogMs;
 */
export class LoadTracker {
  private readonly entries = new Map<string, TrackedPlacement>();
  private readonly owned = new OwnedPlacements();
  private readonly engines = new Map<string, TrackedEngine>();
  private readonly slowdowns = new Map<string, number>();
  private readonly removeListeners: Array<() => void> = [];
  private changes = 0;
  /** Time from which idle engines are looked for again, in ms. */
  private nextDropAt = -Infinity;
  /** Suspect prompts before their first token. */
  readonly trials = new SuspectTrials();

  /**
   * @param findEngine - Returns the cost model of an engine; undefined for a
   *   target that is not known yet or is not a configured engine.
   */
  constructor(
    private readonly findEngine: (
      target: string,
    ) => EngineCostModel | undefined,
  ) {}

  /** Changes with each change of the load of an engine. */
  get version(): number {
    return this.changes;
  }

  /** True while no gate has a placed stream. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Checks whether the placement of an open stream is known. */
  isTracked(key: string): boolean {
    return this.entries.has(key);
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
    const entry: TrackedPlacement = {
      placement,
      firstTokenAt: hasFirstToken ? placement.placedAt : undefined,
    };
    this.entries.set(placement.key, entry);
    this.owned.add(entry);
    this.changes++;
    if (!hasFirstToken) this.trials.add(placement);
    for (const target of listTargets(placement))
      this.findOrAddEngine(target).add(entry);
  }

  /** Records that the first token was received, so that prefill has ended. */
  markFirstToken(key: string, now: number): void {
    const entry = this.entries.get(key);
    if (entry === undefined || entry.firstTokenAt !== undefined) return;
    entry.firstTokenAt = now;
    this.changes++;
    this.trials.remove(key);
    for (const target of listTargets(entry.placement))
      this.engines.get(target)?.markFirstToken(entry, now);
  }

  /** Removes the placement of a stream that has ended. */
  remove(key: string, now: number): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    this.entries.delete(key);
    this.owned.remove(entry);
    this.changes++;
    this.trials.remove(key);
    for (const target of listTargets(entry.placement))
      this.engines.get(target)?.remove(entry, now);
    this.dropIdleEngines(now);
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
      this.engines
        .get(target)
        ?.readIterations()
        ?.estimateIterationLeftMs(now) ?? 0
    );
  }

  /**
   * Estimates the pause of the streams that an engine decodes after an event
   * that has arrived at `now`, in ms; 0 if no schedule is known.
   */
  estimatePauseMs(target: string, now: number): number {
    const iterations = this.engines.get(target)?.readIterations();
    return iterations?.estimatePauseMs(now) ?? 0;
  }

  /**
   * Estimates the iteration of an engine that follows the running one, in ms; 0
   * if no schedule is known.
   */
  estimateNextIterationMs(target: string, now: number): number {
    const iterations = this.engines.get(target)?.readIterations();
    return iterations?.estimateNextIterationMs(now) ?? 0;
  }

  /** Sets the slowdown of an engine; 1 means configured speed. */
  setSlowdown(target: string, slowdown: number, now: number): void {
    this.slowdowns.set(target, slowdown);
    this.changes++;
    if (slowdown === 1) this.slowdowns.delete(target);
    this.engines.get(target)?.readIterations()?.setSlowdown(slowdown, now);
  }

  /** Lists the placements of one gate. */
  listOwnedBy(owner: string): ReadonlyArray<{
    readonly placement: Placement;
    readonly hasFirstToken: boolean;
  }> {
    return this.owned.list(owner).map(({placement, firstTokenAt}) => ({
      placement,
      hasFirstToken: firstTokenAt !== undefined,
    }));
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

  /** Counts the streams that an engine decodes now or after their prefill. */
  countActive(target: string): number {
    return this.engines.get(target)?.activeCount ?? 0;
  }

  /** Describes the load of one engine at `now`. */
  describe(target: string, now: number): EngineLoad {
    const engine = this.engines.get(target);
    if (engine === undefined) return IDLE_LOAD;
    const iterations = engine.readIterations();
    const occupancy = engine.readOccupancy();
    const waitMs = iterations?.estimateStartDelayMs(now) ?? 0;
    const isDecodingOnly =
      occupancy.pending.length === 0 &&
      (iterations?.isWithoutPrefill(now) ?? true);
    if (!isDecodingOnly)
      return this.describePrefilling(iterations, occupancy, waitMs, now);
    // Most engines only decode; their load is the same until a stream changes.
    const known = engine.decodingLoad;
    if (known?.decoding === occupancy.decoding && known.waitMs === waitMs)
      return known;
    engine.decodingLoad = {
      ...IDLE_LOAD,
      ...occupancy,
      waitMs,
      active: occupancy.decoding.length,
      pending: [],
    };
    return engine.decodingLoad;
  }

  private describePrefilling(
    iterations: EngineIterations | undefined,
    occupancy: EngineOccupancy,
    waitMs: number,
    now: number,
  ): EngineLoad {
    let lagMs = 0;
    const pending = occupancy.pending.map(placement => {
      lagMs = Math.max(lagMs, measureLagMs(placement, now));
      const prefillDoneMs = this.estimatePrefillDoneMs(placement, now);
      return {placement, prefillDoneMs};
    });
    const queued = this.listQueued(iterations, now);
    let backlogMs = 0;
    for (const {shardDoneMs} of queued)
      backlogMs = Math.max(backlogMs, shardDoneMs);
    const iterationPrefillsMs = iterations?.listIterationPrefills(now) ?? [];
    const {decoding, decodingGroups, contextTokens} = occupancy;
    return {
      backlogMs: backlogMs + lagMs,
      waitMs,
      waitingShards: iterations?.listWaitingShards(now) ?? [],
      iterationPrefillsMs,
      longestPrefillMs: findLongest(iterationPrefillsMs),
      lagMs,
      queued,
      active: decoding.length + pending.length,
      decoding,
      decodingGroups,
      pending,
      contextTokens,
      kvTokens: occupancy.kvTokens,
      helpedPrompts: occupancy.helpedPrompts,
    };
  }

  private listQueued(
    iterations: EngineIterations | undefined,
    now: number,
  ): readonly QueuedPrompt[] {
    const queued: QueuedPrompt[] = [];
    for (const [key, shardDoneMs] of iterations?.listPrefillEnds(now) ?? []) {
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
      const iterations = this.engines.get(target)?.readIterations();
      const endMs = iterations?.estimatePrefillEndMs(key, now) ?? 0;
      lastMs = Math.max(lastMs, endMs);
    }
    return lastMs;
  }

  private dropIdleEngines(now: number): void {
    if (now < this.nextDropAt) return;
    this.nextDropAt = now + IDLE_CHECK_INTERVAL_MS;
    for (const [target, engine] of this.engines)
      if (engine.isIdle(now)) this.engines.delete(target);
  }

  private findOrAddEngine(target: string): TrackedEngine {
    let engine = this.engines.get(target);
    if (engine === undefined) {
      engine = new TrackedEngine({
        id: target,
        findCostModel: () => this.findEngine(target),
        readSlowdown: () => this.slowdowns.get(target) ?? 1,
      });
      this.engines.set(target, engine);
    }
    return engine;
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

/** Lists the engines of a placement; most placements are on one engine. */
function listTargets({decoder, shards}: Placement): Iterable<string> {
  if (shards.length === 1 && shards[0].target === decoder) return [decoder];
  return new Set([decoder, ...shards.map(shard => shard.target)]);
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
