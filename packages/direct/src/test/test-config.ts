/** Configurations for tests. */
import type {EngineCostModel, FleetConfig, Route} from '../types.js';

/** Cost model of a typical engine. */
export const ENGINE: EngineCostModel = {
  slots: 11,
  kvCapacityTokens: 315_000,
  stepMs: 0.85,
  stepMsPerSequence: 0.006,
  stepMsPerContextK: 0.00285,
  prefillTokensPerMs: 177,
  attentionMsPerMillionPairs: 0.184,
  stepsPerIteration: 51,
  chunkTokens: 2048,
};

const BASE_ROUTE: Route = {
  name: 'r',
  host: 'site',
  prefix: '/',
  kind: 'safe',
  timeoutMs: 2000,
  objectiveMs: 300,
  itlObjectiveMs: undefined,
  splits: [{service: 'orders', weight: 1}],
  maxAttempts: 2,
  isPublic: false,
  isResumable: false,
};

/**
 * Builds the default configuration, with routes of each kind and one client
 * account.
 */
export function buildConfig(
  version: number,
  changes: Partial<FleetConfig> = {},
): FleetConfig {
  return {
    version,
    routes: [
      {...BASE_ROUTE, name: 'safe', prefix: '/safe/'},
      {
        ...BASE_ROUTE,
        name: 'unsafe',
        prefix: '/unsafe/',
        kind: 'unsafe',
        maxAttempts: 1,
      },
      {
        ...BASE_ROUTE,
        name: 'unsafe2',
        prefix: '/unsafe2/',
        kind: 'unsafe',
        maxAttempts: 2,
      },
      {
        ...BASE_ROUTE,
        name: 'stream',
        prefix: '/stream/',
        kind: 'stream',
        itlObjectiveMs: 250,
        timeoutMs: 5000,
        splits: [{service: 'chat', weight: 1}],
        isResumable: true,
      },
    ],
    services: [
      {name: 'orders', engine: undefined},
      {name: 'chat', engine: ENGINE},
    ],
    limits: {
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    accounts: [{name: 'acme', keys: ['k1']}],
    ...changes,
  };
}

/** Builds a configuration with many routes of about 250 bytes each. */
export function buildLargeConfig(
  version: number,
  routeCount: number,
): FleetConfig {
  const [route] = buildConfig(version).routes;
  const routes = Array.from({length: routeCount}, (_, i) => ({
    ...route,
    name: `route-${i}`,
    prefix: `/route-${i}/`,
  }));
  return buildConfig(version, {routes});
}
