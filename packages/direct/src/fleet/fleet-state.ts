/**
 * Configuration and targets as known to this gate. Neither goes back, whether
 * facts come from the store or from a peer.
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
  EngineFigures,
  FleetConfig,
  ServiceConfig,
  Target,
} from '../types.js';
import type {FactPosition} from './fact-position.js';
import type {RouteTable} from './route-table.js';
import type {
  FactSource,
  RestoreCounts,
  SharedDoubt,
  TargetEvent,
  TargetRead,
  TimedName,
} from './target-table.js';

/** Versions of a gate's facts. */
export interface FactVersions {
  /** Version of the configuration, 0 for none. */
  readonly configVersion: number;
  /** Position of the targets. */
  readonly position: FactPosition;
}

/** Facts that a gate hands to a peer. */
export interface SharedFacts {
  readonly position: FactPosition;
  /** Absent if the peer's is as new. */
  readonly config: FleetConfig | undefined;
  /** Empty if the peer's position is as new. */
  readonly targets: readonly Target[];
  /** Targets kept without an entry. */
  readonly held: readonly TimedName[];
  /** Names whose entries are left out until written again. */
  readonly doubts: readonly SharedDoubt[];
}

/** Called with each change that took effect. */
export type FleetListener = (event: FleetEvent) => void;

/** A change of the known facts. */
export interface FleetEvent {
  readonly event: 'config_applied' | TargetEvent;
  readonly source: FactSource;
  readonly id: string;
  readonly revision: number;
}

/** A return of the store from an older copy. */
export interface RestoreEvent extends RestoreCounts {
  readonly source: 'store' | 'peer';
  readonly before: FactPosition;
  readonly after: FactPosition;
}

/**
 * Configuration and targets of this gate.
 *
 * @example
 * const state = createFleetState(() => performance.now());
 * state.applySnapshot(await store.readSnapshot(1000));
 */
export class FleetState {
  /** Newest configuration; absent until the first is known. */
  config: FleetConfig | undefined;
  /** Position of the newest fact applied; compared between gates. */
  position = NO_POSITION;
  /** How far this gate itself has read the store. */
  private readPosition = NO_POSITION;
  private routes: RouteTable | undefined;
  private accounts = new Map<string, ClientAccount>();
  private services = new Map<string, ServiceConfig>();
  private readonly table: TargetTable;
  private lastOutageAt = -Infinity;
  private readonly listeners: FleetListener[] = [];
  private readonly restoreListeners: Array<(event: RestoreEvent) => void> = [];

  constructor(readNow: () => number) {
    this.table = new TargetTable({
      readNow,
      onChange: (event, {id, position}, source) =>
        this.notify(event, source, id, position.revision),
    });
  }

  /** Registers a listener of changes. */
  onChange(listener: FleetListener): void {
    this.listeners.push(listener);
  }

  /** Registers a listener of returns from an older copy. */
  onRestore(listener: (event: RestoreEvent) => void): void {
    this.restoreListeners.push(listener);
  }

  /** Routes in force; absent until a configuration is known. */
  get routeTable(): RouteTable | undefined {
    return this.routes;
  }

  /** True once a configuration and at least one target are known. */
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

  /** Finds a target by its incarnation. */
  findIncarnation(id: string): Target | undefined {
    return this.table.list().find(target => target.id === id);
  }

  /** Finds the figures of an engine by its incarnation. */
  findEngine(id: string): EngineFigures | undefined {
    const service = this.table.findService(id);
    return service === undefined
      ? undefined
      : this.services.get(service)?.engine;
  }

  /** Lists targets of a service that take new work. */
  listUsable(service: string): readonly Target[] {
    return this.table
      .list()
      .filter(target => target.service === service && !target.isDraining);
  }

  /** Lists every target that is an engine. */
  listEngines(): readonly Target[] {
    return this.table
      .list()
      .filter(({service}) => this.services.get(service)?.engine !== undefined);
  }

  /** Number of known targets. */
  get targetCount(): number {
    return this.table.size;
  }

  /** Start of the newest outage of the store; -Infinity before the first. */
  get outageAt(): number {
    return this.lastOutageAt;
  }

  /** Versions of the known facts. */
  get versions(): FactVersions {
    const {position} = this;
    return {configVersion: this.config?.version ?? 0, position};
  }

  /**
   * Records that the store answers again after an outage.
   *
   * @param outageAt - Its last answer before, on the monotonic clock, in ms; if
   *   unknown, targets that left cannot be told from expired entries.
   */
  markStoreBack(outageAt = -Infinity): void {
    this.table.markStoreBack();
    this.lastOutageAt = outageAt;
  }

