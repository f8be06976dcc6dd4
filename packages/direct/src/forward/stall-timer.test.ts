import {describe, it} from 'node:test';
import {expect} from 'earl';
import {countFirstLimitMs} from './stall-timer.js';

describe('limit of the first event', () => {
  it('sends a short stream elsewhere while it can still be on time', () => {
    // Its engine has died without a word.
    expect(countFirstLimitMs(80, 30, 300) < 1000).toEqual(true);
  });

  it('does not have a long prompt read twice because others delay it', () => {
    // A burst of schedules: parts for later prompts go ahead of this one on
    // its engines, and its first event comes seconds after the prediction.
    // Sent again it is late all the same, and the engines read it twice.
    const goalMs = 4000;
    expect(countFirstLimitMs(400, 1500, goalMs) > goalMs).toEqual(true);
    expect(countFirstLimitMs(400, 1500, goalMs) < 2 * goalMs).toEqual(true);
  });
});
