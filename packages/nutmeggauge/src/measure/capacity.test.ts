import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {writeCapacity} from './capacity.js';
import {fitSlope} from './fit.js';

describe('writeCapacity', () => {
  it('writes a slope whose measured values are all equal', () => {
    // Equal values have no variance, so that the R² of their fit is NaN. JSON
    // would store NaN as null, which cannot be formatted as a number.
    const constant = fitSlope('agent.x', 'calls', 'bytes/s', [
      [1, 155],
      [2, 155],
    ]);
    expect(constant.rSquared).toEqual(1);
    const dir = mkdtempSync(join(tmpdir(), 'ng-capacity-'));
    const measurement = {
      measuredAt: '2026-12-02T00:00:00Z',
      slopes: [constant],
      leaving: {drainMs: 1, freezeMs: 2, killMs: 3},
    };
    writeFileSync(join(dir, 'measured.json'), JSON.stringify(measurement));
    expect(writeCapacity(dir)).toInclude('| agent.x | calls | 0.000 | 155.0 |');
  });
});
