/**
 * Targets by name. After an outage of the store, targets whose entry is missing
 * are held for a while. After a restore of the store from an older copy,
 * entries that contradict the known facts are suspect and ignored for a while.
 */
import {isNewer} from './fact-position.js';
import type {Target} from '../types.js';
import type {FactPosition} from './fact-position.js';

/**
 * Time after recovery of the store during which a target is kept although its
 * entry is missing, and a suspect entry is ignored, in ms. Live targets
 * register again within two seconds; the rest covers the delay of the watch.
 */
export const HOLD_AFTER_OUTAGE_MS = 2300;

/** Time for which a removed incarnation is remembered, in ms. */
const REMOVED_RETENTION_MS = 60_000;

/** Source of a change. */
export type FactSource = 'store' | 'peer' | 'hold_expired';

/** Kind of change of one target. */
export type TargetEvent =
  'target_added' | 'target_changed' | 'target_removed' | 'target_held';

/** A target that is kept although its entry is missing. */
interface HeldTarget {
  /**
   * Time at which the target is dropped unless its entry has been written
   * again.
   */
  readonly until: number;
  /** Position at which the entry of the target was missing. */
  readonly position: FactPosition;
}

/** A removed incarnation of a target. */
interface RemovedTarget {
  readonly at: number;
  readonly service: string;
  /** Position at which the entry of the incarnation was missing or replaced. */
  readonly position: FactPosition;
}

/** Entry of one name that is ignored as suspect until it is written again. */
interface SuspectEntry {
  readonly until: number;
  /** Entries of the name up to this position are suspect. */
  readonly position: FactPosition;
  /** The newest suspect entry; absent if only a peer has seen it. */
  entry: Target | undefined;
}

/** All targets at one position of the store. */
export interface TargetSnapshot {
  readonly targets: readonly Target[];
  readonly position: FactPosition;
  /** Names of targets whose entry exists but cannot be decoded. */
  readonly malformed: ReadonlySet<string>;
}

/** Name of a held target and the time until it is dropped, in ms. */
export type ExpiringName = readonly [name: string, leftMs: number];

/**
 * Suspect entry as gates send it to each other: the name, the time until the
 * entry is accepted, in ms, and the revision up to which entries of the name
 * are suspect.
 */
export type SharedSuspectEntry = readonly [
  name: string,
  leftMs: number,
  revision: number,
];

/** Effects of a restore of the store on the targets of this gate. */
export interface RestoreCounts {
  /** Number of targets that are held because the restored copy lacks them. */
  readonly held: number;
  /** Number of entries of the restored copy that are ignored as suspect. */
  readonly doubted: number;
}

/** Dependencies of a target table. */
export interface TargetTableOptions {
  readonly readNow: () => number;
  /** Called after each change of a target. */
  readonly onChange: (
    event: TargetEvent,
    target: Target,
    source: FactSource,
  ) => void;
}

/**
 * The targets that one gate knows.
 *
 * @example
 * table.apply(target, 'store');
 * table.find('i-1')?.isDraining;
 */
export class TargetTable {
  private readonly targets = new Map<string, Target>();
  private readonly serviceById = new Map<string, string>();
  private readonly held = new Map<string, HeldTarget>();
  /** Suspect entries by the name of the target. */
  private readonly doubts = new Map<string, SuspectEntry>();
  /** Recently removed incarnations by their id. */
  private readonly left = new Map<string, RemovedTarget>();
  private storeRecoveredAt = -Infinity;
  /** Time of the last read of the store by this gate. */
  private readAt = -Infinity;

  constructor(private readonly options: TargetTableOptions) {}

  get size(): number {
    return this.targets.size;
  }

  /** Finds a target by its name. */
  find(name: string): Target | undefined {
    return this.targets.get(name);
  }

  /**
   * Finds the service of a target by its incarnation id, also of a target that
   * was removed recently, as it may still end its requests.
   */
  findService(id: string): string | undefined {
    return this.serviceById.get(id) ?? this.left.get(id)?.service;
  }

  /** Lists every target. */
  list(): readonly Target[] {
    return [...this.targets.values()];
  }

  /** Lists targets that are kept although their entry is missing. */
  listHeld(): readonly ExpiringName[] {
    const now = this.options.readNow();
    return [...this.held].map(([name, {until}]) => [name, until - now]);
  }

