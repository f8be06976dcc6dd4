/** What a gate reads of the facts that it knows. */
import type {ListenAddress} from '@nutmeggauge/core';
import type {
  ClientAccount,
  EngineCostModel,
  FleetConfig,
  ServiceConfig,
  Target,
} from '../types.js';
import {EvacuatedZones} from './evacuated-zones.js';
import {LeavingTargets} from './leaving-targets.js';
import type {ConfigIndex} from './config-index.js';
import type {RouteTable} from './route-table.js';
import type {TargetTable} from './target-table.js';

/** Read access to the configuration and the targets that a gate knows. */
export abstract class FleetFacts {
  protected abstract readonly index: ConfigIndex;
  protected abstract readonly table: TargetTable;
  protected readonly leaving = new LeavingTargets();
  protected readonly zones = new EvacuatedZones();
  /** Addresses at which this gate listens, as host:port. */
  private ownAddresses: ReadonlySet<string> = new Set();

  /** Sets the addresses at which this gate listens, where no target can be. */
  setOwnAddresses(addresses: readonly ListenAddress[]): void {
    this.ownAddresses = new Set(
      addresses.map(({host, port}) => `${host}:${port}`),
    );
  }

  /** Returns whether the entry of a target names an address of this gate. */
  isOwnAddress({host, port}: Target): boolean {
    return this.ownAddresses.has(`${host}:${port}`);
  }

  /** Newest known configuration; absent until the first one is known. */
  get config(): FleetConfig | undefined {
    return this.index.config;
  }

  /** Routes of the current configuration; absent until one is known. */
  get routeTable(): RouteTable | undefined {
    return this.index.routeTable;
  }

  /** Whether a configuration and at least one target are known. */
  get isServing(): boolean {
    return this.config !== undefined && this.table.size > 0;
  }

  /** Finds the client account that holds `key`. */
  findAccount(key: string): ClientAccount | undefined {
    return this.index.findAccount(key);
  }

  /** Finds a service of the configuration. */
  findService(name: string): ServiceConfig | undefined {
    return this.index.findService(name);
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
      : this.index.findService(service)?.engine;
  }

  /** Lists targets of a service that accept new requests. */
  listUsable(service: string): readonly Target[] {
    return this.table
      .list()
      .filter(target => target.service === service && this.isStaying(target));
  }

  /** Returns whether a target still accepts new requests. */
  isUsable({name, id}: Target): boolean {
    const known = this.table.find(name);
    return known?.id === id && this.isStaying(known);
  }

  /**
   * Lists the targets that have said in an answer that they leave while the store
   * still lists them as accepting.
   */
  listLeaving(): readonly string[] {
    return this.table
      .list()
      .filter(({id, isDraining}) => !isDraining && this.leaving.isLeaving(id))
      .map(({id}) => id);
  }

  /** Lists every target outside evacuated zones whose service is an engine. */
  listEngines(): readonly Target[] {
    return this.table
      .list()
      .filter(
        target =>
          this.index.findService(target.service)?.engine !== undefined &&
          !this.zones.isEvacuated(target.zone) &&
          !this.isOwnAddress(target),
      );
  }

  /** Returns whether new requests to a zone are withheld. */
  isEvacuated(zone: string): boolean {
    return this.zones.isEvacuated(zone);
  }

  /**
   * Returns whether a service has targets, all of them in evacuated zones.
   *
   * @param allowedZones - Zones whose targets count; undefined for all.
   */
  isWhollyEvacuated(
    service: string,
    allowedZones?: ReadonlySet<string>,
  ): boolean {
    if (this.zones.count === 0) return false;
    const targets = this.table
      .list()
      .filter(
        one => one.service === service && (allowedZones?.has(one.zone) ?? true),
      );
    return (
      targets.length > 0 && targets.every(one => this.isEvacuated(one.zone))
    );
  }

  /** Counts the known targets in a zone. */
  countInZone(zone: string): number {
    return this.table.list().filter(target => target.zone === zone).length;
  }

  /** Number of evacuated zones. */
  get evacuatedCount(): number {
    return this.zones.count;
  }

  /** Number of known targets. */
  get targetCount(): number {
    return this.table.size;
  }

  private isStaying(target: Target): boolean {
    const {id, isDraining, zone} = target;
    if (this.zones.isEvacuated(zone) || this.isOwnAddress(target)) return false;
    return !isDraining && !this.leaving.isLeaving(id);
  }
}
