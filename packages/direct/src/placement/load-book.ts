/**
 * Which stream works on which engine, as this gate and the others have
 * placed them. Load that engines report is some hundred ms old; what the
 * gates tell each other is a few ms old, and all work comes through gates.
 */

import {EnginePasses} from './engine-passes.js';
import type {EngineFigures} from '../types.js';

/**
 * Longest prediction whose failure says something of the engine, in ms. A
 * long prompt is late for many reasons, most of them not its first engine's.
 */
const SHORT_WAIT_MS = 400;

/**
 * Most that a late first event counts, in ms: enough that the next short
 * stream goes elsewhere. Without a bound one stuck stream closed an engine
 * for good, and the others were overfull.
 */
const MAX_OVERDUE_MS = 200;

/** A part of a prompt's reading on one engine. */
export interface ReadPart {
  readonly target: string;
  readonly workMs: number;
}

/** Memory set aside on a helper until the stream ends. */
export interface HeldMemory {
  readonly target: string;
  readonly tokens: number;
}

/** One stream that is placed. */
export interface Placement {
  /** Unique over all gates: gate and number. */
  readonly key: string;
  /** The engine that writes the answer; reads the first part. */
  readonly first: string;
  readonly parts: readonly ReadPart[];
  readonly promptTokens: number;
  /** Tokens kept at the first engine until the stream ends. */
  readonly memoryTokens: number;
  /** What helpers keep of it. */
  readonly held: readonly HeldMemory[];
  readonly goalMs: number;
  readonly gapGoalMs: number;
  /** What an answer within its objective is worth beside others. */
  readonly value: number;
  /** Time until the first event as predicted at the placing, in ms. */
  readonly predictedFirstMs: number;
  /** When it was placed, on this process's monotonic clock, in ms. */
  readonly placedAt: number;
}

interface EngineState {
  readonly entries: Set<Entry>;
  /** Absent for an engine that this gate does not know; it places none there. */
  readonly passes: EnginePasses | undefined;
}

interface Entry {
  readonly placement: Placement;
  hasBegun: boolean;
}

/** A prompt of which a part stands unread on an engine. */
export interface QueuedPrompt {
  readonly placement: Placement;
  /** Time until its part here is read, in ms. */
  readonly doneMs: number;
  /** Time until the last of its parts is read on any engine, in ms. */
  readonly readDoneMs: number;
}

/** A stream that an engine will write once its prompt is read. */
export interface WaitingStream {
  readonly placement: Placement;
  /** Time until the last of its parts is read on any engine, in ms. */
  readonly readDoneMs: number;
}

/** What works on one engine at a moment. */
export interface EngineLoad {
  /** Time until all that stands here is read, in ms, and what it is behind. */
  readonly backlogMs: number;
  /** Time until a new part may be begun: the rest of a pass, in ms. */
  readonly waitMs: number;
  /** What each coming pass reads beside writing, in ms. */
  readonly passReadsMs: readonly number[];
  /**
   * How far the first event of a stream here is behind its prediction, in ms.
   * An engine that is slow, dead, or reads for callers who have left shows
   * by nothing else; it is expected to stay behind by as much again.
   */
  readonly overdueMs: number;
  /** Prompts with a part that is still to be read here. */
  readonly queued: readonly QueuedPrompt[];
  /** Streams that this engine writes or will write. */
  readonly active: number;
  /** Streams that are being written. */
  readonly writers: readonly Placement[];
  /** Streams that this engine will write, whose prompt is still read. */
  readonly waiting: readonly WaitingStream[];
  readonly contextTokens: number;
  /** Memory of the streams that it writes and of those that it helps. */
  readonly memoryTokens: number;
  /** Prompts that it reads a part of or keeps memory for, as a helper. */
  readonly helping: number;
}

/**
 * The placements of all gates.
 *
 * @example
 * book.add(placement);
 * book.describe('i-1', now).backlogMs;
 */
export class LoadBook {
  private readonly entries = new Map<string, Entry>();
  private readonly engines = new Map<string, EngineState>();
  private readonly paces = new Map<string, number>();
  private readonly removeListeners: Array<() => void> = [];

  /** @param findEngine - Figures of a target that is an engine. */
  constructor(
    private readonly findEngine: (target: string) => EngineFigures | undefined,
  ) {}