  /** Lists suspect entries in the form that gates send to each other. */
  listSuspectEntries(): readonly SharedSuspectEntry[] {
    const now = this.options.readNow();
    return [...this.doubts].map(([name, {until, position}]) => [
      name,
      until - now,
      position.revision,
    ]);
  }

  /** Records that the store answers again after an outage. */
  markStoreRecovered(): void {
    this.storeRecoveredAt = this.options.readNow();
  }

  /** Records that this gate has read all current changes of the store. */
  markRead(): void {
    this.readAt = this.options.readNow();
  }

  /**
   * Applies an entry of a target, unless a newer entry is known or the entry is
   * suspect.
   */
  apply(target: Target, source: FactSource): void {
    const known = this.targets.get(target.name);
    if (known !== undefined && isNewer(known.position, target.position)) return;
    if (known !== undefined && isEarlierIncarnation(target, known)) return;
    const left = this.left.get(target.id);
    if (left !== undefined && !isNewer(target.position, left.position)) return;
    const suspect = this.doubts.get(target.name);
    if (suspect !== undefined && !isNewer(target.position, suspect.position)) {
      suspect.entry = target;
      return;
    }
    this.set(target, source);
  }

  /** Applies the removal of an entry, unless a newer entry is known. */
  applyRemoval(
    name: string,
    position: FactPosition,
    isMalformed: boolean,
  ): void {
    const suspect = this.doubts.get(name);
    if (suspect !== undefined && isNewer(position, suspect.position))
      this.doubts.delete(name);
    const known = this.targets.get(name);
    if (known === undefined || isNewer(known.position, position)) return;
    this.removeOrHold(known, 'store', position, isMalformed);
  }

  /** Applies a snapshot of all targets in the current era. */
  replace(snapshot: TargetSnapshot, source: 'store' | 'peer'): void {
    const {targets, position, malformed} = snapshot;
    for (const target of targets) this.apply(target, source);
    const present = new Set(targets.map(({name}) => name));
    for (const known of this.list()) {
      // A target whose entry is newer than the snapshot is missing from the
      // snapshot without having been removed.
      if (present.has(known.name) || isNewer(known.position, position))
        continue;
      this.removeOrHold(known, source, position, malformed.has(known.name));
    }
  }

  /**
   * Applies a snapshot of a higher era, which means that the store was restored
   * from an older copy. Holds targets that the copy lacks, and ignores entries
   * that contradict the facts known here, until they are written again.
   */
  restore(snapshot: TargetSnapshot, source: 'store' | 'peer'): RestoreCounts {
    const {targets, position, malformed} = snapshot;
    this.markStoreRecovered();
    this.held.clear();
    this.doubts.clear();
    let doubted = 0;
    for (const target of targets) {
      if (!this.isContradicted(target)) {
        this.apply(target, source);
        continue;
      }
      this.addSuspectEntry(target, position);
      doubted++;
    }
    const present = new Set(targets.map(({name}) => name));
    for (const known of this.list())
      if (!present.has(known.name))
        this.removeOrHold(known, 'store', position, malformed.has(known.name));
    return {held: this.held.size, doubted};
  }

  /** Holds the targets that a peer holds, for as long as the peer does. */
  addHeld(names: readonly ExpiringName[], position: FactPosition): void {
    const now = this.options.readNow();
    for (const [name, leftMs] of names) {
      const known = this.targets.get(name);
      if (known === undefined || isNewer(known.position, position)) continue;
      this.held.set(name, {until: now + leftMs, position});
    }
  }

  /**
   * Ignores the entries that a peer ignores as suspect. Removes their targets
   * unless the peer lists them or a newer entry is known here.
   */
  addSuspectEntries(
    shared: readonly SharedSuspectEntry[],
    era: number,
    peerTargetNames: ReadonlySet<string>,
  ): void {
    const now = this.options.readNow();
    for (const [name, leftMs, revision] of shared) {
      const position = {era, revision};
      const known = this.targets.get(name);
      const isKept =
        known !== undefined &&
        (peerTargetNames.has(name) || isNewer(known.position, position));
      if (this.doubts.has(name)) continue;
      this.doubts.set(name, {
        until: now + leftMs,
        position,
        entry: isKept ? undefined : known,
      });
      if (known !== undefined && !isKept) this.remove(known, 'peer', position);
    }
  }

