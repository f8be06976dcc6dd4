/**
 * Facts that this gate knows: the configuration and the targets. An older
 * version never replaces a newer one, whether it comes from the store or from a
 * peer.
 */
import {
  NO_POSITION,
  comparePositions,
  isNewer,
  pickNewest,
} from './fact-position.js';
import {ConfigIndex} from './config-index.js';
import {FleetFacts} from './fleet-facts.js';
import {FleetListeners} from './fleet-listeners.js';
import {TargetTable} from './target-table.js';
import type {FactChange, FactSnapshot} from '../ports.js';
import type {FleetConfig, Target} from '../types.js';
import type {FactPosition} from './fact-position.js';
import type {
  FactVersions,
  FleetListener,
  RestoreEvent,
  SharedFacts,
} from './fleet-types.js';
import type {SharedSuspectEntry, TargetSnapshot} from './target-table.js';

/**
 * The configuration and targets that this gate knows.
 *
 * @example
 * const state = createFleetState(() => performance.now());
 * state.applySnapshot(await store.readSnapshot(1000));
 */
export class FleetState extends FleetFacts {
  /**
   * Position of the newest applied fact. Gates compare their positions to find
   * out which of them has newer facts.
   */
  position = NO_POSITION;
  /** Whether the targets of a first read have been applied. */
  hasTargets = false;
  /** Position up to which this gate itself has read the store. */
  private readPosition = NO_POSITION;
  protected override readonly index = new ConfigIndex();
  protected override readonly table: TargetTable;
  private latestOutageStartedAt = -Infinity;
  private readonly listeners = new FleetListeners();

  constructor(private readonly readNow: () => number) {
    super();
    this.table = new TargetTable({
      readNow,
      onChange: (event, {id, position}, source) =>
        this.listeners.notify(event, source, id, position.revision),
    });
  }

  /**
   * Registers a listener for changes of the known facts; returns a function that
   * removes it.
   */
  onChange(listener: FleetListener): () => void {
    return this.listeners.add(listener);
  }

  /** Registers a listener for restores of the store from an older copy. */
  onRestore(listener: (event: RestoreEvent) => void): void {
    this.listeners.addForRestore(listener);
  }

  /**
   * Start of the latest outage of the store, on the monotonic clock, in ms;
   * -Infinity if there was none or its start is unknown.
   */
  get outageStartedAt(): number {
    return this.latestOutageStartedAt;
  }

  /** Versions of the known facts. */
  get versions(): FactVersions {
    const {position} = this;
    return {configVersion: this.config?.version ?? 0, position};
  }

  /**
   * Records that the store answers again after an outage.
   *
   * @param outageStartedAt - Time of the last answer before the outage, on the
   *   monotonic clock, in ms. If unknown, targets that were removed cannot be
   *   distinguished from targets whose entry expired.
   * @default -Infinity
   */
  markStoreRecovered(outageStartedAt = -Infinity): void {
    this.table.markStoreRecovered();
    this.latestOutageStartedAt = outageStartedAt;
  }

  /** Applies a change reported by the watch of the store. */
  applyChange(change: FactChange): void {
    if (change.kind === 'config') {
      this.applyConfig(change.config, 'store');
      return;
    }
    const position =
      change.kind === 'target' ? change.target.position : change.position;
    if (position.era < this.position.era) return;
    this.applyFact(change, position);
    this.position = pickNewest([this.position, position]);
  }

  /** Applies a full snapshot of the store. */
  applySnapshot(snapshot: FactSnapshot): void {
    const {targets, position, evacuations = []} = snapshot;
    // Evacuations are applied first, as the gate serves once it knows targets.
    const changedZones = this.zones.applySnapshot({
      position,
      entries: evacuations,
      malformed: snapshot.malformedZones ?? [],
    });
    if (snapshot.config !== undefined)
      this.applyConfig(snapshot.config, 'store');
    const malformed = new Set(snapshot.malformed);
    const positions = [...targets, ...evacuations].map(fact => fact.position);
    const newest = pickNewest([{...position, revision: 0}, ...positions]);
    this.applyTargetSnapshot({targets, position, malformed}, newest, 'store');
    this.listeners.notifyZones(changedZones, 'store');
    this.markRead(position);
  }

  /**
   * Records that every change of the store up to `position` has been applied.
   */
  markRead(position: FactPosition): void {
    this.readPosition = pickNewest([this.readPosition, position]);
    this.zones.markRead(position);
    this.table.markRead();
  }

  /**
   * Returns whether `position` is newer than both the newest applied fact and
   * the position up to which this gate has read the store.
   */
  isBehind(position: FactPosition): boolean {
    return (
      isNewer(position, this.position) && isNewer(position, this.readPosition)
    );
  }

