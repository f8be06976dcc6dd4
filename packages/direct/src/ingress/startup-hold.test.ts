import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {createFleetState} from '../fleet/fleet-state.js';
import {buildTarget} from '../test/build-target.js';
import {startFakeClock} from '../test/fake-clock.js';
import {buildConfig} from '../test/gate-harness.js';
import {StartupHold} from './startup-hold.js';
import type {FleetState} from '../fleet/fleet-state.js';
import type {FakeClock} from '../test/fake-clock.js';

/** Time in which requests wait for the first facts, in ms. */
const HOLD_MS = 500;

describe('startup hold', () => {
  let clock: FakeClock;
  let state: FleetState;
  let hold: StartupHold;
  let hasWaited: boolean;

  beforeEach(() => {
    clock = startFakeClock();
    state = createFleetState(() => clock.now);
    hold = new StartupHold(state, () => clock.now);
    hold.start();
    hasWaited = false;
  });

  afterEach(() => clock.stop());

  it('lets requests wait until the configuration and targets are known', async () => {
    // Guards against refusals by gates that need a few ms more, of callers that
    // all gates have cut off just before.
    expect(hold.isOver).toEqual(false);
    void hold.wait().then(() => (hasWaited = true));
    await clock.advance(50);
    expect(hasWaited).toEqual(false);
    state.applySnapshot({
      position: {era: 0, revision: 1},
      config: buildConfig(1),
      targets: [buildTarget('t', 1)],
      malformed: [],
    });
    await clock.advance(10);
    expect(hasWaited).toEqual(true);
    expect(hold.isOver).toEqual(true);
  });

  it('ends without facts after a while, also for later requests', async () => {
    // Guards against callers that wait although another gate could serve them.
    void hold.wait().then(() => (hasWaited = true));
    await clock.advance(HOLD_MS + 10);
    expect(hasWaited).toEqual(true);
    expect(hold.isOver).toEqual(true);
  });
});
