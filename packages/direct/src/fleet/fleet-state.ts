/**
 * Configuration and targets as known to this gate. Versions never go back,
 * whether facts come from the store or from a peer.
 */
import {createRouteTable} from './route-table.js';
import type {FactChange, FactSnapshot} from '../ports.js';
import type {
  ClientAccount,
  EngineFigures,
  FleetConfig,
  ServiceConfig,
  Target,
} from '../types.js';
import type {RouteTable} from './route-table.js';

/**
 * How long after an outage of the store a target is kept although its entry is
 * missing, in ms. Live targets register again within two seconds; the rest
 * covers the delay of the watch.
 */
export const LAPSE_HOLD_MS = 2300;

/** Versions of a gate's facts. */
export interface FactVersions {
  /** Version of the configuration, 0 for none. */
  readonly configVersion: number;
  /** Revision of the targets, 0 for none. */
  readonly revision: number;
}

/** Facts that a gate hands to a peer. */
export interface SharedFacts {
  readonly revision: number;
  /** Absent if the peer's is as new. */
  readonly config: FleetConfig | undefined;
  /** Empty if the peer's revision is as new. */
  readonly targets: readonly Target[];
  /** Targets kept without an entry: name and time left in ms. */
  readonly held: readonly (readonly [string, number])[];
}

/** A target that is kept without an entry. */
interface HeldTarget {
  /** When it is dropped, unless its entry is back. */
  readonly until: number;
  /** Revision at which the entry was missing. */
  readonly revision: number;
}

/** Called with each change that took effect. */
export type FleetListener = (event: FleetEvent) => void;

/** A change of the known facts. */
export interface FleetEvent {
  readonly event:
    | 'config_applied'
    | 'target_added'
    | 'target_changed'
    | 'target_removed'
    | 'target_held';
  readonly source: 'store' | 'peer' | 'hold_expired';
  readonly id: string;
  readonly revision: number;
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
  /** Revision of the newest fact applied; compared between gates. */
  revision = 0;
  private routes: RouteTable | undefined;
  private accounts = new Map<string, ClientAccount>();
  private services = new Map<string, ServiceConfig>();
  /** By name. */
  private readonly targets = new Map<string, Target>();
  private readonly serviceById = new Map<string, string>();
  /** Held targets by name. */
  private readonly held = new Map<string, HeldTarget>();
  private storeBackAt = -Infinity;
  private lastOutageAt = -Infinity;
  private readonly listeners: FleetListener[] = [];

  constructor(private readonly readNow: () => number) {}

  /** Registers a listener of changes. */
  onChange(listener: FleetListener): void {
    this.listeners.push(listener);
  }

  /** Routes in force; absent until a configuration is known. */
  get routeTable(): RouteTable | undefined {
    return this.routes;
  }

  /** True once a configuration and at least one target are known. */
  get isServing(): boolean {
    return this.config !== undefined && this.targets.size > 0;
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
    return this.targets.get(name);
  }

  /** Finds a target by its incarnation. */
  findIncarnation(id: string): Target | undefined {
    return [...this.targets.values()].find(target => target.id === id);
  }

  /** Finds the figures of an engine by its incarnation. */
  findEngine(id: string): EngineFigures | undefined {
    const service = this.serviceById.get(id);
    return service === undefined
      ? undefined
      : this.services.get(service)?.engine;
  }

  /** Lists targets of a service that take new work. */
  listUsable(service: string): readonly Target[] {
    const usable: Target[] = [];
    for (const target of this.targets.values()) {
      if (target.service !== service || target.isDraining) continue;
      usable.push(target);
    }
    return usable;
  }

  /** Lists every target that is an engine. */
  listEngines(): readonly Target[] {
    return [...this.targets.values()].filter(
      ({service}) => this.services.get(service)?.engine !== undefined,
    );
  }

  /** Number of known targets. */
  get targetCount(): number {
    return this.targets.size;
  }

  /** Start of the newest outage of the store; -Infinity before the first. */
  get outageAt(): number {
    return this.lastOutageAt;
  }

  /**
   * Records that the store answers again after an outage.
   *
   * @param outageAt - Its last answer before, on the monotonic clock, in ms; if
   *   unknown, targets that left cannot be told from expired entries.
   */
  markStoreBack(outageAt = -Infinity): void {
    this.storeBackAt = this.readNow();
    this.lastOutageAt = outageAt;
  }

  /** Applies a change from the store's watch. */
  applyChange(change: FactChange, revision: number): void {
    if (change.kind === 'config') this.applyConfig(change.config, 'store');
    if (change.kind === 'target') this.applyTarget(change.target, 'store');
    if (change.kind === 'target-gone') {
      const known = this.targets.get(change.name);
      if (known !== undefined && known.revision <= change.revision)
        this.removeOrHold(known, 'store', change.revision, change.isMalformed);
    }
    this.revision = Math.max(this.revision, revision);
  }

