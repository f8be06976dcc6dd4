import {describe, it, mock} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {KvReservations} from '../ports.js';
import {buildTarget} from '../test/build-target.js';
import {buildSignedHead, formatEvents} from '../test/fake-target.js';
import {
  FakeReservations,
  buildConfig,
  openGateWorld,
} from '../test/gate-world.js';
import {openKvLease} from './kv-lease.js';
import type {ReservationOutcome} from '../ports.js';
import type {TargetScript} from '../test/fake-target.js';
import type {LivenessCheck} from './kv-lease.js';

/** Grants reservations at once, and renewals when the test says so. */
class SlowRenewals extends KvReservations {
  readonly orders: string[] = [];
  readonly waiting: Array<() => void> = [];

  override reserve(): Promise<ReservationOutcome> {
    this.orders.push('reserve');
    if (this.orders.length === 1) return Promise.resolve('granted');
    return new Promise(resolve => this.waiting.push(() => resolve('granted')));
  }

  override release(): Promise<void> {
    this.orders.push('release');
    return Promise.resolve();
  }
}

/** An engine that sends bytes all the time. */
const HEARD: LivenessCheck = {
  isActive: () => true,
  ask: () => Promise.resolve(true),
};

/** An engine that sends nothing, and answers polls when the test says so. */
class SilentEngine implements LivenessCheck {
  isAnswering = true;
  asked = 0;

  isActive(): boolean {
    return false;
  }

  ask(): Promise<boolean> {
    this.asked++;
    return Promise.resolve(this.isAnswering);
  }
}

/** Advances by one renewal period. */
async function advancePeriod(): Promise<void> {
  mock.timers.tick(1200);
  await new Promise(resolve => setImmediate(resolve));
}

async function openLease(
  reservations: KvReservations,
  liveness: LivenessCheck = HEARD,
) {
  const target = buildTarget('e1', 1);
  const lease = await openKvLease(
    reservations,
    'r',
    [{target, tokens: 9000}],
    liveness,
  );
  if (lease === undefined) throw new Error('not granted');
  return lease;
}

describe('KV cache lease', () => {
  it('is given back behind a renewal that was under way', async () => {
    // Guards against a renewal that arrives after the release.
    mock.timers.enable({apis: ['setInterval']});
    try {
      const reservations = new SlowRenewals();
      const lease = await openLease(reservations);
      mock.timers.tick(1200);
      lease.close();
      expect(reservations.orders).toEqual(['reserve', 'reserve', 'release']);
      for (const answer of reservations.waiting) answer();
      await new Promise(resolve => setImmediate(resolve));
      expect(reservations.orders.slice(3)).toEqual(['release']);
    } finally {
      mock.timers.reset();
    }
  });

  it('is given back once when no renewal is under way', async () => {
    const reservations = new SlowRenewals();
    const lease = await openLease(reservations);
    lease.close();
    await new Promise(resolve => setImmediate(resolve));
    expect(reservations.orders).toEqual(['reserve', 'release']);
  });

  it('is renewed while the engine answers, although no event came', async () => {
    // Guards against a lease that expires while a long prompt is prefilled.
    mock.timers.enable({apis: ['setInterval']});
    try {
      const reservations = new FakeReservations();
      const liveness = new SilentEngine();
      const lease = await openLease(reservations, liveness);
      await advancePeriod();
      liveness.isAnswering = false;
      await advancePeriod();
      liveness.isAnswering = true;
      await advancePeriod();
      await advancePeriod();
      // The first reservation, and a renewal for each answer: one poll may be
      // missed.
      expect(reservations.reservedAt.length).toEqual(4);
      lease.close();
    } finally {
      mock.timers.reset();
    }
  });

  it('is renewed no more when the engine comes back after two silent checks', async () => {
    // Guards against renewals for an engine that restarted and lost the prompt.
    mock.timers.enable({apis: ['setInterval']});
    try {
      const reservations = new FakeReservations();
      const liveness = new SilentEngine();
      const lease = await openLease(reservations, liveness);
      liveness.isAnswering = false;
      await advancePeriod();
      await advancePeriod();
      liveness.isAnswering = true;
      await advancePeriod();
      expect(reservations.reservedAt.length).toEqual(1);
      expect(liveness.asked).toEqual(2);
      lease.close();
    } finally {
      mock.timers.reset();
    }
  });

  it('is not renewed when it was closed while the engine was asked', async () => {
    // Guards against a renewal for a stream that ended during the poll.
    mock.timers.enable({apis: ['setInterval']});
    try {
      const reservations = new FakeReservations();
      const lease = await openLease(reservations, new SilentEngine());
      mock.timers.tick(1200);
      lease.close();
      await new Promise(resolve => setImmediate(resolve));
      expect(reservations.reservedAt.length).toEqual(1);
      expect(reservations.held.size).toEqual(0);
    } finally {
      mock.timers.reset();
    }
  });

  it('expires soon after the engine went silent', async () => {
    // Guards against KV cache that stays reserved after the engine has lost
    // power.
    const goSilent: TargetScript = () => undefined;
    const base = buildConfig(1);
    const routes = base.routes.map(route => ({...route, timeoutMs: 30_000}));
    const world = await openGateWorld({config: {...base, routes}});
    try {
      for (const name of ['e0', 'e1', 'e2'])
        await world.addTarget(name, 'chat', goSilent);
      await world.waitUntil(
        () =>
          world.lines.filter(line => line.includes('"target_added"')).length ===
          3,
      );
      const call = world.call('/stream/x', {
        tokens: 330_000,
        deadlineMs: 30_000,
        leaveAfterMs: 3000,
      });
      const {reservedAt} = world.reservations;
      await world.waitUntil(() => reservedAt.length > 0);
      const [sentAt = 0] = reservedAt;
      await sleep(2600);
      const lastAt = Math.max(...reservedAt);
      const leaseMs = 3200;
      expect(lastAt - sentAt + leaseMs < 4000).toEqual(true);
      await call.catch(() => undefined);
    } finally {
      world.close();
    }
  });

  it('is released when another engine has its address', async () => {
    // Guards against an engine that is back at its address before its death is
    // noticed.
    let isReadNow = false;
    const script: TargetScript = (req, res) => {
      if (!isReadNow) return;
      res.writeHead(200, buildSignedHead(req));
      res.end(formatEvents(1, 6));
    };
    const base = buildConfig(1);
    const routes = base.routes.map(route => ({...route, timeoutMs: 30_000}));
    const world = await openGateWorld({config: {...base, routes}});
    try {
      const engines = await Promise.all(
        ['e0', 'e1', 'e2', 'e3'].map(id => world.addTarget(id, 'chat', script)),
      );
      for (const {id} of engines) world.reports.slowdowns.set(id, 1);
      await world.waitUntil(
        async () => (await world.readGauge('targets_known')) === 4,
      );
      const call = world.call('/stream/x', {
        tokens: 330_000,
        deadlineMs: 30_000,
      });
      await world.waitUntil(() =>
        engines.some(({received}) => received.length > 0),
      );
      isReadNow = true;
      const decoder = engines.find(({received}) => received.length > 0);
      const entry = decoder?.entry ?? engines[0].entry;
      world.store.publishTarget({...entry, id: 'reborn', name: 'reborn'});
      const answer = await call;
      expect(answer.body).toEqual(formatEvents(1, 6));
      // Not by a stall, which shows seconds later.
      expect(
        world.lines.some(line => line.includes('"engine_silent"')),
      ).toEqual(false);
      await world.waitUntil(() => world.reservations.held.size === 0);
    } finally {
      world.close();
    }
  });
});
