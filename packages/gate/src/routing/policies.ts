/**
 * Maps the name of a routing policy in the settings to its Router.
 */
import {LeastOutstandingRouter, RoundRobinRouter} from './router.js';
import {
  ClassLoadRouter,
  PowerOfTwoRouter,
  TokenLoadRouter,
} from './load-routers.js';
import type {Router} from './router.js';
import type {RoutingPolicy} from '../settings.js';

/**
 * Creates the Router for `policy`.
 *
 * @example
 * resolveRouter('least-outstanding').name; // 'least-outstanding'
 */
export function resolveRouter(policy: RoutingPolicy): Router {
  switch (policy) {
    case 'round-robin':
      return new RoundRobinRouter();
    case 'least-outstanding':
      return new LeastOutstandingRouter();
    case 'power-of-two':
      return new PowerOfTwoRouter();
    case 'token-load':
      return new TokenLoadRouter();
    case 'class-load':
      return new ClassLoadRouter();
  }
}
