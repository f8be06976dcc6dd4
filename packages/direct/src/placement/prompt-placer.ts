/**
 * Places streams on engines: collects the candidate engines, chooses among
 * them, and informs the load tracker and the peers.
 */
import {isWithinIdleKvCapacity} from './kv-cache.js';
import {chooseSendTime} from './choose-send-time.js';
import {PlacedPrompt} from './placed-prompt.js';
import {isColdSlotFree} from './slow-start.js';
import {TargetRanking} from './target-ranking.js';
import {
  MAX_PREFILL_ENGINES,
  buildPlacement,
  estimateValue,
} from './place-prompt.js';
import type {Counters} from '@nutmeggauge/core';
import type {EngineSlowdowns} from '../health/engine-slowdowns.js';
import type {TargetAccess} from '../limits/target-access.js';
import type {EngineCostModel, Target} from '../types.js';
import type {TimedChoice} from './choose-send-time.js';
import type {EligibleTargets} from './eligible-targets.js';
import type {LoadTracker} from './load-tracker.js';
import type {PlacementAnnouncer} from './placed-prompt.js';
import type {PromptDemand} from './prompt-types.js';
import type {Candidate} from './price-prefill.js';

/** Delay until the placement of a suspect that runs elsewhere is tried, in ms. */
const TRIAL_POLL_MS = 40;

/** Decision to send a prompt later. */
export interface Deferral {
  /** Delay until engines are to be chosen again, in ms. */
  readonly waitMs: number;
  /** Predicted time to first token, in ms from now. */
  readonly predictedTtftMs: number;
}

/**
 * Result of an attempt to place a prompt; {@link PromptPlacer.place} describes
 * `full` and `none`.
 */
export type PlacementOutcome = PlacedPrompt | Deferral | 'full' | 'none';

/** Request to place a prompt on engines of a service. */
export interface PromptRequest {
  readonly service: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Objective for the time to first token, in ms. */
  readonly objectiveMs: number;
  /** Time left of that objective, in ms; negative once it is missed. */
  readonly objectiveLeftMs: number;
  readonly itlObjectiveMs: number;
  /**
   * Features of the prompt under which servers have crashed. Such a prompt is
   * placed apart from other streams, and those that share one are placed once at a
   * time among all gates.
   *
   * @default none
   */
  readonly suspects?: readonly string[];
  /**
   * Zones in which the prompt may run.
   *
   * @default all
   */
  readonly allowedZones?: ReadonlySet<string>;
}

/** Dependencies of a prompt placer. */
export interface PromptPlacerOptions {
  /** Host and incarnation of this gate, as used in placement keys. */
  readonly owner: string;
  readonly zone: string;
  readonly eligible: EligibleTargets;
  readonly slowdowns: EngineSlowdowns;
  readonly access: TargetAccess;
  readonly tracker: LoadTracker;
  readonly announcer: PlacementAnnouncer;
  /** Measures the share of the other gates whose placements are known. */
  readonly measureHeardShare: () => number;
  readonly counters?: Counters;
  readonly readNow: () => number;
}

/**
 * Places the prompts of one gate on engines.
 *
 * @example
 * const placed = placer.place(request, engine, new Set());
 */
export class PromptPlacer {
  private lastPlacementNumber = 0;
  /** Latest candidate for each engine; kept while nothing about it changes. */
  private readonly candidates = new Map<string, Candidate>();

  private readonly ranking: TargetRanking;

  constructor(private readonly options: PromptPlacerOptions) {
    this.ranking = new TargetRanking(options.owner);
  }

  /**
   * Places a stream on engines that are not in `tried`.
   *
   * @param mayExceedSlots - Places the stream even if all slots are taken; the
   *   stream then waits in the queue of the engine.
   * @returns `full` if no slot or not enough KV cache is free or the prompt
   *   would break other streams, `none` if even idle engines could not hold the
   *   prompt.
   */
  place(
    request: PromptRequest,
    engine: EngineCostModel,
    tried: ReadonlySet<string>,
    mayExceedSlots: boolean,
  ): PlacementOutcome {
    const {tracker, announcer, owner, readNow} = this.options;
    const now = readNow();
    const {service, suspects = [], allowedZones} = request;
    if (tracker.trials.isRunning(suspects, now))
      return {waitMs: TRIAL_POLL_MS, predictedTtftMs: 0};
    const listed = this.listTargets(service, tried, allowedZones);
    const targets = this.ranking.rank(this.listTakers(listed, engine));
    const keptCount = listed.length - targets.length;
    if (keptCount > 0) this.options.counters?.add('cold.streams_kept');
    if (
      targets.length === 0 &&
      this.readWaitMs(service, tried, allowedZones) > 0
    )
      return 'full';
    const demand: PromptDemand = {
      ...request,
      value: estimateValue(request.promptTokens),
      heardShare: this.options.measureHeardShare(),
    };
    const choose = (candidates: readonly Target[]) =>
      chooseSendTime(
        candidates.map(target => this.describeCandidate(target, now)),
        demand,
        engine,
        now,
        // The caller of a stream that has been attempted has waited already.
        mayExceedSlots,
      );
    const anywhere = choose(targets);
    const apart =
      suspects.length === 0
        ? undefined
        : choose(this.listEmptiest(targets, now));
    const timed = pickInTime(apart, anywhere, request.objectiveLeftMs);
    if (timed === undefined)
      return isWithinIdleKvCapacity(
        demand,
        engine,
        targets.length,
        MAX_PREFILL_ENGINES,
      )
        ? 'full'
        : 'none';
    const {choice, waitMs} = timed;
    if (waitMs > 0) return {waitMs, predictedTtftMs: choice.predictedTtftMs};
    const active = tracker.countActive(choice.decoder);
    if (!mayExceedSlots && active >= engine.slots) return 'full';
    const key = `${owner}#${++this.lastPlacementNumber}`;
    const placement = buildPlacement(key, choice, demand, now);
    tracker.add(placement);
    announcer.announcePlaced(placement);
    const byId = new Map(targets.map(target => [target.id, target]));
    const [decoder, ...helpers] = choice.shards.flatMap(
      shard => byId.get(shard.target) ?? [],
    );
    return new PlacedPrompt(
      decoder,
      helpers,
      choice,
      key,
      suspects.length > 0,
      tracker,
      announcer,
      readNow,
    );
  }

