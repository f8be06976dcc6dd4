import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createCounters} from '../metrics.js';
import {ConfigDeltaSchema, applyDelta, buildDelta} from './delta.js';
import {createConfigWatcher} from './watch.js';

// Fixed seed, so that every run checks the same cases.
fc.configureGlobal({seed: 20261202});

const items = fc.uniqueArray(
  fc.record(
    {id: fc.constantFrom('a', 'b', 'c', 'd'), limit: fc.nat({max: 3})},
    {noNullPrototype: true},
  ),
  {selector: item => item.id},
);
const record = (version: number) =>
  fc.record({
    version: fc.constant(version),
    schemaVersion: fc.constant(1),
    accounts: items,
    pools: items,
    rules: fc.array(
      fc.record({pool: fc.constantFrom('x', 'y')}, {noNullPrototype: true}),
      {
        maxLength: 2,
      },
    ),
  });

const listById = (list: ReadonlyArray<{readonly id: string}>) =>
  [...list].sort((a, b) => a.id.localeCompare(b.id));

describe('configuration delta', () => {
  it('turns any record into any other one when applied to its base (property)', () => {
    fc.assert(
      fc.property(record(1), record(2), (from, to) => {
        const delta = ConfigDeltaSchema.parse(buildDelta(from, to));
        const next = applyDelta(from, delta) as typeof to;
        expect({
          ...next,
          accounts: listById(next.accounts),
          pools: listById(next.pools),
        }).toEqual({
          ...to,
          accounts: listById(to.accounts),
          pools: listById(to.pools),
        });
      }),
    );
  });

  it('is rejected by a watcher that holds a version other than its base', () => {
    // Guards against applying a delta to the wrong version of a record.
    const watcher = createConfigWatcher({
      url: 'http://127.0.0.1:1',
      counters: createCounters(),
    });
    const empty = {schemaVersion: 1, accounts: [], pools: [], rules: []};
    watcher.offer({...empty, version: 1});
    expect(watcher.offer({base: 2, version: 3, schemaVersion: 1})).toEqual(
      false,
    );
    expect(watcher.version).toEqual(1);
  });
});
