import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ZodError} from 'zod';
import {formatDatagram, parseDatagram} from '../peers/messages.js';
import {ENGINE} from '../test/test-config.js';
import {AccountUsage} from './account-usage.js';
import {estimateEngineTimeMs} from './engine-time.js';
import {rankAccounts} from './fair-share.js';
import type {SentHeartbeat} from '../peers/messages.js';

/** Usage at a gate whose clock the test sets. */
class UsageHarness {
  now: number;
  readonly usage: AccountUsage;

  constructor(startAt = 0, accounts = 24) {
    this.now = startAt;
    this.usage = new AccountUsage({
      countAccounts: () => accounts,
      readNow: () => this.now,
    });
  }
}

const HEARTBEAT: SentHeartbeat = {
  from: '10.1.0.4',
  incarnation: '17.5',
  configVersion: 1,
  era: 0,
  revision: 1,
  factsAgeMs: 0,
};

function parseUsage(usage: unknown) {
  const params = {...HEARTBEAT, usage} as SentHeartbeat;
  const datagram = parseDatagram(
    formatDatagram({jsonrpc: '2.0', method: 'heartbeat', params}),
  );
  return datagram.method === 'heartbeat' ? datagram.params.usage : undefined;
}

describe('AccountUsage', () => {
  it('forgets what was used some seconds ago', () => {
    const gate = new UsageHarness();
    gate.usage.recordPlacement('a', 1000);
    gate.now = 4000;
    expect(Math.round(gate.usage.readMs('a'))).toEqual(368);
    gate.now = 60_000;
    expect(gate.usage.listLargest(9)).toEqual([]);
  });

  it('tells nothing unless room has lately been short', () => {
    // Guards against heartbeats that grow while nothing competes.
    const gate = new UsageHarness();
    gate.usage.recordPlacement('a', 1000);
    expect(gate.usage.buildReport()).toEqual(undefined);
    gate.usage.markShort();
    expect(gate.usage.buildReport()).toEqual({
      isShort: true,
      sums: [['a', 1000]],
    });
    gate.now = 6000;
    expect(gate.usage.buildReport()).toEqual(undefined);
  });

  it('tells its sums while room is short at a peer, but not for ever', () => {
    // Guards against gates that keep each other reporting.
    const [a, b] = [new UsageHarness(), new UsageHarness()];
    for (const {usage} of [a, b]) usage.recordPlacement('x', 1e6);
    a.usage.markShort();
    b.usage.applyReport('a', a.usage.buildReport());
    expect(b.usage.buildReport()?.isShort).toEqual(false);
    a.now = b.now = 6000;
    a.usage.applyReport('b', {isShort: false, sums: [['x', 1]]});
    expect([a.usage.buildReport(), b.usage.buildReport()]).toEqual([
      undefined,
      undefined,
    ]);
  });

  it('adds up what peers tell and replaces their earlier reports', () => {
    const gate = new UsageHarness();
    gate.usage.recordPlacement('x', 100);
    gate.usage.applyReport('a', {isShort: true, sums: [['x', 500]]});
    gate.usage.applyReport('b', {isShort: true, sums: [['x', 50]]});
    expect(Math.round(gate.usage.readMs('x'))).toEqual(650);
    gate.now = 1000;
    gate.usage.applyReport('a', {isShort: true, sums: [['y', 30]]});
    expect(Math.round(gate.usage.readMs('x'))).toEqual(117);
    expect(Math.round(gate.usage.readMs('y'))).toEqual(30);
  });

  it('starts with what peers tell after a restart, whatever its clock says', () => {
    const peer = new UsageHarness(9e9);
    peer.usage.recordPlacement('x', 800);
    peer.usage.markShort();
    const restarted = new UsageHarness(3);
    restarted.usage.applyReport('peer', peer.usage.buildReport());
    expect(Math.round(restarted.usage.readMs('x'))).toEqual(800);
    // The peer is lost.
    restarted.now += 20_000;
    restarted.usage.applyReport('other', undefined);
    expect(restarted.usage.readMs('x') < 10).toEqual(true);
  });

  it('tells and keeps 32 accounts of a gate at most', () => {
    // Guards against state that grows with 3,700 accounts at 350 gates.
    const gate = new UsageHarness(0, 3700);
    for (let i = 0; i < 3700; i++)
      gate.usage.recordPlacement(`account-${i}`, 1000 + i);
    gate.usage.markShort();
    const report = gate.usage.buildReport();
    expect(report?.sums.length).toEqual(32);
    expect(report?.sums[0][0]).toEqual('account-3699');
    expect(JSON.stringify(report).length < 800).toEqual(true);
  });

  it('is off with fewer than two accounts', () => {
    const gate = new UsageHarness(0, 1);
    gate.usage.recordPlacement('x', 100);
    gate.usage.markShort();
    expect(gate.usage.buildReport()).toEqual(undefined);
  });

  it('shares one entry among requests without an account', () => {
    const gate = new UsageHarness();
    gate.usage.recordPlacement(undefined, 100);
    gate.usage.recordPlacement(undefined, 100);
    expect(gate.usage.readMs(undefined)).toEqual(200);
  });
});

