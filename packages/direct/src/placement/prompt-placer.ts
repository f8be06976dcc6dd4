/**
 * Places streams on engines: gathers the candidates, chooses among them, and
 * keeps the load book and the other gates informed.
 */
import {isEverFitting} from './engine-memory.js';
import {chooseMoment} from './choose-moment.js';
import {MAX_READERS, buildPlacement, estimateValue} from './place-prompt.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {EnginePaces} from '../health/engine-paces.js';
import type {TargetHealth} from '../health/target-health.js';
import type {EngineFigures, Target} from '../types.js';
import type {LoadBook, Placement} from './load-book.js';
import type {PromptChoice, PromptDemand} from './prompt-types.js';
import type {Candidate} from './price-reader.js';

/** Told of placements so that other gates learn of them. */
export abstract class PlacementAnnouncer {
  /** A stream was placed. */
  abstract announcePlaced(placement: Placement): void;
  /** Its first event has come. */
  abstract announceBegun(key: string): void;
  /** It has ended. */
  abstract announceEnded(key: string): void;
}

/** A stream that holds a place until it is released. */
export class PlacedPrompt {
  private isReleased = false;

  constructor(
    readonly target: Target,
    readonly helpers: readonly Target[],
    readonly choice: PromptChoice,
    private readonly key: string,
    private readonly book: LoadBook,
    private readonly announcer: PlacementAnnouncer,
    private readonly readNow: () => number,
  ) {}

  /** Notes the first event: the prompt is read. */
  markBegun(): void {
    this.book.markBegun(this.key, this.readNow());
    this.announcer.announceBegun(this.key);
  }

  /** True while its engines are expected to have other prompts to read first. */
  isUnread(): boolean {
    return this.book.countReadLeftMs(this.key, this.readNow()) > 0;
  }

  /** Gives the place back; further calls change nothing. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.book.remove(this.key, this.readNow());
    this.announcer.announceEnded(this.key);
  }
}

/** A prompt that is better sent later. */
export interface LaterPlace {
  /** When to look again, in ms. */
  readonly waitMs: number;
  /** When its first event is expected, in ms from now. */
  readonly predictedFirstMs: number;
}

/** How a placing ended. */
export type PlaceOutcome = PlacedPrompt | LaterPlace | 'full' | 'none';

/** What a request asks of the engines. */
export interface PromptRequest {
  readonly service: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Latency objective of the first event, and what is left of it, in ms. */
  readonly goalMs: number;
  readonly goalLeftMs: number;
  readonly gapGoalMs: number;
}

/** Dependencies of a placer. */
export interface PromptPlacerOptions {
  readonly owner: string;
  readonly zone: string;
  readonly state: FleetState;
  readonly health: TargetHealth;
  readonly paces: EnginePaces;
  readonly book: LoadBook;
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
   * @param mayOverfill - Places it also where all places are taken: it then
   *   waits in the engine's own queue.
   * @returns `full` when all places or all memory are taken, `none` when the
   *   engines could not take it even if they were idle.
   */
  place(
    request: PromptRequest,
    engine: EngineFigures,
    tried: ReadonlySet<string>,
    mayOverfill: boolean,
  ): PlaceOutcome {
    const {book, announcer, owner, readNow} = this.options;
    const now = readNow();
    const targets = this.listTargets(request.service, tried);
    const demand: PromptDemand = {
      ...request,
      value: estimateValue(request.promptTokens),
    };
    const moment = chooseMoment(
      targets.map(target => this.describeCandidate(target, now)),
      demand,
      engine,
      now,
    );
    if (moment === undefined)
      return isEverFitting(demand, engine, targets.length, MAX_READERS)
        ? 'full'
        : 'none';
    const {choice, waitMs} = moment;
    if (waitMs > 0) return {waitMs, predictedFirstMs: choice.predictedFirstMs};
    const {active} = book.describe(choice.first, now);
    if (!mayOverfill && active >= engine.slots) return 'full';
    const key = `${owner}#${++this.lastNumber}`;
    const placement = buildPlacement(key, choice, demand, now);
    book.add(placement);
    announcer.announcePlaced(placement);
    const byId = new Map(targets.map(target => [target.id, target]));
    const [first, ...helpers] = choice.parts.flatMap(
      part => byId.get(part.target) ?? [],
    );
    return new PlacedPrompt(
      first,
      helpers,
      choice,
      key,
      book,
      announcer,
      readNow,
    );
  }

  /** Says whether an engine that is not in `tried` has a place left. */
  isPlaceFree(
    service: string,
    engine: EngineFigures,
    tried: ReadonlySet<string>,
  ): boolean {
    const {book, readNow} = this.options;
    const now = readNow();
    return this.listTargets(service, tried).some(
      ({id}) => book.describe(id, now).active < engine.slots,
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
      pace: this.options.paces.read(target.id),
      load: this.options.book.describe(target.id, now),
    };
  }
}