  /** True while no gate has a stream under way. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Registers a listener for places that come free. */
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
    if (hasBegun) this.addWriter(placement, placement.placedAt);
    else this.addParts(placement);
  }

  /** Notes that the first event has come: nothing is left to read. */
  markBegun(key: string, now: number): void {
    const entry = this.entries.get(key);
    if (entry === undefined || entry.hasBegun) return;
    entry.hasBegun = true;
    for (const {target} of entry.placement.parts)
      this.engines.get(target)?.passes?.removePart(key, now);
    this.addWriter(entry.placement, now);
  }

  /** Removes an ended stream. */
  remove(key: string, now: number): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    this.entries.delete(key);
    for (const target of listTargets(entry.placement)) {
      const state = this.engines.get(target);
      state?.entries.delete(entry);
      state?.passes?.removePart(key, now);
      state?.passes?.removeWriter(key, now);
      if (state?.entries.size === 0) this.engines.delete(target);
    }
    for (const listener of this.removeListeners) listener();
  }

  /** Time until a prompt is read on all of its engines, in ms. */
  countReadLeftMs(key: string, now: number): number {
    const placement = this.entries.get(key)?.placement;
    return placement === undefined ? 0 : this.findReadDoneMs(placement, now);
  }

  /** Notes how fast an engine runs; 1 is as configured. */
  setPace(target: string, pace: number, now: number): void {
    this.paces.set(target, pace);
    if (pace === 1) this.paces.delete(target);
    this.engines.get(target)?.passes?.setPace(pace, now);
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

  /** Describes what works on one engine. */
  describe(target: string, now: number): EngineLoad {
    const state = this.engines.get(target);
    const writers: Placement[] = [];
    const waiting: WaitingStream[] = [];
    let contextTokens = 0;
    let memoryTokens = 0;
    let overdueMs = 0;
    let helping = 0;
    for (const {placement, hasBegun} of state?.entries ?? []) {
      if (placement.first !== target) {
        const heldTokens = readHeldTokens(placement, target);
        memoryTokens += heldTokens;
        if (heldTokens > 0 || !hasBegun) helping++;
        continue;
      }
      memoryTokens += placement.memoryTokens;
      if (hasBegun) {
        writers.push(placement);
        contextTokens += placement.promptTokens;
      } else {
        const readDoneMs = this.findReadDoneMs(placement, now);
        waiting.push({placement, readDoneMs});
        overdueMs = Math.max(overdueMs, countOverdueMs(placement, now));
      }
    }
    return {
      backlogMs:
        Math.max(0, ...(state?.passes?.readEnds(now).values() ?? [])) +
        overdueMs,
      waitMs: state?.passes?.countWaitMs(now) ?? 0,
      passReadsMs: state?.passes?.listPassReads(now) ?? [],
      overdueMs,
      queued: this.listQueued(state, now),
      active: writers.length + waiting.length,
      writers,
      waiting,
      contextTokens,
      memoryTokens,
      helping,
    };
  }

  private listQueued(
    state: EngineState | undefined,
    now: number,
  ): readonly QueuedPrompt[] {
    const queued: QueuedPrompt[] = [];
    for (const [key, doneMs] of state?.passes?.readEnds(now) ?? []) {
      const placement = this.entries.get(key)?.placement;
      if (placement === undefined) continue;
      const readDoneMs = this.findReadDoneMs(placement, now);
      queued.push({placement, doneMs, readDoneMs});
    }
    return queued;
  }

  /** Time until the last part of a prompt is read, in ms. */
  private findReadDoneMs({key, parts}: Placement, now: number): number {
    let lastMs = 0;
    for (const {target} of parts) {
      const ends = this.engines.get(target)?.passes?.readEnds(now);
      lastMs = Math.max(lastMs, ends?.get(key) ?? 0);
    }
    return lastMs;
  }

  private addParts(placement: Placement): void {
    const {key, first, parts, promptTokens, placedAt} = placement;
    const tokens = promptTokens / parts.length;
    for (const {target, workMs} of parts) {
      const isOwn = target === first;
      const isWhole = parts.length === 1;
      const work = {ms: workMs, tokens, isOwn, isWhole};
      this.readEngine(target).passes?.addPart(key, work, placedAt);
    }
  }

  private addWriter({key, first, promptTokens}: Placement, now: number): void {
    this.readEngine(first).passes?.addWriter(key, promptTokens, now);
  }

  private readEngine(target: string): EngineState {
    let state = this.engines.get(target);
    if (state === undefined) {
      const engine = this.findEngine(target);
      const passes = engine && new EnginePasses(engine, this.paces.get(target));
      state = {entries: new Set(), passes};
      this.engines.set(target, state);
    }
    return state;
  }
}

/** How far a short stream's first event is behind its prediction, in ms. */
function countOverdueMs(placement: Placement, now: number): number {
  if (placement.predictedFirstMs > SHORT_WAIT_MS) return 0;
  const dueAt = placement.placedAt + placement.predictedFirstMs;
  return Math.min(MAX_OVERDUE_MS, Math.max(0, now - dueAt));
}

function readHeldTokens(placement: Placement, target: string): number {
  return placement.held.find(held => held.target === target)?.tokens ?? 0;
}

function listTargets(placement: Placement): ReadonlySet<string> {
  return new Set([
    placement.first,
    ...placement.parts.map(part => part.target),
  ]);
}

/**
 * Creates an empty book.
 *
 * @example
 * const book = createLoadBook(id => state.findEngine(id));
 */
export function createLoadBook(
  findEngine: (target: string) => EngineFigures | undefined,
): LoadBook {
  return new LoadBook(findEngine);
}
