/**
 * Targets of the fleet by name, with the entries that are missing or in doubt
 * after an outage of the store or its return from an older copy.
 */
import {isNewer} from './fact-position.js';
import type {Target} from '../types.js';
import type {FactPosition} from './fact-position.js';

/**
 * How long after the store's return a target is kept without an entry, and an
 * entry that contradicts earlier knowledge is left out, in ms. Live targets
 * register again within two seconds; the rest covers the delay of the watch.
 */
export const LAPSE_HOLD_MS = 2300;

/** How long an incarnation that has left is remembered, in ms. */
const REMEMBER_LEFT_MS = 60_000;

/** Where a change came from. */
export type FactSource = 'store' | 'peer' | 'hold_expired';

/** A change of one target. */
export type TargetEvent =
  'target_added' | 'target_changed' | 'target_removed' | 'target_held';

/** A target that is kept without an entry. */
interface HeldTarget {
  /** When it is dropped, unless its entry is back. */
  readonly until: number;
  /** Position at which the entry was missing. */
  readonly position: FactPosition;
}

/** An incarnation that has left. */
interface LeftTarget {
  readonly at: number;
  /** Position at which its entry was missing or replaced. */
  readonly position: FactPosition;
}

/** Entries of one name that are left out until written again. */
interface Doubt {
  readonly until: number;
  /** Entries up to this position are in doubt. */
  readonly position: FactPosition;
  /** The newest of them; absent if only a peer has seen it. */
  entry: Target | undefined;
}

/** All targets at one position. */
export interface TargetRead {
  readonly targets: readonly Target[];
  readonly position: FactPosition;
  /** Names whose entry exists but cannot be decoded. */
  readonly malformed: ReadonlySet<string>;
}

/** A target without an entry, or a doubt: its name and the time left in ms. */
export type TimedName = readonly [name: string, leftMs: number];

/** A doubt as gates tell each other: up to which revision, besides. */
export type SharedDoubt = readonly [
  name: string,
  leftMs: number,
  revision: number,
];

/** What a return of the store from an older copy meant here. */
export interface RestoreCounts {
  /** Targets that the copy lacks. */
  readonly held: number;
  /** Entries of the copy that are left out until written again. */
  readonly doubted: number;
}

/** Dependencies of a table. */
export interface TargetTableOptions {
  readonly readNow: () => number;
  /** Called with each change that took effect. */
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
  private readonly doubts = new Map<string, Doubt>();
  private readonly left = new Map<string, LeftTarget>();
  private storeBackAt = -Infinity;
  /** When this gate last read the store. */
  private readAt = -Infinity;

  constructor(private readonly options: TargetTableOptions) {}

  get size(): number {
    return this.targets.size;
  }

  /** Finds a target by its name. */
  find(name: string): Target | undefined {
    return this.targets.get(name);
  }

  /** Finds the service of a target by its incarnation. */
  findService(id: string): string | undefined {
    return this.serviceById.get(id);
  }

  /** Lists every target. */
  list(): readonly Target[] {
    return [...this.targets.values()];
  }

  /** Lists targets that are kept without an entry. */
  listHeld(): readonly TimedName[] {
    const now = this.options.readNow();
    return [...this.held].map(([name, {until}]) => [name, until - now]);
  }

  /** Lists names whose entries are in doubt. */
  listDoubts(): readonly SharedDoubt[] {
    const now = this.options.readNow();
    return [...this.doubts].map(([name, {until, position}]) => [
      name,
      until - now,
      position.revision,
    ]);
  }

  /** Records that the store answers again after an outage. */
  markStoreBack(): void {
    this.storeBackAt = this.options.readNow();
  }

  /** Records that the store has been read up to now. */
  markRead(): void {
    this.readAt = this.options.readNow();
  }

  /** Applies an entry, unless a newer one is known. */
  apply(target: Target, source: FactSource): void {
    const known = this.targets.get(target.name);
    if (known !== undefined && isNewer(known.position, target.position)) return;
    if (known !== undefined && isEarlierLife(target, known)) return;
    const left = this.left.get(target.id);
    if (left !== undefined && !isNewer(target.position, left.position)) return;
    const doubt = this.doubts.get(target.name);
    if (doubt !== undefined && !isNewer(target.position, doubt.position)) {
      doubt.entry = target;
      return;
    }
    this.set(target, source);
  }

  /** Applies a missing entry, unless a newer one is known. */
  applyGone(name: string, position: FactPosition, isMalformed: boolean): void {
    const doubt = this.doubts.get(name);
    if (doubt !== undefined && isNewer(position, doubt.position))
      this.doubts.delete(name);
    const known = this.targets.get(name);
    if (known === undefined || isNewer(known.position, position)) return;
    this.removeOrHold(known, 'store', position, isMalformed);
  }

