import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createTarget} from '../test/target.js';
import {estimateFinishMs} from './estimate.js';

const figures = {
  prefillTokensPerSecond: 100_000,
  decodeStepMs: 10,
  refusesLate: true,
};

describe('estimateFinishMs', () => {
  it('includes pending prompt tokens of the same length class', () => {
    // Guards against admitting a burst of requests that each fit the deadline
    // only on an idle target.
    const request = {promptTokens: 5000, maxTokens: 10};
    const busy = createTarget('e1', [500_000, 0, 0, 0]);
    expect(estimateFinishMs(busy, request, figures)).toEqual(5150);
  });

  it('ignores pending prompt tokens of longer length classes, which the engine prefills later', () => {
    const request = {promptTokens: 5000, maxTokens: 10};
    const targetWithLongPrompts = createTarget('e1', [0, 0, 0, 900_000]);
    expect(estimateFinishMs(targetWithLongPrompts, request, figures)).toEqual(
      150,
    );
  });
});