  /** Changes with each change of the load of an engine. */
  get loadVersion(): number {
    return this.options.tracker.version;
  }

  /**
   * Returns the time until an engine may take a request, in ms, if the limits of
   * all engines that are not in `tried` are reached or they rest; else 0.
   */
  readWaitMs(
    service: string,
    tried: ReadonlySet<string>,
    allowedZones?: ReadonlySet<string>,
  ): number {
    return this.options.eligible.readWaitMs(service, tried, allowedZones);
  }

  /** Forgets an engine that was removed. */
  drop(target: string): void {
    this.candidates.delete(target);
    this.ranking.drop(target);
  }

  /** Checks whether an engine that is not in `tried` has a free slot. */
  isSlotFree(
    service: string,
    engine: EngineCostModel,
    tried: ReadonlySet<string>,
    allowedZones?: ReadonlySet<string>,
  ): boolean {
    const {tracker} = this.options;
    const listed = this.listTargets(service, tried, allowedZones);
    return this.listTakers(listed, engine).some(
      ({id}) => tracker.countActive(id) < engine.slots,
    );
  }

  private listTargets(
    service: string,
    tried: ReadonlySet<string>,
    allowedZones: ReadonlySet<string> | undefined,
  ): readonly Target[] {
    const {eligible, tracker, readNow} = this.options;
    const now = readNow();
    const reachable = eligible.list(service, tried, allowedZones);
    const safe = reachable.filter(
      ({id}) => !tracker.trials.isEngineAtRisk(id, now),
    );
    return safe.length > 0 ? safe : reachable;
  }

  /**
   * Lists the engines without the cold ones that hold as many streams as they may
   * at present. If no other one has a free slot, it lists them too: their permits
   * bound what they get.
   */
  private listTakers(
    targets: readonly Target[],
    {slots}: EngineCostModel,
  ): readonly Target[] {
    const {access, tracker, measureHeardShare} = this.options;
    if (!targets.some(({id}) => access.isCold(id))) return targets;
    const heardShare = measureHeardShare();
    const takers = targets.filter(({id}) => {
      if (!access.isCold(id)) return true;
      const active = tracker.countActive(id);
      const progress = access.readColdProgress(id);
      return isColdSlotFree({slots, progress, active, heardShare});
    });
    const isAnyFree = takers.some(({id}) => tracker.countActive(id) < slots);
    return isAnyFree ? takers : targets;
  }

  /** Lists the engines with the fewest streams, which a crash would end. */
  private listEmptiest(
    targets: readonly Target[],
    now: number,
  ): readonly Target[] {
    const counts = targets.map(({id}) => {
      const {active, helpedPrompts} = this.options.tracker.describe(id, now);
      return active + helpedPrompts;
    });
    const fewest = Math.min(...counts);
    return targets.filter((_, i) => counts[i] === fewest);
  }

  private describeCandidate(target: Target, now: number): Candidate {
    const {id, zone} = target;
    const slowdown = this.options.slowdowns.read(id);
    const described = this.options.tracker.describe(id, now);
    // A helper is sent orders, which a limited or resting engine does not want.
    const load = this.options.access.isSpared(id)
      ? {...described, helpedPrompts: Infinity}
      : described;
    const isRemote = zone !== this.options.zone;
    const known = this.candidates.get(id);
    if (
      known?.load === load &&
      known.slowdown === slowdown &&
      known.isRemote === isRemote
    )
      return known;
    const candidate = {id, isRemote, slowdown, load};
    this.candidates.set(id, candidate);
    return candidate;
  }
}

/**
 * Picks the choice apart from other streams, unless its first token would come
 * too late because of it.
 */
function pickInTime(
  apart: TimedChoice | undefined,
  anywhere: TimedChoice | undefined,
  objectiveLeftMs: number,
): TimedChoice | undefined {
  if (apart === undefined || anywhere === undefined) return apart ?? anywhere;
  const latestMs = Math.max(objectiveLeftMs, anywhere.choice.predictedTtftMs);
  return apart.choice.predictedTtftMs <= latestMs ? apart : anywhere;
}
