import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createTarget} from '../test/target.js';
import {estimateFinishMs} from './estimate.js';

const figures = {
  prefillTokensPerSecond: 100_000,
  decodeStepMs: 10,
  refusesLate: true,
};

describe('admission estimate', () => {
  it('counts the short prompts that stand before a short one', () => {
    // Guards against admitting a rush of requests by their own prompts alone.
    const request = {promptTokens: 5000, maxTokens: 10};
    const busy = createTarget('e1', [500_000, 0, 0, 0]);
    expect(estimateFinishMs(busy, request, figures)).toEqual(5150);
  });

  it('leaves out the long prompts that a short one is read before', () => {
    const request = {promptTokens: 5000, maxTokens: 10};
    const beside = createTarget('e1', [0, 0, 0, 900_000]);
    expect(estimateFinishMs(beside, request, figures)).toEqual(150);
  });
});
