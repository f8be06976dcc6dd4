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
import {createRouteTable} from './route-table.js';
import {TargetTable} from './target-table.js';
import type {FactChange, FactSnapshot} from '../ports.js';
import type {
  ClientAccount,
  EngineCostModel,
  FleetConfig,
  ServiceConfig,
  Target,
} from '../types.js';
import type {FactPosition} from './fact-position.js';
import type {RouteTable} from './route-table.js';
import type {
  FactSource,
  RestoreCounts,
  SharedSuspectEntry,
  TargetEvent,
  TargetSnapshot,
  ExpiringName,
} from './target-table.js';

/** Versions of the facts that a gate knows. */
export interface FactVersions {
  /** Version of the configuration; 0 if none is known. */
  readonly configVersion: number;
  /** Position of the newest target entry. */
  readonly position: FactPosition;
}

/** Facts that a gate sends to a peer. */
export interface SharedFacts {
  readonly position: FactPosition;
  /** Absent if the peer's configuration is at least as new. */
  readonly config: FleetConfig | undefined;
  /** Empty if the peer's position is at least as new. */
  readonly targets: readonly Target[];
  /** Targets that are kept although their entry is missing from the store. */
  readonly held: readonly ExpiringName[];
  /** Entries that are ignored as suspect until they are written again. */
  readonly doubts: readonly SharedSuspectEntry[];
}

/** Listener that is called after each change of the known facts. */
export type FleetListener = (event: FleetEvent) => void;

/** A change of the known facts. */
export interface FleetEvent {
  readonly event: 'config_applied' | TargetEvent;
  readonly source: FactSource;
  readonly id: string;
  readonly revision: number;
}

/** A restore of the store from an older copy. */
export interface RestoreEvent extends RestoreCounts {
  readonly source: 'store' | 'peer';
  readonly before: FactPosition;
  readonly after: FactPosition;
}

/**
 * The configuration and targets that this gate knows.
 *
 * @example
 * const state = createFleetState(() => performance.now());
 * state.applySnapshot(await store.readSnapshot(1000));
 */
export class FleetState {
  /** Newest known configuration; absent until the first one is known. */
  config: FleetConfig | undefined;
  /**
   * Position of the newest applied fact. Gates compare their positions to find
   * out which of them has newer facts.
   */
  position = NO_POSITION;
  /** Position up to which this gate itself has read the store. */
  private readPosition = NO_POSITION;
  private routes: RouteTable | undefined;
  private accounts = new Map<string, ClientAccount>();
  private services = new Map<string, ServiceConfig>();
  private readonly table: TargetTable;
  private latestOutageStartedAt = -Infinity;
  private readonly listeners = new Set<FleetListener>();
  private readonly restoreListeners: Array<(event: RestoreEvent) => void> = [];

  constructor(readNow: () => number) {
    this.table = new TargetTable({
      readNow,
      onChange: (event, {id, position}, source) =>
        this.notify(event, source, id, position.revision),
    });
  }

  /**
   * Registers a listener for changes of the known facts; returns a function that
   * removes it.
   */
  onChange(listener: FleetListener): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }

  /** Registers a listener for restores of the store from an older copy. */
  onRestore(listener: (event: RestoreEvent) => void): void {
    this.restoreListeners.push(listener);
  }

  /** Routes of the current configuration; absent until one is known. */
  get routeTable(): RouteTable | undefined {
    return this.routes;
  }

  /** Whether a configuration and at least one target are known. */
  get isServing(): boolean {
    return this.config !== undefined && this.table.size > 0;
  }

  /** Finds the client account that holds `key`. */
  findAccount(key: string): ClientAccount | undefined {
    return this.accounts.get(key);
  }

  /** Finds a service of the configuration. */
  findService(name: string): ServiceConfig | undefined {
    return this.services.get(name);
  }

  /** Finds a target by its name. */
  findTarget(name: string): Target | undefined {
    return this.table.find(name);
  }

  /** Finds a target by its incarnation id. */
  findIncarnation(id: string): Target | undefined {
    return this.table.list().find(target => target.id === id);
  }

  /** Finds the cost model of an engine by its incarnation id. */
  findEngine(id: string): EngineCostModel | undefined {
    const service = this.table.findService(id);
    return service === undefined
      ? undefined
      : this.services.get(service)?.engine;
  }

  /** Lists targets of a service that accept new requests. */
  listUsable(service: string): readonly Target[] {
    return this.table
      .list()
      .filter(target => target.service === service && !target.isDraining);
  }

  /** Lists every target whose service is a model engine. */
  listEngines(): readonly Target[] {
    return this.table
      .list()
      .filter(({service}) => this.services.get(service)?.engine !== undefined);
  }

  /** Number of known targets. */
  get targetCount(): number {
    return this.table.size;
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
    if (change.kind === 'target') this.table.apply(change.target, 'store');
    else this.table.applyRemoval(change.name, position, change.isMalformed);
    this.position = pickNewest([this.position, position]);
  }

  /** Applies a full snapshot of the store. */
  applySnapshot(snapshot: FactSnapshot): void {
    if (snapshot.config !== undefined)
      this.applyConfig(snapshot.config, 'store');
    const {targets, position} = snapshot;
    const malformed = new Set(snapshot.malformed);
    const targetPositions = targets.map(target => target.position);
    const newest = pickNewest([{...position, revision: 0}, ...targetPositions]);
    this.applyTargetSnapshot({targets, position, malformed}, newest, 'store');
    this.markRead(position);
  }

  /**
   * Records that every change of the store up to `position` has been applied.
   */
  markRead(position: FactPosition): void {
    this.readPosition = pickNewest([this.readPosition, position]);
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

  /** Applies facts from a peer; ignores those that are not newer. */
  applyShared(shared: SharedFacts): void {
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
    };
  }

  /** Drops held targets whose entry has not been written again in time. */
  expireHeld(): void {
    this.table.expire();
  }

  /**
   * Drops held targets whose entry was missing at `position` or earlier. A gate
   * without an outage of the store has reached `position`, which proves that
   * these targets were removed and did not just expire.
   */
  confirmRemovals(position: FactPosition): void {
    this.table.confirmRemovals(position);
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
      return;
    }
    this.position = newest;
    const counts = this.table.restore(snapshot, source);
    // A restore is an outage for every gate, so no peer can confirm removals.
    this.latestOutageStartedAt = -Infinity;
    const event = {source, before, after: newest, ...counts};
    for (const listener of this.restoreListeners) listener(event);
  }

  private addSuspectEntries(
    doubts: readonly SharedSuspectEntry[],
    targets: readonly Target[],
  ): void {
    const names = new Set(targets.map(({name}) => name));
    this.table.addSuspectEntries(doubts, this.position.era, names);
  }

  private applyConfig(config: FleetConfig, source: 'store' | 'peer'): void {
    if (this.config !== undefined && config.version <= this.config.version)
      return;
    this.config = config;
    this.routes = createRouteTable(config.routes);
    this.accounts = new Map(
      config.accounts.flatMap(account =>
        account.keys.map(key => [key, account] as const),
      ),
    );
    this.services = new Map(
      config.services.map(service => [service.name, service]),
    );
    this.notify(
      'config_applied',
      source,
      String(config.version),
      config.version,
    );
  }

  private notify(
    event: FleetEvent['event'],
    source: FactSource,
    id: string,
    revision: number,
  ): void {
    for (const listener of this.listeners)
      listener({event, source, id, revision});
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