  /**
   * Applies facts from a peer; ignores those that are not newer. Evacuations are
   * newer than the known ones or not regardless of the targets.
   */
  applyShared(shared: SharedFacts): void {
    const changedZones = this.zones.merge(shared.evacuations);
    this.applySharedTargets(shared);
    this.listeners.notifyZones(changedZones, 'peer');
  }

  /**
   * Merges facts from a peer into those of a gate that has just started. If the
   * store was restored from an older copy, the peer knows which of its entries
   * are outdated.
   */
  mergeShared(shared: SharedFacts): void {
    this.applyShared(shared);
    const {targets, position, held, doubts} = shared;
    if (position.era !== this.position.era) return;
    const heldNames = new Set(held.map(([name]) => name));
    // The peer may still list targets that have been removed in the meantime.
    for (const target of targets)
      if (heldNames.has(target.name) || this.table.find(target.name))
        this.table.apply(target, 'peer');
    this.table.addHeld(held, position);
    this.addSuspectEntries(doubts, targets);
  }

  /** Returns the facts that are newer than those that a peer knows. */
  describeShared(known: FactVersions): SharedFacts {
    const isConfigNewer = (this.config?.version ?? 0) > known.configVersion;
    const isTargetListNewer = isNewer(this.position, known.position);
    return {
      position: this.position,
      config: isConfigNewer ? this.config : undefined,
      targets: isTargetListNewer ? this.table.list() : [],
      held: this.table.listHeld(),
      doubts: this.table.listSuspectEntries(),
      evacuations: this.zones.describeShared(),
    };
  }

  /**
   * Records that a target has said that it leaves, to this gate (`answer`) or to a
   * peer. It holds until the process of the target ends.
   */
  recordLeaving(id: string, source: 'answer' | 'peer'): void {
    if (!this.leaving.add(id, this.readNow())) return;
    const revision = this.findIncarnation(id)?.position.revision ?? 0;
    this.listeners.notify('target_leaving', source, id, revision);
  }

  /** Drops held targets whose entry has not been written again in time. */
  expireHeld(): void {
    this.table.expire();
    const ids = new Set(this.table.list().map(({id}) => id));
    this.leaving.expire(id => ids.has(id), this.readNow());
  }

  /**
   * Drops held targets whose entry was missing at `position` or earlier. A gate
   * without an outage of the store has reached `position`, which proves that
   * these targets were removed and did not just expire.
   */
  confirmRemovals(position: FactPosition): void {
    this.table.confirmRemovals(position);
  }

  private applyFact(
    change: Exclude<FactChange, {kind: 'config'}>,
    position: FactPosition,
  ): void {
    switch (change.kind) {
      case 'target':
        return this.table.apply(change.target, 'store');
      case 'target-gone':
        return this.table.applyRemoval(
          change.name,
          position,
          change.isMalformed,
        );
      default: {
        const {zone, kind} = change;
        const isEvacuated = kind === 'zone-evacuated';
        const changed = this.zones.apply({zone, isEvacuated, position});
        this.listeners.notifyZones(changed, 'store');
      }
    }
  }

  private applySharedTargets(shared: SharedFacts): void {
    if (shared.config !== undefined) this.applyConfig(shared.config, 'peer');
    const {targets, position, held, doubts} = shared;
    if (!this.isBehind(position)) return;
    this.applyTargetSnapshot(
      {targets, position, malformed: new Set()},
      position,
      'peer',
    );
    this.table.addHeld(held, position);
    this.addSuspectEntries(doubts, targets);
  }

  private applyTargetSnapshot(
    snapshot: TargetSnapshot,
    newest: FactPosition,
    source: 'store' | 'peer',
  ): void {
    const before = this.position;
    if (snapshot.position.era < before.era) return;
    const isFirst = comparePositions(before, NO_POSITION) === 0;
    if (snapshot.position.era === before.era || isFirst) {
      this.position = pickNewest([before, newest]);
      this.table.replace(snapshot, source);
      this.hasTargets = true;
      return;
    }
    this.position = newest;
    const counts = this.table.restore(snapshot, source);
    // A restore is an outage for every gate, so no peer can confirm removals.
    this.latestOutageStartedAt = -Infinity;
    this.listeners.notifyRestore({source, before, after: newest, ...counts});
  }

  private addSuspectEntries(
    doubts: readonly SharedSuspectEntry[],
    targets: readonly Target[],
  ): void {
    const names = new Set(targets.map(({name}) => name));
    this.table.addSuspectEntries(doubts, this.position.era, names);
  }

  private applyConfig(config: FleetConfig, source: 'store' | 'peer'): void {
    if (!this.index.apply(config)) return;
    this.listeners.notify(
      'config_applied',
      source,
      String(config.version),
      config.version,
    );
  }
}

/**
 * Creates a fleet state without any facts.
 *
 * @param readNow - Monotonic clock, in ms.
 * @example
 * const state = createFleetState(() => performance.now());
 */
export function createFleetState(readNow: () => number): FleetState {
  return new FleetState(readNow);
}
