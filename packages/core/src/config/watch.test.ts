import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createConfigWatcher} from './watch.js';
import {createCounters} from '../metrics.js';

// One seed, so that the suite gives the same verdict every time.
fc.configureGlobal({seed: 20261202});

const recordOf = (version: number, schemaVersion = 1) => ({
  version,
  schemaVersion,
  accounts: [],
  pools: [],
  rules: [],
});

describe('configuration watcher', () => {
  it('ignores a stale record served after a newer one, so configuration never reverts', () => {
    // Guards against a lagging replica that reverts the configuration.
    const watcher = createConfigWatcher({
      url: 'http://127.0.0.1:1',
      counters: createCounters(),
    });
    expect(watcher.offer(recordOf(2))).toEqual(true);
    expect(watcher.offer(recordOf(1))).toEqual(false);
    expect(watcher.current?.version).toEqual(2);
  });

  it('keeps the last good record when a record of an unknown schema version arrives', () => {
    const counters = createCounters();
    const watcher = createConfigWatcher({url: 'http://127.0.0.1:1', counters});
    watcher.offer(recordOf(3));
    expect(watcher.offer(recordOf(4, 99))).toEqual(false);
    expect(watcher.current?.version).toEqual(3);
    expect(counters.read()['config.rejected']).toEqual(1);
  });

  it('only ever moves forward over any order of offers (property)', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1, max: 50}), {maxLength: 80}),
        versions => {
          const watcher = createConfigWatcher({
            url: 'http://127.0.0.1:1',
            counters: createCounters(),
          });
          let seen = 0;
          for (const version of versions) {
            watcher.offer(recordOf(version));
            const current = watcher.current?.version ?? 0;
            expect(current).toBeGreaterThanOrEqual(seen);
            seen = current;
          }
          expect(seen).toEqual(Math.max(0, ...versions));
        },
      ),
    );
  });
});
