import {describe, it} from 'node:test';
import {expect} from 'earl';
import {buildConfig} from '../test/test-config.js';
import {Urgencies} from './urgency.js';
import type {ClientAccount, FleetConfig, Route} from '../types.js';

function buildRoutes(priorities: ReadonlyArray<number | undefined>) {
  const stream = buildConfig(1).routes.find(({kind}) => kind === 'stream');
  if (stream === undefined) throw new Error('no stream route');
  return priorities.map((priority, i): Route => ({
    ...stream,
    name: `stream-${i}`,
    prefix: `/stream-${i}/`,
    priority,
  }));
}

function buildAccounts(priorities: ReadonlyArray<number | undefined>) {
  return priorities.map((priority, i): ClientAccount => ({
    name: `a${i}`,
    keys: [`k${i}`],
    priority,
  }));
}

/** Chooses the engine priorities of a small, a middle and a large prompt. */
function choosePriorities(
  config: FleetConfig,
  routeIndex: number,
  account: string | undefined,
) {
  const urgencies = new Urgencies(() => config);
  const route = config.routes[routeIndex];
  return [4000, 45_000, 200_000].map(tokens =>
    urgencies.choosePriority({service: 'chat', route, account}, tokens),
  );
}

function rankAll(config: FleetConfig, account: string | undefined) {
  const urgencies = new Urgencies(() => config);
  return config.routes.map(route =>
    urgencies.rank({service: 'chat', route, account}),
  );
}

describe('Urgencies', () => {
  it('ranks requests by the priority of their route', () => {
    const config = buildConfig(1, {
      routes: buildRoutes([0, 1, 2]),
      accounts: buildAccounts([undefined]),
    });
    expect(rankAll(config, 'a0')).toEqual([0, 1, 2]);
    expect(choosePriorities(config, 0, 'a0')).toEqual([0, 1, 2]);
    expect(choosePriorities(config, 1, 'a0')).toEqual([3, 4, 5]);
    expect(choosePriorities(config, 2, 'a0')).toEqual([6, 7, 8]);
  });

  it('prefers the priority of the account to that of the route', () => {
    const config = buildConfig(1, {
      routes: buildRoutes([0, 4]),
      accounts: buildAccounts([2, undefined]),
    });
    expect(rankAll(config, 'a0')).toEqual([1, 1]);
    expect(rankAll(config, 'a1')).toEqual([0, 2]);
  });

  it('treats requests without a priority as the least urgent ones', () => {
    const config = buildConfig(1, {
      routes: buildRoutes([undefined, 1]),
      accounts: buildAccounts([undefined, 7]),
    });
    expect(rankAll(config, 'a0')).toEqual([1, 0]);
    expect(rankAll(config, 'a1')).toEqual([1, 1]);
  });

  it('keeps the priorities by size where all requests are equally urgent', () => {
    // Guards against changes in deployments whose priorities are all equal,
    // including one priority of all accounts, which hides those of the routes.
    const configs = [
      buildConfig(1, {routes: buildRoutes([undefined, undefined])}),
      buildConfig(1, {routes: buildRoutes([1, 1])}),
      buildConfig(1, {
        routes: buildRoutes([0, 3]),
        accounts: buildAccounts([2, 2]),
      }),
    ];
    for (const config of configs) {
      expect(choosePriorities(config, 1, 'a0')).toEqual([2, 4, 5]);
      expect(rankAll(config, 'a0')).toEqual([0, 0]);
    }
  });

  it('counts callers without an account on public routes only', () => {
    const routes = buildRoutes([0, 0]);
    const accounts = buildAccounts([3]);
    const isPublic = true;
    const open = buildConfig(1, {
      routes: [routes[0], {...routes[1], isPublic}],
      accounts,
    });
    expect(rankAll(open, 'a0')).toEqual([1, 1]);
    expect(rankAll(open, undefined)).toEqual([0, 0]);
    expect(rankAll(buildConfig(1, {routes, accounts}), 'a0')).toEqual([0, 0]);
  });

  it('ignores routes that send no streams to the service', () => {
    const [first, second] = buildRoutes([0, 5]);
    const splits = [
      {service: 'orders', weight: 1},
      {service: 'chat', weight: 0},
    ];
    const routes = [first, {...second, splits}];
    expect(rankAll(buildConfig(1, {routes}), 'acme')).toEqual([0, 0]);
    const call: Route = {...second, kind: 'safe'};
    expect(rankAll(buildConfig(1, {routes: [first, call]}), 'acme')).toEqual([
      0, 0,
    ]);
  });

  it('sends engines priorities from 0 to 9, whatever is configured', () => {
    // Guards against a header that engines reject.
    const many = [-1e9, -0.5, 0.25, 1, 2, 3, 4, 5, 6, 7, 8, 1e9];
    for (const priorities of [many, many.slice(0, 10), many.slice(4, 9)]) {
      const config = buildConfig(1, {
        routes: buildRoutes(priorities),
        accounts: buildAccounts([undefined]),
      });
      const told = priorities.flatMap((_, i) =>
        choosePriorities(config, i, 'a0'),
      );
      expect(told).toEqual([...told].sort((a, b) => a - b));
      expect(told.every(value => Number.isInteger(value))).toEqual(true);
      expect(Math.min(...told)).toEqual(0);
      expect(Math.max(...told) <= 9).toEqual(true);
    }
  });

  it('goes by the configuration in force', () => {
    let config = buildConfig(1, {routes: buildRoutes([0, 1])});
    const urgencies = new Urgencies(() => config);
    const route = config.routes[1];
    const subject = {service: 'chat', route, account: 'acme'};
    expect(urgencies.rank(subject)).toEqual(1);
    config = buildConfig(2, {routes: buildRoutes([1, 1])});
    expect(urgencies.rank(subject)).toEqual(0);
  });
});
