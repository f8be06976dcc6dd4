import {describe, it} from 'node:test';
import {expect} from 'earl';
import {answerCompletely, formatEvents} from '../test/fake-target.js';
import {buildSignedHead} from '../test/fake-target.js';
import {buildConfig, openGateHarness} from '../test/gate-harness.js';
import {listAllowedZones} from './allowed-regions.js';
import type {FakeTarget, TargetScript} from '../test/fake-target.js';

const REGION_BY_ZONE = new Map([
  ['az-1', 'west'],
  ['az-2', 'east'],
  ['az-3', 'east'],
]);

/** Zones of the targets; the settings name no region of the last one. */
const ZONES = ['az-1', 'az-2', 'az-3', 'az-4'];

const PATHS = ['/safe/', '/unsafe/', '/stream/'];

const CALL_COUNT = 8;

const answerAny: TargetScript = (req, res) => {
  if (!req.url?.startsWith('/stream/')) return answerCompletely(req, res);
  res.writeHead(200, buildSignedHead(req));
  res.end(formatEvents(1, 6));
};

/**
 * Calls a gate whose routes and account name regions; returns the statuses and the
 * zones that got requests.
 */
async function callRestricted(
  path: string,
  route: readonly string[] | undefined,
  account: readonly string[] | undefined,
): Promise<{
  readonly statuses: ReadonlySet<number>;
  readonly zones: readonly string[];
  readonly body: string;
}> {
  const base = buildConfig(1);
  const config = buildConfig(1, {
    routes: base.routes.map(one => ({...one, allowedRegions: route})),
    accounts: base.accounts.map(one => ({...one, allowedRegions: account})),
  });
  const harness = await openGateHarness({
    config,
    regionByZone: REGION_BY_ZONE,
  });
  try {
    const targets = new Map<string, FakeTarget[]>();
    for (const zone of ZONES)
      targets.set(zone, [
        await harness.addTarget(`o-${zone}`, 'orders', answerAny, zone),
        await harness.addTarget(`c-${zone}`, 'chat', answerAny, zone),
      ]);
    const {state} = harness.gate as unknown as {state: {targetCount: number}};
    await harness.waitUntil(() => state.targetCount === 2 * ZONES.length);
    const answers = await Promise.all(
      Array.from({length: CALL_COUNT}, (_, i) =>
        harness.call(`${path}${i}`, {id: `q${i}`, tokens: 40_000}),
      ),
    );
    return {
      statuses: new Set(answers.map(({status}) => status)),
      zones: ZONES.filter(zone =>
        targets.get(zone)?.some(({received}) => received.length > 0),
      ),
      body: answers[0].body,
    };
  } finally {
    harness.close();
  }
}

describe('regions that a route and an account allow', () => {
  for (const path of PATHS)
    it(`both bind requests to ${path}`, async () => {
      // Guards against data that leaves the regions which one of them allows, or
      // reaches a zone whose region is not known.
      const {statuses, zones} = await callRestricted(
        path,
        ['east', 'north'],
        ['west', 'east'],
      );
      expect([...statuses]).toEqual([200]);
      expect(zones.every(zone => ['az-2', 'az-3'].includes(zone))).toEqual(
        true,
      );
    });

  for (const path of PATHS)
    it(`leave requests to ${path} refused at once if they share none`, async () => {
      // Guards against requests that wait for a target which may not serve them.
      const {statuses, zones, body} = await callRestricted(
        path,
        ['east'],
        ['west'],
      );
      expect([...statuses]).toEqual([503]);
      expect(body).toEqual('{"error":{"reason":"no_target"}}');
      expect(zones).toEqual([]);
    });

  it('are no restriction if none is named', async () => {
    // Guards against gates that refuse requests of a configuration without
    // regions.
    expect(listAllowedZones([undefined, []], REGION_BY_ZONE)).toEqual(
      undefined,
    );
    const {statuses} = await callRestricted('/safe/', undefined, undefined);
    expect([...statuses]).toEqual([200]);
  });

  it('of a route alone, or of an account alone, bind', () => {
    // Guards against a restriction that needs both to be named.
    for (const restrictions of [
      [['west'], undefined],
      [undefined, ['west']],
    ])
      expect(listAllowedZones(restrictions, REGION_BY_ZONE)).toEqual(
        new Set(['az-1']),
      );
  });
});
