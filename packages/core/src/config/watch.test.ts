import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createConfigWatcher} from './watch.js';
import {createCounters} from '../metrics.js';

// Fixed seed, so that every run checks the same cases.
fc.configureGlobal({seed: 20261202});

const buildRecord = (version: number, schemaVersion = 1) => ({
  version,
  schemaVersion,
  accounts: [],
  pools: [],
  rules: [],
});

describe('configuration watcher', () => {
  it('ignores a record that is older than the current one', () => {
    // Guards against a configuration that reverts when a stale replica of the
    // service returns an older record.
    const watcher = createConfigWatcher({
      url: 'http://127.0.0.1:1',
      counters: createCounters(),
    });
    expect(watcher.offer(buildRecord(2))).toEqual(true);
    expect(watcher.offer(buildRecord(1))).toEqual(false);
    expect(watcher.current?.version).toEqual(2);
  });

  it('keeps the current record when it is offered a record of an unsupported schema version', () => {
    const counters = createCounters();
    const watcher = createConfigWatcher({url: 'http://127.0.0.1:1', counters});
    watcher.offer(buildRecord(3));
    expect(watcher.offer(buildRecord(4, 99))).toEqual(false);
    expect(watcher.current?.version).toEqual(3);
    expect(counters.read()['config.rejected']).toEqual(1);
  });

  it('never lowers its version and ends at the highest one, for any order of offered records (property)', () => {
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
            watcher.offer(buildRecord(version));
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
