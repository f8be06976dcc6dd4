/** Selects routes by host and longest path prefix. */
import type {Route} from '../types.js';

/**
 * Routes of one configuration, indexed by host.
 *
 * @example
 * createRouteTable(config.routes).find('shop.example', '/chat/1');
 */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const list = this.byHost.get(host) ?? [];
      list.push(route);
      this.byHost.set(host, list);
    }
    for (const list of this.byHost.values())
      list.sort((a, b) => b.prefix.length - a.prefix.length);
  }

  /**
   * Finds the route with the longest matching prefix; `host` may include a
   * port.
   */
  find(host: string, path: string): Route | undefined {
    const name = host.toLowerCase().replace(/:\d+$/, '');
    return this.byHost.get(name)?.find(route => path.startsWith(route.prefix));
  }
}

/**
 * Creates a route table from the routes of a configuration.
 *
 * @example
 * const table = createRouteTable(config.routes);
 */
export function createRouteTable(routes: readonly Route[]): RouteTable {
  return new RouteTable(routes);
}