  /** Applies all targets at a position of the known era. */
  replace(read: TargetRead, source: 'store' | 'peer'): void {
    const {targets, position, malformed} = read;
    for (const target of targets) this.apply(target, source);
    const present = new Set(targets.map(({name}) => name));
    for (const known of this.list()) {
      // An entry newer than the read is not part of it.
      if (present.has(known.name) || isNewer(known.position, position))
        continue;
      this.removeOrHold(known, source, position, malformed.has(known.name));
    }
  }

  /**
   * Applies all targets of a higher era. The store came back from an older
   * copy: what it lacks is kept, and what contradicts this gate's knowledge is
   * left out, until written again.
   */
  restore(read: TargetRead, source: 'store' | 'peer'): RestoreCounts {
    const {targets, position, malformed} = read;
    this.markStoreBack();
    this.held.clear();
    this.doubts.clear();
    let doubted = 0;
    for (const target of targets) {
      if (!this.isContradicted(target)) {
        this.apply(target, source);
        continue;
      }
      this.addDoubt(target, position);
      doubted++;
    }
    const present = new Set(targets.map(({name}) => name));
    for (const known of this.list())
      if (!present.has(known.name))
        this.removeOrHold(known, 'store', position, malformed.has(known.name));
    return {held: this.held.size, doubted};
  }

  /** Keeps targets for as long as a peer does. */
  addHeld(names: readonly TimedName[], position: FactPosition): void {
    const now = this.options.readNow();
    for (const [name, leftMs] of names) {
      const known = this.targets.get(name);
      if (known === undefined || isNewer(known.position, position)) continue;
      this.held.set(name, {until: now + leftMs, position});
    }
  }

  /** Leaves out what a peer leaves out, and has no other entry for. */
  addDoubts(
    shared: readonly SharedDoubt[],
    era: number,
    peersTargets: ReadonlySet<string>,
  ): void {
    const now = this.options.readNow();
    for (const [name, leftMs, revision] of shared) {
      const position = {era, revision};
      const known = this.targets.get(name);
      const isKept =
        known !== undefined &&
        (peersTargets.has(name) || isNewer(known.position, position));
      if (this.doubts.has(name)) continue;
      this.doubts.set(name, {
        until: now + leftMs,
        position,
        entry: isKept ? undefined : known,
      });
      if (known !== undefined && !isKept) this.remove(known, 'peer', position);
    }
  }

  /** Drops held targets and doubts whose time is over. */
  expire(): void {
    const now = this.options.readNow();
    this.dropHeld(({until}) => until <= now, 'hold_expired');
    for (const [name, {until, entry}] of [...this.doubts]) {
      // Only the store's silence about an entry confirms it.
      if (until > this.readAt) continue;
      this.doubts.delete(name);
      if (entry !== undefined) this.set(entry, 'hold_expired');
    }
    for (const [id, {at}] of this.left)
      if (now - at > REMEMBER_LEFT_MS) this.left.delete(id);
  }

  /**
   * Drops held targets that were missing at `position` for a gate without an
   * outage: they have left.
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

  /** Says whether an entry of a copy contradicts what is known already. */
  private isContradicted(entry: Target): boolean {
    if (this.left.has(entry.id)) return true;
    const known = this.targets.get(entry.name);
    if (known === undefined) return false;
    if (isEarlierLife(entry, known)) return true;
    if (entry.id !== known.id) return false;
    if (known.isDraining && !entry.isDraining) return true;
    const isMoved = entry.host !== known.host || entry.port !== known.port;
    return isMoved && entry.position.revision <= known.position.revision;
  }

  /** Keeps what is known instead of an entry that a copy may have revived. */
  private addDoubt(entry: Target, position: FactPosition): void {
    const until = this.storeBackAt + LAPSE_HOLD_MS;
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
    else if (known.isDraining !== target.isDraining)
      this.options.onChange('target_changed', target, source);
  }

  /**
   * @param position - Position at which the entry is missing.
   * @param isMalformed - Its entry exists, but names no target.
   */
  private removeOrHold(
    target: Target,
    source: FactSource,
    position: FactPosition,
    isMalformed: boolean,
  ): void {
    const holdEnd = this.storeBackAt + LAPSE_HOLD_MS;
    const isLapse =
      source === 'store' &&
      !isMalformed &&
      !target.isDraining &&
      holdEnd > this.options.readNow();
    if (!isLapse) {
      this.remove(target, source, position);
      return;
    }
    this.held.set(target.name, {until: holdEnd, position});
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
    this.left.set(target.id, {at: this.options.readNow(), position});
    this.options.onChange('target_removed', target, source);
  }
}

/** Says whether an entry is a late message of an earlier incarnation. */
function isEarlierLife(target: Target, known: Target): boolean {
  if (target.bornAt === undefined || known.bornAt === undefined) return false;
  return target.bornAt < known.bornAt;
}
