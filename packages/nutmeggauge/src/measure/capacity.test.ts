import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {writeCapacity} from './capacity.js';
import {fitSlope} from './fit.js';

describe('capacity figures', () => {
  it('are written when a figure does not vary', () => {
    // Guards against a constant figure, whose fit has no R².
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
