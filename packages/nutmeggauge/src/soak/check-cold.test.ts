import {describe, it} from 'node:test';
import {expect} from 'earl';
import {findColdOverloads} from './check-cold.js';
import {MAX_COLD_REQUESTS} from './cold-starts.js';
import {buildHistory} from './test-history.js';

describe('check of cold targets', () => {
  const findWith = (requests: number, faultyTarget?: number, endedAt = 4500) =>
    findColdOverloads(
      buildHistory({
        coldPeaks: [{target: 't4-7', at: 5000, requests}],
        faults:
          faultyTarget === undefined
            ? []
            : [
                {
                  action: {
                    kind: 'target-link',
                    target: faultyTarget,
                    mode: 'delay',
                  },
                  beganAt: 3000,
                  endedAt,
                },
              ],
      }),
    ).map(({promise}) => promise);

  it('finds a target that got more requests in one second than the bound', () => {
    expect(MAX_COLD_REQUESTS).toEqual(11);
    expect(findWith(11)).toEqual([]);
    expect(findWith(12)).toEqual(['cold-target']);
  });

  it('excuses a target whose link had held requests back, and no other', () => {
    expect(findWith(12, 4)).toEqual([]);
    expect(findWith(12, 5)).toEqual(['cold-target']);
    expect(findWith(12, 4, 3999)).toEqual(['cold-target']);
  });
});