  /** Applies a full read of the store. */
  applySnapshot(snapshot: FactSnapshot): void {
    if (snapshot.config !== undefined)
      this.applyConfig(snapshot.config, 'store');
    const {targets, revision, malformed} = snapshot;
    this.replaceTargets(targets, revision, 'store', new Set(malformed));
    for (const target of snapshot.targets)
      this.revision = Math.max(this.revision, target.revision);
  }

  /** Applies a peer's facts; older ones change nothing. */
  applyShared(shared: SharedFacts): void {
    if (shared.config !== undefined) this.applyConfig(shared.config, 'peer');
    if (shared.revision <= this.revision) return;
    this.replaceTargets(shared.targets, shared.revision, 'peer');
    const now = this.readNow();
    for (const [name, leftMs] of shared.held)
      if (this.targets.has(name))
        this.held.set(name, {until: now + leftMs, revision: shared.revision});
    this.revision = shared.revision;
  }

  /** Describes the facts that are newer than those a peer has. */
  describeShared(known: FactVersions): SharedFacts {
    const now = this.readNow();
    const isConfigNews = (this.config?.version ?? 0) > known.configVersion;
    const isTargetNews = this.revision > known.revision;
    return {
      revision: this.revision,
      config: isConfigNews ? this.config : undefined,
      targets: isTargetNews ? [...this.targets.values()] : [],
      held: [...this.held].map(([name, {until}]) => [name, until - now]),
    };
  }

  /** Drops held targets whose entry has not come back. */
  expireHeld(): void {
    const now = this.readNow();
    this.dropHeld(({until}) => until <= now, 'hold_expired');
  }

  /**
   * Drops held targets that were missing at `revision` for a gate without an
   * outage: they have left.
   */
  confirmRemovals(revision: number): void {
    this.dropHeld(held => held.revision <= revision, 'peer');
  }

  private dropHeld(
    isDue: (held: HeldTarget) => boolean,
    source: FleetEvent['source'],
  ): void {
    for (const [name, held] of [...this.held]) {
      if (!isDue(held)) continue;
      this.held.delete(name);
      const target = this.targets.get(name);
      if (target !== undefined) this.remove(target, source);
    }
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

  private applyTarget(target: Target, source: 'store' | 'peer'): void {
    const known = this.targets.get(target.name);
    if (known !== undefined && known.revision > target.revision) return;
    if (known !== undefined && isEarlierLife(target, known)) return;
    this.held.delete(target.name);
    const isRestarted = known !== undefined && known.id !== target.id;
    if (isRestarted) this.remove(known, source);
    this.targets.set(target.name, target);
    this.serviceById.set(target.id, target.service);
    if (known === undefined || isRestarted)
      this.notify('target_added', source, target.id, target.revision);
    else if (known.isDraining !== target.isDraining)
      this.notify('target_changed', source, target.id, target.revision);
  }

  private replaceTargets(
    targets: readonly Target[],
    revision: number,
    source: 'store' | 'peer',
    malformed: ReadonlySet<string> = new Set(),
  ): void {
    const present = new Set(targets.map(target => target.name));
    for (const target of targets) this.applyTarget(target, source);
    for (const known of [...this.targets.values()]) {
      // An entry newer than the snapshot is not part of it.
      if (present.has(known.name) || known.revision > revision) continue;
      this.removeOrHold(known, source, revision, malformed.has(known.name));
    }
  }

  /**
   * @param revision - Revision at which the entry is missing.
   * @param isMalformed - Its entry exists, but names no target.
   */
  private removeOrHold(
    target: Target,
    source: 'store' | 'peer',
    revision: number,
    isMalformed: boolean,
  ): void {
    const holdEnd = this.storeBackAt + LAPSE_HOLD_MS;
    const isLapse =
      source === 'store' &&
      !isMalformed &&
      !target.isDraining &&
      holdEnd > this.readNow();
    if (!isLapse) {
      this.remove(target, source);
      return;
    }
    this.held.set(target.name, {until: holdEnd, revision});
    this.notify('target_held', source, target.id, target.revision);
  }

  private remove(target: Target, source: FleetEvent['source']): void {
    this.targets.delete(target.name);
    this.serviceById.delete(target.id);
    this.held.delete(target.name);
    this.notify('target_removed', source, target.id, target.revision);
  }

  private notify(
    event: FleetEvent['event'],
    source: FleetEvent['source'],
    id: string,
    revision: number,
  ): void {
    for (const listener of this.listeners)
      listener({event, source, id, revision});
  }
}

/** Says whether an entry is a late message of an earlier incarnation. */
function isEarlierLife(target: Target, known: Target): boolean {
  if (target.bornAt === undefined || known.bornAt === undefined) return false;
  return target.bornAt < known.bornAt;
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
