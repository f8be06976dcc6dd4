import {describe, it, mock} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {KvReservations} from '../ports.js';
import {buildTarget} from '../test/build-target.js';
import {buildSignedHead, formatEvents} from '../test/fake-target.js';
import {FakeReservations} from '../test/fake-reservations.js';
import {buildConfig, openGateHarness} from '../test/gate-harness.js';
import {openKvLease} from './kv-lease.js';
import type {ReservationOutcome} from '../ports.js';
import type {TargetScript} from '../test/fake-target.js';
import type {LivenessCheck} from './kv-lease.js';

/**
 * Grants the first reservation at once, and renewals when the test resolves
 * them.
 */
class PendingRenewals extends KvReservations {
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

/** Engine that is sending bytes continuously. */
const ACTIVE_ENGINE: LivenessCheck = {
  isActive: () => true,
  ask: () => Promise.resolve(true),
};

/** Engine that sends no bytes and replies to polls if `isAnswering` is set. */
class UnresponsiveEngine implements LivenessCheck {
  isAnswering = true;
  pollCount = 0;

  isActive(): boolean {
    return false;
  }

  ask(): Promise<boolean> {
    this.pollCount++;
    return Promise.resolve(this.isAnswering);
  }
}

/** Advances the mocked timers by one renewal interval. */
async function advancePeriod(): Promise<void> {
  mock.timers.tick(1200);
  await new Promise(resolve => setImmediate(resolve));
}

async function openLease(
  reservations: KvReservations,
  liveness: LivenessCheck = ACTIVE_ENGINE,
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
  it('is released again after a renewal that was pending when the lease was closed', async () => {
    // Guards against a reservation that is renewed after its release.
    mock.timers.enable({apis: ['setInterval']});
    try {
      const reservations = new PendingRenewals();
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

  it('is released once if no renewal is pending', async () => {
    const reservations = new PendingRenewals();
    const lease = await openLease(reservations);
    lease.close();
    await new Promise(resolve => setImmediate(resolve));
    expect(reservations.orders).toEqual(['reserve', 'release']);
  });

  it('is renewed while the engine replies to polls, even if one poll gets no reply', async () => {
    // Guards against a lease that expires while a long prompt is prefilled.
    mock.timers.enable({apis: ['setInterval']});
    try {
      const reservations = new FakeReservations();
      const liveness = new UnresponsiveEngine();
      const lease = await openLease(reservations, liveness);
      await advancePeriod();
      liveness.isAnswering = false;
      await advancePeriod();
      liveness.isAnswering = true;
      await advancePeriod();
      await advancePeriod();
      // One reservation and three renewals: one of four polls gets no reply.
      expect(reservations.reservedAt.length).toEqual(4);
      lease.close();
    } finally {
      mock.timers.reset();
    }
  });

  it('is not renewed after two consecutive polls without a reply, even if the engine recovers', async () => {
    // Guards against renewals for an engine that restarted and lost the prompt.
    mock.timers.enable({apis: ['setInterval']});
    try {
      const reservations = new FakeReservations();
      const liveness = new UnresponsiveEngine();
      const lease = await openLease(reservations, liveness);
      liveness.isAnswering = false;
      await advancePeriod();
      await advancePeriod();
      liveness.isAnswering = true;
      await advancePeriod();
      expect(reservations.reservedAt.length).toEqual(1);
      expect(liveness.pollCount).toEqual(2);
      lease.close();
    } finally {
      mock.timers.reset();
    }
  });

  it('is not renewed if it is closed while the engine is being polled', async () => {
    // Guards against a renewal for a stream that ended during the poll.
    mock.timers.enable({apis: ['setInterval']});
    try {
      const reservations = new FakeReservations();
      const lease = await openLease(reservations, new UnresponsiveEngine());
      mock.timers.tick(1200);
      lease.close();
      await new Promise(resolve => setImmediate(resolve));
      expect(reservations.reservedAt.length).toEqual(1);
      expect(reservations.held.size).toEqual(0);
    } finally {
      mock.timers.reset();
    }
  });

  it('expires within four seconds after the engine has stopped responding', async () => {
    // Guards against KV cache that stays reserved after the engine has lost
    // power, which resets no connection.
    const hang: TargetScript = () => undefined;
    const base = buildConfig(1);
    const routes = base.routes.map(route => ({...route, timeoutMs: 30_000}));
    const harness = await openGateHarness({config: {...base, routes}});
    try {
      for (const name of ['e0', 'e1', 'e2'])
        await harness.addTarget(name, 'chat', hang);
      await harness.waitUntil(
        () =>
          harness.lines.filter(line => line.includes('"target_added"'))
            .length === 3,
      );
      const call = harness.call('/stream/x', {
        tokens: 330_000,
        deadlineMs: 30_000,
        disconnectAfterMs: 3000,
      });
      const {reservedAt} = harness.reservations;
      await harness.waitUntil(() => reservedAt.length > 0);
      const [sentAt = 0] = reservedAt;
      await sleep(2600);
      const lastAt = Math.max(...reservedAt);
      const leaseMs = 3200;
      expect(lastAt - sentAt + leaseMs < 4000).toEqual(true);
      await call.catch(() => undefined);
    } finally {
      harness.close();
    }
  });

  it('is released when a new engine takes over the address of the decoding engine', async () => {
    // Guards against a stream that waits for an engine that has been replaced
    // at its address before its failure is detected.
    let isResponding = false;
    const script: TargetScript = (req, res) => {
      if (!isResponding) return;
      res.writeHead(200, buildSignedHead(req));
      res.end(formatEvents(1, 6));
    };
    const base = buildConfig(1);
    const routes = base.routes.map(route => ({...route, timeoutMs: 30_000}));
    const harness = await openGateHarness({config: {...base, routes}});
    try {
      const engines = await Promise.all(
        ['e0', 'e1', 'e2', 'e3'].map(id =>
          harness.addTarget(id, 'chat', script),
        ),
      );
      for (const {id} of engines) harness.reports.slowdowns.set(id, 1);
      await harness.waitUntil(
        async () => (await harness.readGauge('targets_known')) === 4,
      );
      const call = harness.call('/stream/x', {
        tokens: 330_000,
        deadlineMs: 30_000,
      });
      await harness.waitUntil(() =>
        engines.some(({received}) => received.length > 0),
      );
      isResponding = true;
      const decoder = engines.find(({received}) => received.length > 0);
      const entry = decoder?.entry ?? engines[0].entry;
      harness.store.publishTarget({...entry, id: 'reborn', name: 'reborn'});
      const answer = await call;
      expect(answer.body).toEqual(formatEvents(1, 6));
      // Stall detection would take seconds longer.
      expect(
        harness.lines.some(line => line.includes('"engine_silent"')),
      ).toEqual(false);
      await harness.waitUntil(() => harness.reservations.held.size === 0);
    } finally {
      harness.close();
    }
  });
});
