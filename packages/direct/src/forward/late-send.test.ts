import {describe, it} from 'node:test';
import {expect} from 'earl';
import {startFakeClock} from '../test/fake-clock.js';
import {openGateHarness} from '../test/gate-harness.js';
import {ImpatientCallers} from '../test/impatient-callers.js';
import type {FakeClock} from '../test/fake-clock.js';
import type {FakeTarget} from '../test/fake-target.js';
import type {GateHarness} from '../test/gate-harness.js';

/** Number of callers. */
const CALLER_COUNT = 30;

/**
 * Time for which the event loop stands still after a request is placed, in ms;
 * below the time after which the connection is given up.
 */
const HELD_MS = 200;

/** Time after which nothing is left to do, in ms. */
const SETTLE_MS = 1500;

/** Time for which a caller waits that outlasts the hold, in ms. */
const DEADLINE_MS = 2000;

const PATHS = ['/safe/x', '/unsafe/x', '/stream/x'];

interface Bed {
  readonly clock: FakeClock;
  readonly harness: GateHarness;
  readonly callers: ImpatientCallers;
  readonly targets: readonly FakeTarget[];
}

async function runBed(test: (bed: Bed) => Promise<void>): Promise<void> {
  const harness = await openGateHarness();
  const clock = startFakeClock();
  const callers = new ImpatientCallers(clock, harness);
  try {
    const targets = [
      await harness.addTarget('engine', 'chat', () => undefined),
      await harness.addTarget('plain', 'orders', () => undefined),
    ];
    await clock.advanceUntil(() => harness.gate['state'].targetCount === 2);
    await test({clock, harness, callers, targets});
  } finally {
    callers.close();
    clock.stop();
    harness.close();
  }
}

function connectAll(callers: ImpatientCallers): void {
  for (let i = 0; i < CALLER_COUNT; i++)
    callers.connect({
      id: `q${i}`,
      path: PATHS[i % PATHS.length],
      tokens: 1000,
    });
}

function listReceived(targets: readonly FakeTarget[]): readonly string[] {
  return targets.flatMap(({received}) => received);
}

describe('gate whose event loop is held while it connects to a target', () => {
  it('sends no request whose caller has left meanwhile', () =>
    // Guards against a caller that is looked at only before the connection.
    runBed(async ({clock, callers, targets}) => {
      callers.holdAfterSend(HELD_MS);
      callers.leaveAt(clock.now + HELD_MS);
      connectAll(callers);
      await callers.advance(SETTLE_MS);
      expect(callers.sends.length > 0).toEqual(true);
      expect(listReceived(targets)).toEqual([]);
    }));

  for (const path of PATHS)
    it(`sends no request to ${path} whose deadline has passed meanwhile`, () =>
      // Guards against a deadline that is looked at only before the connection.
      runBed(async ({callers, targets}) => {
        callers.holdAfterSend(HELD_MS);
        callers.connect({id: 'q', path, tokens: 1000, deadlineMs: HELD_MS});
        await callers.advance(SETTLE_MS);
        expect(callers.sends.length > 0).toEqual(true);
        expect(listReceived(targets)).toEqual([]);
      }));

  it('sends the requests of callers that still wait', () =>
    runBed(async ({callers, targets}) => {
      callers.holdAfterSend(HELD_MS);
      connectAll(callers);
      await callers.advance(SETTLE_MS);
      expect(new Set(listReceived(targets)).size).toEqual(CALLER_COUNT);
    }));

  for (const path of PATHS)
    it(`tells the target of ${path} the time that is left when it is sent`, () =>
      // Guards against a target that works on after the caller's deadline.
      runBed(async ({callers, targets}) => {
        callers.holdAfterSend(HELD_MS);
        callers.connect({id: 'q', path, tokens: 1000, deadlineMs: DEADLINE_MS});
        await callers.advance(SETTLE_MS);
        const [leftMs] = targets
          .flatMap(target => target.heads)
          .map(head => Math.floor(Number(head['x-test-left'])));
        expect(leftMs <= DEADLINE_MS - HELD_MS).toEqual(true);
      }));
});
