import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ColdBurst} from '../test/cold-burst.js';
import {startFakeClock} from '../test/fake-clock.js';
import type {ColdBurstOptions, ColdBurstResult} from '../test/cold-burst.js';

/** Share of the streams that begin in time if all gates hear each other. */
const IN_TIME_SHARE = 0.96;

async function runBurst(options: ColdBurstOptions): Promise<ColdBurstResult> {
  const clock = startFakeClock(2);
  try {
    return await new ColdBurst(clock, options).run();
  } finally {
    clock.stop();
  }
}

describe('zone of engines that returns cold at the moment of a burst', () => {
  for (const blindGates of [0, 5, 27])
    for (const seed of [1, 2])
      it(`delays fewer streams with a slow start (${blindGates} gates blind, seed ${seed})`, async () => {
        // Guards against engines that look empty and as fast as any to all gates at
        // once. Load: 27 gates, 36 warm engines with 6 streams each, 18 cold ones
        // that are four times slower, 119 short streams a second for 4 s.
        const options = {seed, blindGates};
        const without = await runBurst({...options, hasSlowStart: false});
        const result = await runBurst({...options, hasSlowStart: true});
        expect(result.unserved).toEqual(0);
        expect(result.inTime).toBeGreaterThan(without.inTime);
        if (blindGates > 0) return;
        const share = result.inTime / result.streams;
        expect(share).toBeGreaterThanOrEqual(IN_TIME_SHARE);
      });
});
