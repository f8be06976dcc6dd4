/**
 * Which zones the operator has evacuated, each with the position of the entry
 * that says so. Of two statements about a zone, the newer one holds.
 */
import {
  NO_POSITION,
  comparePositions,
  isNewer,
  pickNewest,
} from './fact-position.js';
import type {FactPosition} from './fact-position.js';

/**
 * Maximum number of zones that are remembered as restored, which bounds what gates
 * send each other.
 */
const MAX_RESTORED = 64;

/**
 * What a gate knows of the evacuation of one zone. If the store was restored from
 * an older copy, the statement is carried over to the era of the copy.
 */
export interface ZoneEvacuation {
  readonly zone: string;
  readonly isEvacuated: boolean;
  /**
   * Position up to which entries of the zone are older than the statement. A
   * statement that was carried over has the revision of the entry in the copy, or
   * 0 if the copy lacks it.
   */
  readonly position: FactPosition;
  /** Position at which the statement was made. */
  readonly origin: FactPosition;
}

/** Entry of an evacuated zone in the store. */
export interface EvacuationEntry {
  readonly zone: string;
  readonly position: FactPosition;
}

/** All evacuations in the store, from one full read. */
export interface EvacuationSnapshot {
  readonly position: FactPosition;
  readonly entries: readonly EvacuationEntry[];
  /** Zones whose entry exists but cannot be decoded. */
  readonly malformed: readonly string[];
}

/** Evacuations that a gate sends to a peer. */
export interface SharedEvacuations {
  /** A zone that is not listed as evacuated is not evacuated at this position. */
  readonly position: FactPosition;
  readonly zones: readonly ZoneEvacuation[];
  /**
   * Zones whose entry was malformed when the store was last read completely, by
   * the sender or by a gate whose facts it has taken.
   */
  readonly undecided: readonly string[];
}

/** Evacuated or restored zone, as returned by each change. */
export type ChangedZone = Pick<
  ZoneEvacuation,
  'zone' | 'isEvacuated' | 'position'
>;

/**
 * The evacuations that one gate knows.
 *
 * @example
 * zones.apply({zone: 'az-1', isEvacuated: true, position});
 * zones.isEvacuated('az-1'); // true
 */
export class EvacuatedZones {
  /** Position at which a zone that is not known is not evacuated. */
  private position = NO_POSITION;
  private readonly known = new Map<string, ZoneEvacuation>();
  private undecided: ReadonlySet<string> = new Set();

  /** Number of evacuated zones. */
  get count(): number {
    return [...this.known.values()].filter(zone => zone.isEvacuated).length;
  }

  /** Returns whether a zone is evacuated. */
  isEvacuated(zone: string): boolean {
    return this.known.get(zone)?.isEvacuated ?? false;
  }

  /** Applies an entry or its deletion; returns the zone if that changes it. */
  apply(change: ChangedZone): readonly ChangedZone[] {
    const statement = {...change, origin: change.position};
    const known = this.known.get(change.zone);
    if (known !== undefined && !isNewerStatement(statement, known)) return [];
    return this.set(statement);
  }

  /** Applies a full read of the store; returns the zones that it changes. */
  applySnapshot(snapshot: EvacuationSnapshot): readonly ChangedZone[] {
    const {position, entries, malformed} = snapshot;
    if (position.era < this.position.era) return [];
    if (position.era > this.position.era)
      this.resumeKnown(position.era, entries);
    const changed = entries.flatMap(entry =>
      this.apply({...entry, isEvacuated: true}),
    );
    const present = entries.map(({zone}) => zone);
    changed.push(...this.restoreAbsent(position, [...present, ...malformed]));
    this.undecided = new Set(malformed);
    this.markRead(position);
    return changed;
  }

  /**
   * Records that every change of the store up to `position` has been applied.
   */
  markRead(position: FactPosition): void {
    this.position = pickNewest([this.position, position]);
  }

  /** Lists what a peer needs to know. */
  describeShared(): SharedEvacuations {
    return {
      position: this.position,
      zones: [...this.known.values()],
      undecided: [...this.undecided],
    };
  }

