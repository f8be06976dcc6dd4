/** Placements on one engine, and the schedule predicted from them. */
import {isDeepStrictEqual} from 'node:util';
import {EngineIterations} from './engine-iterations.js';
import type {EngineCostModel} from '../types.js';
import {sumStreams} from './stream-group.js';
import type {EngineLoad, EngineOccupancy} from './engine-load.js';
import type {Placement} from './placement.js';

/** Placement of an open stream. */
export interface TrackedPlacement {
  readonly placement: Placement;
  /**
   * Time of the first token on the monotonic clock, in ms; undefined during
   * prefill.
   */
  firstTokenAt: number | undefined;
}

/** Dependencies of a tracked engine. */
export interface TrackedEngineOptions {
  readonly id: string;
  /**
   * Returns the cost model; undefined while the engine is not known from the
   * configuration and the list of targets.
   */
  readonly findCostModel: () => EngineCostModel | undefined;
  /** Returns the slowdown; 1 means configured speed. */
  readonly readSlowdown: () => number;
}

/**
 * One engine with its open placements. Peers may announce placements on an
 * engine before this gate knows its cost model, and the configuration may
 * change the model; the schedule is then predicted again from all placements.
 *
 * @example
 * const engine = new TrackedEngine({id: 'i-1', findCostModel, readSlowdown});
 * engine.add({placement, firstTokenAt: undefined});
 * engine.readIterations()?.estimateStartDelayMs(now);
 */
export class TrackedEngine {
  readonly entries = new Set<TrackedPlacement>();
  /** Latest load of the engine while it only decoded. */
  decodingLoad: EngineLoad | undefined;
  private occupancy: EngineOccupancy | undefined;
  private costModel: EngineCostModel | undefined;
  private iterations: EngineIterations | undefined;

  constructor(private readonly options: TrackedEngineOptions) {}

  /** Number of streams that the engine decodes now or after their prefill. */
  get activeCount(): number {
    const {decoding, pending} = this.readOccupancy();
    return decoding.length + pending.length;
  }

  /** Returns what the placements add up to; computed anew after a change. */
  readOccupancy(): EngineOccupancy {
    this.occupancy ??= this.sumPlacements();
    return this.occupancy;
  }

  /** Returns the predicted schedule; undefined without a cost model. */
  readIterations(): EngineIterations | undefined {
    const costModel = this.options.findCostModel();
    if (costModel !== this.costModel) this.applyCostModel(costModel);
    return this.iterations;
  }

  /**
   * Returns true if no placement is left and no iteration is running. An engine
   * finishes an iteration even if its prompts are cancelled.
   */
  isIdle(now: number): boolean {
    if (this.entries.size > 0) return false;
    return (this.readIterations()?.estimateIterationLeftMs(now) ?? 0) === 0;
  }

  /** Adds a placement that has a shard, a sequence or KV cache here. */
  add(entry: TrackedPlacement): void {
    const iterations = this.readIterations();
    this.entries.add(entry);
    this.occupancy = undefined;
    if (iterations !== undefined) this.addWork(iterations, entry);
  }

  /** Records that the prefill of a placement has ended on all its engines. */
  markFirstToken(entry: TrackedPlacement, now: number): void {
    this.occupancy = undefined;
    const iterations = this.readIterations();
    iterations?.removeShard(entry.placement.key, now);
    if (iterations !== undefined) this.addWork(iterations, entry);
  }

  /** Removes a placement whose stream has ended. */
  remove(entry: TrackedPlacement, now: number): void {
    const {key} = entry.placement;
    this.entries.delete(entry);
    this.occupancy = undefined;
    const iterations = this.readIterations();
    iterations?.removeShard(key, now);
    iterations?.removeSequence(key, now);
  }

  private sumPlacements(): EngineOccupancy {
    const {id} = this.options;
    const decoding: Placement[] = [];
    const pending: Placement[] = [];
    let contextTokens = 0;
    let kvTokens = 0;
    let helpedPrompts = 0;
    for (const {placement, firstTokenAt} of this.entries) {
      const hasFirstToken = firstTokenAt !== undefined;
      if (placement.decoder !== id) {
        const reservedTokens = readReservedTokens(placement, id);
        kvTokens += reservedTokens;
        if (reservedTokens > 0 || !hasFirstToken) helpedPrompts++;
        continue;
      }
      kvTokens += placement.kvTokens;
      if (hasFirstToken) contextTokens += placement.promptTokens;
      (hasFirstToken ? decoding : pending).push(placement);
    }
    const decodingGroups = sumStreams(decoding);
    return {
      decoding,
      decodingGroups,
      pending,
      contextTokens,
      kvTokens,
      helpedPrompts,
    };
  }

  private applyCostModel(costModel: EngineCostModel | undefined): void {
    const isUnchanged = isDeepStrictEqual(costModel, this.costModel);
    this.costModel = costModel;
    if (isUnchanged) return;
    this.iterations = costModel && this.buildSchedule(costModel);
  }

  /** Builds the schedule from the open placements in their order. */
  private buildSchedule(costModel: EngineCostModel): EngineIterations {
    const iterations = new EngineIterations(
      costModel,
      this.options.readSlowdown(),
    );
    const entries = [...this.entries].sort(
      (a, b) => findStart(a) - findStart(b),
    );
    for (const entry of entries) this.addWork(iterations, entry);
    return iterations;
  }

  private addWork(
    iterations: EngineIterations,
    {placement, firstTokenAt}: TrackedPlacement,
  ): void {
    const {key, decoder, shards, promptTokens, placedAt} = placement;
    const isDecodedHere = decoder === this.options.id;
    if (firstTokenAt !== undefined) {
      if (isDecodedHere)
        iterations.addSequence(key, promptTokens, firstTokenAt);
      return;
    }
    const shard = shards.find(({target}) => target === this.options.id);
    if (shard === undefined) return;
    iterations.addShard(
      key,
      {
        ms: shard.prefillMs,
        tokens: promptTokens / shards.length,
        isDecodedHere,
        isWhole: shards.length === 1,
      },
      placedAt,
    );
  }
}

function readReservedTokens(placement: Placement, target: string): number {
  return (
    placement.reserved.find(reserved => reserved.target === target)?.tokens ?? 0
  );
}

/** Returns the time at which the present work of a placement began, in ms. */
function findStart({placement, firstTokenAt}: TrackedPlacement): number {
  return firstTokenAt ?? placement.placedAt;
}
