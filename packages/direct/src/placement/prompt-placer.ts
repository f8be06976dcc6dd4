/**
 * Places streams on engines: collects candidates, chooses among them, and
 * updates the load tracker and the peers.
 */
import {isEverFitting} from './kv-cache.js';
import {chooseSendTime} from './choose-send-time.js';
import {
  MAX_PREFILL_ENGINES,
  buildPlacement,
  estimateValue,
} from './place-prompt.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {EngineSlowdowns} from '../health/engine-slowdowns.js';
import type {TargetHealth} from '../health/target-health.js';
import type {EngineFigures, Target} from '../types.js';
import type {LoadTracker, Placement} from './load-tracker.js';
import type {PromptChoice, PromptDemand} from './prompt-types.js';
import type {Candidate} from './price-prefill.js';

/** Announces placements to other gates. */
export abstract class PlacementAnnouncer {
  /** A stream was placed. */
  abstract announcePlaced(placement: Placement): void;
  /** Its first token has come. */
  abstract announceBegun(key: string): void;
  /** It has ended. */
  abstract announceEnded(key: string): void;
}

/** A placed stream; it holds its slot until released. */
export class PlacedPrompt {
  private isReleased = false;

  constructor(
    readonly target: Target,
    readonly helpers: readonly Target[],
    readonly choice: PromptChoice,
    private readonly key: string,
    private readonly tracker: LoadTracker,
    private readonly announcer: PlacementAnnouncer,
    private readonly readNow: () => number,
  ) {}

  /** Records the first token: prefill has ended. */
  markBegun(): void {
    this.tracker.markBegun(this.key, this.readNow());
    this.announcer.announceBegun(this.key);
  }

  /** True while its prefill is expected to be under way or queued. */
  isPrefilling(): boolean {
    return this.tracker.countPrefillLeftMs(this.key, this.readNow()) > 0;
  }

  /** Releases the slot; further calls change nothing. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.tracker.remove(this.key, this.readNow());
    this.announcer.announceEnded(this.key);
  }
}

/** A prompt that is better sent later. */
export interface Deferral {
  /** When to choose again, in ms. */
  readonly waitMs: number;
  /** Predicted time to first token, in ms from now. */
  readonly predictedTtftMs: number;
}

/** Result of a placement. */
export type PlacementOutcome = PlacedPrompt | Deferral | 'full' | 'none';

/** What a request needs of the engines. */
export interface PromptRequest {
  readonly service: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Objective of the first token, and what is left of it, in ms. */
  readonly objectiveMs: number;
  readonly objectiveLeftMs: number;
  readonly itlObjectiveMs: number;
}

/** Dependencies of a placer. */
export interface PromptPlacerOptions {
  readonly owner: string;
  readonly zone: string;
  readonly state: FleetState;
  readonly health: TargetHealth;
  readonly slowdowns: EngineSlowdowns;
  readonly tracker: LoadTracker;
  readonly announcer: PlacementAnnouncer;
  readonly readNow: () => number;
}

/**
 * The placer of one gate.
 *
 * @example
 * const placed = placer.place(request, engine, new Set());
 */
export class PromptPlacer {
  private lastNumber = 0;

  constructor(private readonly options: PromptPlacerOptions) {}

  /**
   * Places a stream.
   *
   * @param mayOverfill - Places it even if all slots are taken: it then waits
   *   in the engine's own queue.
   * @returns `full` if all slots or all KV cache are taken, `none` if even
   *   idle engines could not take it.
   */
  place(
    request: PromptRequest,
    engine: EngineFigures,
    tried: ReadonlySet<string>,
    mayOverfill: boolean,
  ): PlacementOutcome {
    const {tracker, announcer, owner, readNow} = this.options;
    const now = readNow();
    const targets = this.listTargets(request.service, tried);
    const demand: PromptDemand = {
      ...request,
      value: estimateValue(request.promptTokens),
    };
    const timed = chooseSendTime(
      targets.map(target => this.describeCandidate(target, now)),
      demand,
      engine,
      now,
    );
    if (timed === undefined)
      return isEverFitting(demand, engine, targets.length, MAX_PREFILL_ENGINES)
        ? 'full'
        : 'none';
    const {choice, waitMs} = timed;
    if (waitMs > 0) return {waitMs, predictedTtftMs: choice.predictedTtftMs};
    const {active} = tracker.describe(choice.decoder, now);
    if (!mayOverfill && active >= engine.slots) return 'full';
    const key = `${owner}#${++this.lastNumber}`;
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
      tracker,
      announcer,
      readNow,
    );
  }

  /** Says whether an engine that is not in `tried` has a free slot. */
  isSlotFree(
    service: string,
    engine: EngineFigures,
    tried: ReadonlySet<string>,
  ): boolean {
    const {tracker, readNow} = this.options;
    const now = readNow();
    return this.listTargets(service, tried).some(
      ({id}) => tracker.describe(id, now).active < engine.slots,
    );
  }

  private listTargets(
    service: string,
    tried: ReadonlySet<string>,
  ): readonly Target[] {
    const {state, health, readNow} = this.options;
    const now = readNow();
    const left = state
      .listUsable(service)
      .filter(target => !tried.has(target.id));
    const sound = left.filter(target => !health.isSuspended(target.id, now));
    return sound.length > 0 ? sound : left;
  }

  private describeCandidate(target: Target, now: number): Candidate {
    return {
      id: target.id,
      isRemote: target.zone !== this.options.zone,
      slowdown: this.options.slowdowns.read(target.id),
      load: this.options.tracker.describe(target.id, now),
    };
  }
}