  /** Applies a change from the store's watch. */
  applyChange(change: FactChange): void {
    if (change.kind === 'config') {
      this.applyConfig(change.config, 'store');
      return;
    }
    const position =
      change.kind === 'target' ? change.target.position : change.position;
    if (position.era < this.position.era) return;
    if (change.kind === 'target') this.table.apply(change.target, 'store');
    else this.table.applyGone(change.name, position, change.isMalformed);
    this.position = pickNewest([this.position, position]);
  }

  /** Applies a full read of the store. */
  applySnapshot(snapshot: FactSnapshot): void {
    if (snapshot.config !== undefined)
      this.applyConfig(snapshot.config, 'store');
    const {targets, position} = snapshot;
    const malformed = new Set(snapshot.malformed);
    const known = targets.map(target => target.position);
    const newest = pickNewest([{...position, revision: 0}, ...known]);
    this.applyRead({targets, position, malformed}, newest, 'store');
    this.markRead(position);
  }

  /** Records that every change up to `position` has been applied. */
  markRead(position: FactPosition): void {
    this.readPosition = pickNewest([this.readPosition, position]);
    this.table.markRead();
  }

  /**
   * Says whether facts at `position` are newer than all that is known here, by
   * a fact or by reading the store past it.
   */
  isBehind(position: FactPosition): boolean {
    return (
      isNewer(position, this.position) && isNewer(position, this.readPosition)
    );
  }

  /** Applies a peer's facts; older ones change nothing. */
  applyShared(shared: SharedFacts): void {
    if (shared.config !== undefined) this.applyConfig(shared.config, 'peer');
    const {targets, position, held, doubts} = shared;
    if (!this.isBehind(position)) return;
    this.applyRead({targets, position, malformed: new Set()}, position, 'peer');
    this.table.addHeld(held, position);
    this.addDoubts(doubts, targets);
  }

  /**
   * Merges a peer's facts into those of a gate that has just started: the peer
   * knows what an older copy of the store revives.
   */
  mergeShared(shared: SharedFacts): void {
    this.applyShared(shared);
    const {targets, position, held, doubts} = shared;
    if (position.era !== this.position.era) return;
    const heldNames = new Set(held.map(([name]) => name));
    // The peer may not know yet of targets that have left since.
    for (const target of targets)
      if (heldNames.has(target.name) || this.table.find(target.name))
        this.table.apply(target, 'peer');
    this.table.addHeld(held, position);
    this.addDoubts(doubts, targets);
  }

  /** Describes the facts that are newer than those a peer has. */
  describeShared(known: FactVersions): SharedFacts {
    const isConfigNews = (this.config?.version ?? 0) > known.configVersion;
    const isTargetNews = isNewer(this.position, known.position);
    return {
      position: this.position,
      config: isConfigNews ? this.config : undefined,
      targets: isTargetNews ? this.table.list() : [],
      held: this.table.listHeld(),
      doubts: this.table.listDoubts(),
    };
  }

  /** Drops held targets whose entry has not come back. */
  expireHeld(): void {
    this.table.expire();
  }

  /**
   * Drops held targets that were missing at `position` for a gate without an
   * outage: they have left.
   */
  confirmRemovals(position: FactPosition): void {
    this.table.confirmRemovals(position);
  }

  private applyRead(
    read: TargetRead,
    newest: FactPosition,
    source: 'store' | 'peer',
  ): void {
    const before = this.position;
    if (read.position.era < before.era) return;
    const isFirst = comparePositions(before, NO_POSITION) === 0;
    if (read.position.era === before.era || isFirst) {
      this.position = pickNewest([before, newest]);
      this.table.replace(read, source);
      return;
    }
    this.position = newest;
    const counts = this.table.restore(read, source);
    // Every gate has lost the store: none can confirm what has left.
    this.lastOutageAt = -Infinity;
    const event = {source, before, after: newest, ...counts};
    for (const listener of this.restoreListeners) listener(event);
  }

  private addDoubts(
    doubts: readonly SharedDoubt[],
    targets: readonly Target[],
  ): void {
    const names = new Set(targets.map(({name}) => name));
    this.table.addDoubts(doubts, this.position.era, names);
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
 * Creates an empty state.
 *
 * @param readNow - Monotonic clock, in ms.
 * @example
 * const state = createFleetState(() => performance.now());
 */
export function createFleetState(readNow: () => number): FleetState {
  return new FleetState(readNow);
}
