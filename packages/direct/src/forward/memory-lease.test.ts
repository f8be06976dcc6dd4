import {describe, it, mock} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {MemoryReservations} from '../ports.js';
import {buildTarget} from '../test/build-target.js';
import {buildConfig, openGateWorld} from '../test/gate-world.js';
import {openMemoryLease} from './memory-lease.js';
import type {ReservationOutcome} from '../ports.js';
import type {TargetScript} from '../test/fake-target.js';

/** Grants at once, but for renewals, which wait until the test lets them go. */
class SlowRenewals extends MemoryReservations {
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

async function openLease(reservations: MemoryReservations) {
  const target = buildTarget('e1', 1);
  const lease = await openMemoryLease(reservations, 'r', [
    {target, tokens: 9000},
  ]);
  if (lease === undefined) throw new Error('not granted');
  return lease;
}

describe('a lease on memory', () => {
  it('is given back behind a renewal that was under way', async () => {
    // A stream ends while its lease is being renewed. The renewal overtakes
    // nothing, it arrives behind the release and sets the memory aside again
    // for three seconds, in which no prompt that needs it is taken.
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

  it('runs out soon after the engine that reads the prompt went silent', async () => {
    // The first engine loses power: no reset, no answer. Its gate takes the
    // silence for reading, waits twice the prediction, 11 s, and renews what
    // the prompt holds on helpers all the while. Memory that is set aside for
    // more than 4 s after its request has ended counts as leaked.
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
});
