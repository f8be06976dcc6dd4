import {Writable} from 'node:stream';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createDecisionLog} from '../observe/decision-log.js';
import {startFakeClock} from '../test/fake-clock.js';
import {buildConfig} from '../test/gate-harness.js';
import {createQuietTurns} from '../test/quiet-turns.js';
import {SilentStore} from '../test/silent-store.js';
import {createFleetState} from './fleet-state.js';
import {createStoreWatcher} from './store-watcher.js';
import type {FakeClock} from '../test/fake-clock.js';

/**
 * Time after the return of the store from which a gate must serve by what the
 * store has confirmed, in ms.
 */
const CONTACT_MS = 3000;

/** Step of the clock, in ms. */
const STEP_MS = 50;

/** Longest outage, in ms, and the step between two lengths. */
const MAX_OUTAGE_MS = 9000;
const OUTAGE_STEP_MS = 150;

/** Time before an outage, in ms; it begins at any point of a watch. */
const CALM_MS = 1000;

/**
 * Returns the time from the return of the store until a configuration that it
 * confirms at that moment is in force, in ms.
 */
async function measureDelay(
  clock: FakeClock,
  calmMs: number,
  outageMs: number,
): Promise<number> {
  const store = new SilentStore(buildConfig(1));
  const readNow = () => clock.now;
  const state = createFleetState(readNow);
  const output = new Writable({write: (_chunk, _encoding, done) => done()});
  const watcher = createStoreWatcher({
    store,
    state,
    turns: createQuietTurns(),
    log: createDecisionLog({proc: 'g', output, readWallMs: Date.now}),
    readNow,
    countGates: () => 5,
  });
  void watcher.run();
  await clock.advance(calmMs);
  store.setSilent(true);
  await clock.advance(outageMs);
  store.setSilent(false);
  store.publishConfig(buildConfig(2));
  const returnedAt = clock.now;
  while (state.config?.version !== 2) await clock.advance(STEP_MS);
  watcher.stop();
  return clock.now - returnedAt;
}

describe('gate whose store was silent and answers again', () => {
  it('has a configuration in force before it counts as in contact, after an outage of any length', async () => {
    // Guards against calls to a silent store that are waited for longer than the
    // time after which the gate must serve by what the store has confirmed.
    const clock = startFakeClock(STEP_MS);
    try {
      const late: Array<readonly [outageMs: number, delayMs: number]> = [];
      for (
        let outageMs = STEP_MS;
        outageMs <= MAX_OUTAGE_MS;
        outageMs += OUTAGE_STEP_MS
      ) {
        const calmMs = CALM_MS + (outageMs % 7) * STEP_MS;
        const delayMs = await measureDelay(clock, calmMs, outageMs);
        if (delayMs >= CONTACT_MS) late.push([outageMs, Math.round(delayMs)]);
      }
      expect(late).toEqual([]);
    } finally {
      clock.stop();
    }
  });
});
