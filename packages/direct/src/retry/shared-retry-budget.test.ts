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
          createSharedRetryBudget({
            bounds: BOUNDS,
            countSharers: () => gates,
          }),
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
    const budget = createSharedRetryBudget({
      bounds: BOUNDS,
      countSharers: () => 5,
    });
    let granted = 0;
    while (budget.claimRetry('s', 0)) granted++;
    expect(granted).toEqual(15);
  });

  it('keeps the sum within the limit while gates restart', () => {
    // Guards against gates that forget with each restart what they have spent.
    const load = fc.record({
      gates: fc.integer({min: 1, max: 8}),
      steps: fc.array(
        fc.record({
          gate: fc.nat(7),
          waitMs: fc.nat(800),
          restarts: fc.constantFrom('none', 'none', 'one', 'all'),
        }),
        {maxLength: 60},
      ),
    });
    fc.assert(
      fc.property(load, ({gates, steps}) => {
        const restart = (restartedAt?: number) =>
          createSharedRetryBudget({
            bounds: BOUNDS,
            countSharers: () => gates,
            restartedAt,
          });
        const budgets = Array.from({length: gates}, () => restart());
        let now = 0;
        const retries: number[] = [];
        for (const {gate, waitMs, restarts} of steps) {
          now += waitMs;
          for (let i = 0; i < gates; i++) {
            const isRestarted = restarts === 'one' && i === gate % gates;
            if (isRestarted || restarts === 'all') budgets[i] = restart(now);
          }
          while (budgets[gate % gates].claimRetry('s', now)) retries.push(now);
          const since = now - BOUNDS.windowMs;
          const inWindow = retries.filter(time => time >= since).length;
          expect(inWindow <= BOUNDS.slack).toEqual(true);
        }
      }),
    );
  });

  it('spends only the ratio while the number of gates is unknown', () => {
    // Guards against gates that hear no other gate and each take the share of all.
    const budget = createSharedRetryBudget({
      bounds: BOUNDS,
      countSharers: () => Infinity,
    });
    expect(budget.claimRetry('s', 0)).toEqual(false);
    for (let i = 0; i < 10; i++) budget.recordRequest('s', 0);
    let granted = 0;
    while (budget.claimRetry('s', 0)) granted++;
    expect(granted).toEqual(2);
  });

  it('has its whole share again one window after a restart', () => {
    const budget = createSharedRetryBudget({
      bounds: BOUNDS,
      countSharers: () => 5,
      restartedAt: 0,
    });
    let granted = 0;
    while (budget.claimRetry('s', BOUNDS.windowMs)) granted++;
    expect(granted).toEqual(15);
  });
});