  /**
   * Applies what a peer knows; returns the zones that it changes. A
   * peer that lists a zone no more as evacuated has read the store later than the
   * entry.
   *
   * @param shared - Undefined from a peer of an earlier version, from which
   *   nothing is concluded.
   */
  merge(shared: SharedEvacuations | undefined): readonly ChangedZone[] {
    if (shared === undefined) return [];
    const {position, zones, undecided} = shared;
    if (position.era < this.position.era) return [];
    if (position.era > this.position.era)
      this.resumeKnown(position.era, zones.filter(isCarriedOver));
    const changed = zones.flatMap(zone =>
      this.isOutdated(zone) ? [] : this.set(zone),
    );
    const present = zones.flatMap(({zone, isEvacuated}) =>
      isEvacuated ? [zone] : [],
    );
    changed.push(...this.restoreAbsent(position, [...present, ...undecided]));
    // Without these, the next peer would conclude that their entries are gone.
    if (isNewer(position, this.position)) this.undecided = new Set(undecided);
    this.markRead(position);
    return changed;
  }

  /**
   * Carries what is known over to the era of a restored copy of the store. An
   * entry of the copy is ignored if it is older than what is known.
   */
  private resumeKnown(era: number, entries: readonly EvacuationEntry[]): void {
    const revisions = new Map(
      entries.map(({zone, position}) => [zone, position.revision]),
    );
    for (const known of this.known.values()) {
      const revision = revisions.get(known.zone) ?? 0;
      const isOlder = revision <= known.origin.revision;
      const position = {era, revision: isOlder ? revision : 0};
      this.known.set(known.zone, {...known, position});
    }
  }

  /** Restores the zones that have no entry at `position`. */
  private restoreAbsent(
    position: FactPosition,
    present: readonly string[],
  ): readonly ChangedZone[] {
    const absent = [...this.known.values()].filter(
      known =>
        known.isEvacuated && !isHeld(known) && !present.includes(known.zone),
    );
    return absent.flatMap(({zone}) =>
      this.apply({zone, isEvacuated: false, position}),
    );
  }

  /**
   * Returns whether this gate knows better than a peer: it has a newer statement,
   * or it has read later that the store has no entry.
   */
  private isOutdated(statement: ZoneEvacuation): boolean {
    const {zone, isEvacuated, position} = statement;
    const known = this.known.get(zone);
    if (known !== undefined) return !isNewerStatement(statement, known);
    if (!isEvacuated || isHeld(statement) || this.undecided.has(zone))
      return false;
    return !isNewer(position, this.position);
  }

  private set(zone: ZoneEvacuation): readonly ChangedZone[] {
    const isChanged = this.isEvacuated(zone.zone) !== zone.isEvacuated;
    // The zone moves to the end, so that the oldest statements come first.
    this.known.delete(zone.zone);
    this.known.set(zone.zone, zone);
    this.dropOldestRestored();
    return isChanged ? [zone] : [];
  }

  private dropOldestRestored(): void {
    const restored = [...this.known.values()].filter(zone => !zone.isEvacuated);
    const surplus = Math.max(0, restored.length - MAX_RESTORED);
    for (const {zone} of restored.slice(0, surplus)) this.known.delete(zone);
  }
}

/** Returns whether a statement is from before a restore of the store. */
function isCarriedOver({position, origin}: ZoneEvacuation): boolean {
  return origin.era < position.era;
}

/** Returns whether a restored copy of the store lacks the entry of a zone. */
function isHeld(statement: ZoneEvacuation): boolean {
  return isCarriedOver(statement) && statement.position.revision === 0;
}

/**
 * Returns whether `a` is newer than `b`. Of two equal positions, that of a
 * statement which was carried over counts, as the other is an entry of the copy.
 */
function isNewerStatement(a: ZoneEvacuation, b: ZoneEvacuation): boolean {
  const order = comparePositions(a.position, b.position);
  if (order !== 0) return order > 0;
  if (isCarriedOver(a) !== isCarriedOver(b)) return isCarriedOver(a);
  return isNewer(a.origin, b.origin);
}
