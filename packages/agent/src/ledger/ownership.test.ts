import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {findHome} from '@nutmeggauge/core';
import {createKeyOwnership} from './ownership.js';

// One seed, so that the suite gives the same verdict every time.
fc.configureGlobal({seed: 20261202});

const RETAIN_MS = 100_000;
const SETTLE_MS = 8000;
const IDS = ['plain-1', 'plain-2', 'plain-3'];

const create = (bornAt: number) =>
  createKeyOwnership({
    targetId: 'plain-1',
    bornAt,
    retainMs: RETAIN_MS,
    settleMs: SETTLE_MS,
  });

/** A key whose home is plain-1 among `ids`. */
const findKey = (ids: readonly string[]) =>
  Array.from({length: 1000}, (_, i) => `key-${i}`).find(
    key => findHome(ids, key) === 'plain-1',
  ) as string;

describe('key ownership', () => {
  it('forgets a key that a removed target may have run', () => {
    // Guards against a retry that meets the ledger of a new home.
    const ownership = create(-Infinity);
    ownership.applyTargets('orders', IDS, 1000);
    const moved = Array.from({length: 1000}, (_, i) => `key-${i}`).find(
      key =>
        findHome(IDS, key) !== 'plain-1' &&
        findHome(['plain-1', 'plain-3'], key) === 'plain-1',
    ) as string;
    ownership.applyTargets('orders', ['plain-1', 'plain-3'], 50_000);
    expect(ownership.checkKey('orders', moved, 49_000, 51_000)).toEqual(
      'forgotten',
    );
    expect(ownership.checkKey('orders', moved, 70_000, 71_000)).toEqual(
      'owned',
    );
  });

  it('keeps a key whose home did not change when the pool did', () => {
    const ownership = create(-Infinity);
    const key = findKey(IDS);
    ownership.applyTargets('orders', IDS, 1000);
    ownership.applyTargets('orders', [...IDS, 'plain-4'], 50_000);
    const verdict = ownership.checkKey('orders', key, 49_000, 51_000);
    const stays = findHome([...IDS, 'plain-4'], key) === 'plain-1';
    expect(verdict).toEqual(stays ? 'owned' : 'not-home');
  });

  it('holds a key without an age back for the retention window after a restart', () => {
    const ownership = create(10_000);
    expect(ownership.checkKey('orders', 'order-17', undefined, 20_000)).toEqual(
      'forgotten',
    );
    expect(
      ownership.checkKey('orders', 'order-17', undefined, 10_000 + RETAIN_MS),
    ).toEqual('owned');
  });

  it('never owns a key that an earlier life or home could have run (property)', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 0, max: 50_000}),
        fc.array(
          fc.record({
            gapMs: fc.integer({min: 0, max: 40_000}),
            ids: fc.subarray(IDS, {minLength: 1}),
          }),
          {minLength: 1, maxLength: 6},
        ),
        fc.nat({max: 300_000}),
        fc.nat({max: 150_000}),
        fc.nat({max: 50}),
        (bornAt, changes, mintedAt, ageMs, keyIndex) => {
          const key = `key-${keyIndex}`;
          const ownership = create(bornAt);
          const homes: Array<{from: number; home: string | undefined}> = [];
          let at = bornAt;
          for (const {gapMs, ids} of changes) {
            at += gapMs;
            ownership.applyTargets('orders', ids, at);
            homes.push({from: at, home: findHome(ids, key)});
          }
          const now = Math.max(at, mintedAt) + ageMs;
          if (ownership.checkKey('orders', key, mintedAt, now) !== 'owned')
            return;
          expect(mintedAt).toBeGreaterThanOrEqual(bornAt);
          homes.forEach(({home}, i) => {
            const until = (homes[i + 1]?.from ?? Infinity) + SETTLE_MS;
            if (
              until !== Infinity &&
              mintedAt < until &&
              until > now - RETAIN_MS
            )
              expect(home).toEqual('plain-1');
          });
        },
      ),
    );
  });
});