describe('usage in heartbeats', () => {
  it('is optional and keeps its values', () => {
    expect(parseUsage(undefined)).toEqual(undefined);
    expect(parseUsage({sums: [['a', 5]]})).toEqual({
      isShort: false,
      sums: [['a', 5]],
    });
  });

  it('is rejected with an error that names the field if it is malformed', () => {
    const malformed = [
      {sums: 7},
      {sums: [['a', -1]]},
      {sums: [['a', '5']]},
      {sums: [['x'.repeat(129), 5]]},
      {sums: Array.from({length: 33}, (_, i) => [`a${i}`, 1])},
      {isShort: 'yes', sums: []},
    ];
    for (const usage of malformed) {
      let error: unknown;
      try {
        parseUsage(usage);
      } catch (thrown) {
        error = thrown;
      }
      expect(error instanceof ZodError).toEqual(true);
      expect(String(error).includes('usage')).toEqual(true);
    }
  });
});

describe('rankAccounts', () => {
  const rank = (
    usage: Readonly<Record<string, number>>,
    before: Readonly<Record<string, number>> = {},
  ) =>
    Object.fromEntries(
      rankAccounts(
        new Map(Object.entries(usage)),
        new Map(Object.entries(before)),
      ),
    );

  it('ranks an account that is alone, or equal to the others, first', () => {
    expect(rank({a: 9000})).toEqual({a: 0});
    expect(rank({a: 100, b: 110, c: 90})).toEqual({a: 0, b: 0, c: 0});
    expect(rank({a: 0, b: 0})).toEqual({a: 0, b: 0});
  });

  it('ranks accounts by how far they are above the share of the rest', () => {
    expect(rank({a: 10, b: 100, c: 110, d: 900})).toEqual({
      a: 0,
      b: 0,
      c: 0,
      d: 1,
    });
    expect(rank({a: 1, b: 2, c: 100, d: 5000})).toEqual({
      a: 0,
      b: 0,
      c: 0,
      d: 1,
    });
    expect(rank({a: 1, b: 1, c: 1, d: 1, d2: 600, e: 1500})).toEqual({
      a: 0,
      b: 0,
      c: 0,
      d: 0,
      d2: 1,
      e: 2,
    });
  });

  it('keeps the rank of an account through small changes', () => {
    const usage = {a: 100, b: 147};
    expect(rank(usage)).toEqual({a: 0, b: 0});
    expect(rank(usage, {b: 1})).toEqual({a: 0, b: 1});
    expect(rank({a: 100, b: 118}, {b: 1})).toEqual({a: 0, b: 0});
  });
});

describe('estimateEngineTimeMs', () => {
  it('counts prefill and the share of the iterations', () => {
    const short = estimateEngineTimeMs(5000, 200, ENGINE);
    const long = estimateEngineTimeMs(200_000, 200, ENGINE);
    expect(short > 5000 / ENGINE.prefillTokensPerMs).toEqual(true);
    expect(estimateEngineTimeMs(5000, 0, ENGINE) < short).toEqual(true);
    expect(long > 40 * short).toEqual(true);
  });
});
