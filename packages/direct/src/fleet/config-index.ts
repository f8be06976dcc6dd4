/** The configuration in force, with its routes, accounts and services by key. */
import {createRouteTable} from './route-table.js';
import type {ClientAccount, FleetConfig, ServiceConfig} from '../types.js';
import type {RouteTable} from './route-table.js';

/**
 * Indexes the newest configuration that a gate knows.
 *
 * @example
 * index.apply(config);
 * index.findService('chat')?.engine;
 */
export class ConfigIndex {
  private newest: FleetConfig | undefined;
  private routes: RouteTable | undefined;
  private accounts: ReadonlyMap<string, ClientAccount> = new Map();
  private services: ReadonlyMap<string, ServiceConfig> = new Map();

  /** Newest known configuration; absent until the first one is known. */
  get config(): FleetConfig | undefined {
    return this.newest;
  }

  /** Routes of the configuration; absent until one is known. */
  get routeTable(): RouteTable | undefined {
    return this.routes;
  }

  /** Finds the client account that holds `key`. */
  findAccount(key: string): ClientAccount | undefined {
    return this.accounts.get(key);
  }

  /** Finds a service of the configuration. */
  findService(name: string): ServiceConfig | undefined {
    return this.services.get(name);
  }

  /** Applies a configuration; returns false if it is not newer. */
  apply(config: FleetConfig): boolean {
    if (this.newest !== undefined && config.version <= this.newest.version)
      return false;
    this.newest = config;
    this.routes = createRouteTable(config.routes);
    this.accounts = new Map(
      config.accounts.flatMap(account =>
        account.keys.map(key => [key, account] as const),
      ),
    );
    this.services = new Map(
      config.services.map(service => [service.name, service]),
    );
    return true;
  }
}
