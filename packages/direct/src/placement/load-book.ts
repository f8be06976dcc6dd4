/**
 * Which stream works on which engine, as this gate and the others have
 * placed them. Load that engines report is some hundred ms old; what the
 * gates tell each other is a few ms old, and all work comes through gates.
 */

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

interface Entry {
  readonly placement: Placement;
  hasBegun: boolean;
}

/** What works on one engine at a moment. */
export interface EngineLoad {
  /** Reading still to do, in ms, and what the engine is behind. */
  readonly backlogMs: number;
  /**
   * How far the first event of a stream here is behind its prediction, in ms.
   * An engine that is slow, dead, or reads for callers who have left shows
   * by nothing else; it is expected to stay behind by as much again.
   */
  readonly overdueMs: number;
  /** What of it are parts read for other engines, which go first, in ms. */
  readonly helperBacklogMs: number;
  /** Streams that this engine writes or will write. */
  readonly active: number;
  /** Streams that are being written. */
  readonly writers: readonly Placement[];
  /** Streams that this engine will write, whose prompt is still read. */
  readonly waiting: readonly Placement[];
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
  private readonly byTarget = new Map<string, Set<Entry>>();
  private readonly removeListeners: Array<() => void> = [];

  /** Registers a listener for places that come free. */
  onRemove(listener: () => void): void {
    this.removeListeners.push(listener);
  }

  /** Adds a placement; a known key changes nothing. */
  add(placement: Placement, hasBegun = false): void {
    const known = this.entries.get(placement.key);
    if (known !== undefined) {
      known.hasBegun ||= hasBegun;
      return;
    }
    const entry: Entry = {placement, hasBegun};
    this.entries.set(placement.key, entry);
    for (const target of listTargets(placement)) {
      const set = this.byTarget.get(target) ?? new Set();
      set.add(entry);
      this.byTarget.set(target, set);
    }
  }

  /** Notes that the first event has come: nothing is left to read. */
  markBegun(key: string): void {
    const entry = this.entries.get(key);
    if (entry !== undefined) entry.hasBegun = true;
  }

  /** Removes an ended stream. */
  remove(key: string): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    this.entries.delete(key);
    for (const target of listTargets(entry.placement)) {
      const set = this.byTarget.get(target);
      set?.delete(entry);
      if (set?.size === 0) this.byTarget.delete(target);
    }
    for (const listener of this.removeListeners) listener();
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
  dropUnlessKept(owner: string, keep: ReadonlySet<string>): void {
    for (const {placement} of this.listOwnedBy(owner))
      if (!keep.has(placement.key)) this.remove(placement.key);
  }

  /** Describes what works on one engine. */
  describe(target: string, now: number): EngineLoad {
    const writers: Placement[] = [];
    const waiting: Placement[] = [];
    let active = 0;
    let contextTokens = 0;
    let memoryTokens = 0;
    let readUntil = -Infinity;
    let helperUntil = -Infinity;
    let overdueMs = 0;
    let helping = 0;
    for (const {placement, hasBegun} of this.byTarget.get(target) ?? []) {
      if (placement.first === target) {
        active++;
        memoryTokens += placement.memoryTokens;
        if (!hasBegun) {
          waiting.push(placement);
          overdueMs = Math.max(overdueMs, countOverdueMs(placement, now));
        } else {
          writers.push(placement);
          contextTokens += placement.promptTokens;
        }
      } else {
        const heldTokens = readHeldTokens(placement, target);
        memoryTokens += heldTokens;
        if (heldTokens > 0 || !hasBegun) helping++;
      }
      if (hasBegun) continue;
      const workMs = readPartMs(placement, target);
      // Entries stand in the order of placing: each is read after the last.
      readUntil = Math.max(readUntil, placement.placedAt) + workMs;
      if (placement.first !== target)
        helperUntil = Math.max(helperUntil, placement.placedAt) + workMs;
    }
    return {
      backlogMs: Math.max(0, readUntil - now) + overdueMs,
      helperBacklogMs: Math.max(0, helperUntil - now) + overdueMs,
      overdueMs,
      active,
      writers,
      waiting,
      contextTokens,
      memoryTokens,
      helping,
    };
  }
}

/** How far a short stream's first event is behind its prediction, in ms. */
function countOverdueMs(placement: Placement, now: number): number {
  if (placement.predictedFirstMs > SHORT_WAIT_MS) return 0;
  const dueAt = placement.placedAt + placement.predictedFirstMs;
  return Math.min(MAX_OVERDUE_MS, Math.max(0, now - dueAt));
}

function readPartMs(placement: Placement, target: string): number {
  return placement.parts.find(part => part.target === target)?.workMs ?? 0;
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
 * const book = createLoadBook();
 */
export function createLoadBook(): LoadBook {
  return new LoadBook();
}