  /** Drops expired held targets, and accepts expired suspect entries. */
  expire(): void {
    const now = this.options.readNow();
    this.dropHeld(({until}) => until <= now, 'hold_expired');
    for (const [name, {until, entry}] of [...this.doubts]) {
      // A suspect entry is accepted only if a read of the store after its
      // expiry has brought no other entry.
      if (until > this.readAt) continue;
      this.doubts.delete(name);
      if (entry !== undefined) this.set(entry, 'hold_expired');
    }
    for (const [id, {at}] of this.left)
      if (now - at > REMOVED_RETENTION_MS) this.left.delete(id);
  }

  /**
   * Drops held targets whose entry was missing at `position` or earlier: a gate
   * without an outage confirms that these targets were removed.
   */
  confirmRemovals(position: FactPosition): void {
    this.dropHeld(held => !isNewer(held.position, position), 'peer');
  }

  private dropHeld(
    isDue: (held: HeldTarget) => boolean,
    source: FactSource,
  ): void {
    for (const [name, held] of [...this.held]) {
      if (!isDue(held)) continue;
      this.held.delete(name);
      const target = this.targets.get(name);
      if (target !== undefined) this.remove(target, source, held.position);
    }
  }

  /**
   * Returns whether an entry of a restored copy contradicts the known facts.
   */
  private isContradicted(entry: Target): boolean {
    if (this.left.has(entry.id)) return true;
    const known = this.targets.get(entry.name);
    if (known === undefined) return false;
    if (isEarlierIncarnation(entry, known)) return true;
    if (entry.id !== known.id) return false;
    if (known.isDraining && !entry.isDraining) return true;
    const isMoved = entry.host !== known.host || entry.port !== known.port;
    return isMoved && entry.position.revision <= known.position.revision;
  }

  /** Records a suspect entry and keeps the known target of the same name. */
  private addSuspectEntry(entry: Target, position: FactPosition): void {
    const until = this.storeRecoveredAt + HOLD_AFTER_OUTAGE_MS;
    this.doubts.set(entry.name, {until, position, entry});
    const known = this.targets.get(entry.name);
    if (known !== undefined) this.targets.set(entry.name, {...known, position});
  }

  private set(target: Target, source: FactSource): void {
    const known = this.targets.get(target.name);
    this.held.delete(target.name);
    this.doubts.delete(target.name);
    const isRestarted = known !== undefined && known.id !== target.id;
    if (isRestarted) this.remove(known, source, target.position);
    this.targets.set(target.name, target);
    this.serviceById.set(target.id, target.service);
    this.left.delete(target.id);
    if (known === undefined || isRestarted)
      this.options.onChange('target_added', target, source);
    else if (
      known.isDraining !== target.isDraining ||
      isStatedCold(target, known)
    )
      this.options.onChange('target_changed', target, source);
  }

  /**
   * Removes a target whose entry is missing, or holds it if its entry may have
   * expired during an outage of the store.
   *
   * @param position - Position at which the entry is missing.
   * @param isMalformed - The entry exists but cannot be decoded.
   */
  private removeOrHold(
    target: Target,
    source: FactSource,
    position: FactPosition,
    isMalformed: boolean,
  ): void {
    const holdUntil = this.storeRecoveredAt + HOLD_AFTER_OUTAGE_MS;
    const isPossiblyExpired =
      source === 'store' &&
      !isMalformed &&
      !target.isDraining &&
      holdUntil > this.options.readNow();
    if (!isPossiblyExpired) {
      this.remove(target, source, position);
      return;
    }
    this.held.set(target.name, {until: holdUntil, position});
    this.options.onChange('target_held', target, source);
  }

  private remove(
    target: Target,
    source: FactSource,
    position: FactPosition,
  ): void {
    this.targets.delete(target.name);
    this.serviceById.delete(target.id);
    this.held.delete(target.name);
    this.left.set(target.id, {
      at: this.options.readNow(),
      service: target.service,
      position,
    });
    this.options.onChange('target_removed', target, source);
  }
}

/** Returns whether a newer entry of a known target says that it is cold. */
function isStatedCold(target: Target, known: Target): boolean {
  return (
    (target.coldLeftMs ?? 0) > 0 && isNewer(target.position, known.position)
  );
}

/**
 * Returns whether an entry belongs to an earlier incarnation than the known
 * target.
 */
function isEarlierIncarnation(target: Target, known: Target): boolean {
  if (target.bornAt === undefined || known.bornAt === undefined) return false;
  return target.bornAt < known.bornAt;
}
