import {describe, it} from 'node:test';
import {expect} from 'earl';
import {startFakeClock} from '../test/fake-clock.js';
import {StartingFleet} from '../test/starting-fleet.js';
import type {StartResult} from '../test/starting-fleet.js';

const SEEDS = [1, 2, 3, 4];

/** Size of the fleet, and the streams that return within a second. */
const FLEET = {gates: 23, engines: 69, streams: 240};

/** Share of the short streams that begin within their objective. */
const JOINED_SHARE = 0.9;

/** The same while no gate hears of another one, and the engines used then. */
const CUT_OFF_SHARE = 0.5;
const CUT_OFF_ENGINES = (FLEET.engines * 3) / 4;

async function runReturn(
  seed: number,
  isCutOff: boolean,
): Promise<StartResult> {
  const clock = startFakeClock(1);
  try {
    return await new StartingFleet(clock, {...FLEET, seed, isCutOff}).run();
  } finally {
    clock.stop();
  }
}

describe('gates whose callers all return at once', () => {
  for (const seed of SEEDS)
    it(`begin nine of ten short streams in time although they have just started (seed ${seed})`, async () => {
      // Guards against gates that all place their first prompts on the same
      // engines, because they have not heard of each other.
      const result = await runReturn(seed, false);
      expect(result.inTimeShare).toBeGreaterThanOrEqual(JOINED_SHARE);
    });

  for (const seed of SEEDS)
    it(`use most engines while they are cut off from each other (seed ${seed})`, async () => {
      // Guards against gates that pack their streams on the same engines,
      // because they cannot hear of each other's.
      const result = await runReturn(seed, true);
      expect(result.engines).toBeGreaterThanOrEqual(CUT_OFF_ENGINES);
      expect(result.inTimeShare).toBeGreaterThanOrEqual(CUT_OFF_SHARE);
    });
});
