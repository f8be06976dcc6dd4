import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createSharedRetryBudget} from './shared-retry-budget.js';

const BOUNDS = {ratio: 0.2, slack: 104, windowMs: 10_000};

describe('SharedRetryBudget', () => {
  it('keeps the sum of the retries of all gates within the limit in any window', () => {
    // Guards against gates whose combined retries double the load of a failing
    // service.
    const load = fc.record({
      gates: fc.integer({min: 1, max: 12}),
      steps: fc.array(fc.record({gate: fc.nat(11), waitMs: fc.nat(300)}), {
        maxLength: 400,
      }),
    });
    fc.assert(
      fc.property(load, ({gates, steps}) => {
        const budgets = Array.from({length: gates}, () =>
          createSharedRetryBudget(BOUNDS, () => gates),
        );
        let now = 0;
        const requests: number[] = [];
        const retries: number[] = [];
        for (const {gate, waitMs} of steps) {
          now += waitMs;
          const budget = budgets[gate % gates];
          budget.recordRequest('s', now);
          requests.push(now);
          for (let i = 0; i < 3; i++)
            if (budget.claimRetry('s', now)) retries.push(now);
          const since = now - BOUNDS.windowMs;
          const inWindow = (times: number[]) =>
            times.filter(time => time >= since).length;
          const allowed = BOUNDS.ratio * inWindow(requests) + BOUNDS.slack;
          expect(inWindow(retries) <= allowed).toEqual(true);
        }
      }),
    );
  });

  it('grants an idle gate 15 retries, enough for the failure of a target', () => {
    const budget = createSharedRetryBudget(BOUNDS, () => 5);
    let granted = 0;
    while (budget.claimRetry('s', 0)) granted++;
    expect(granted).toEqual(15);
  });
});
