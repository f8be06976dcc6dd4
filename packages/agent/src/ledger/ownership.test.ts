import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {findHome} from '@nutmeggauge/core';
import {createKeyOwnership} from './ownership.js';

// A fixed seed makes the property tests reproducible.
fc.configureGlobal({seed: 20261202});

const RETAIN_MS = 100_000;
const CONFIG_PROPAGATION_MS = 8000;
const TARGET_IDS = ['plain-1', 'plain-2', 'plain-3'];

const createOwnership = (bornAt: number) =>
  createKeyOwnership({
    targetId: 'plain-1',
    bornAt,
    retainMs: RETAIN_MS,
    configPropagationMs: CONFIG_PROPAGATION_MS,
  });

/** Finds a key whose home among `ids` is plain-1. */
const findKey = (ids: readonly string[]) =>
  Array.from({length: 1000}, (_, i) => `key-${i}`).find(
    key => findHome(ids, key) === 'plain-1',
  ) as string;

describe('key ownership', () => {
  it('reports a key as forgotten while its former, removed home may have run it', () => {
    // Guards against a second run of a request whose retry reaches the new
    // home of its key, where the ledger has no entry of the first run.
    const ownership = createOwnership(-Infinity);
    ownership.applyTargets('orders', TARGET_IDS, 1000);
    const movedKey = Array.from({length: 1000}, (_, i) => `key-${i}`).find(
      key =>
        findHome(TARGET_IDS, key) !== 'plain-1' &&
        findHome(['plain-1', 'plain-3'], key) === 'plain-1',
    ) as string;
    ownership.applyTargets('orders', ['plain-1', 'plain-3'], 50_000);
    expect(ownership.checkKey('orders', movedKey, 49_000, 51_000)).toEqual(
      'forgotten',
    );
    expect(ownership.checkKey('orders', movedKey, 70_000, 71_000)).toEqual(
      'owned',
    );
  });

  it('owns a key after a target joins the pool only if the home of the key stays the same', () => {
    const ownership = createOwnership(-Infinity);
    const key = findKey(TARGET_IDS);
    ownership.applyTargets('orders', TARGET_IDS, 1000);
    ownership.applyTargets('orders', [...TARGET_IDS, 'plain-4'], 50_000);
    const verdict = ownership.checkKey('orders', key, 49_000, 51_000);
    const isStillHome = findHome([...TARGET_IDS, 'plain-4'], key) === 'plain-1';
    expect(verdict).toEqual(isStillHome ? 'owned' : 'not-home');
  });

  it('reports a key without a mint time as forgotten until the retention time after a restart has passed', () => {
    const ownership = createOwnership(10_000);
    expect(ownership.checkKey('orders', 'order-17', undefined, 20_000)).toEqual(
      'forgotten',
    );
    expect(
      ownership.checkKey('orders', 'order-17', undefined, 10_000 + RETAIN_MS),
    ).toEqual('owned');
  });

  it('never owns a key that an earlier process or another home could have run (property)', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 0, max: 50_000}),
        fc.array(
          fc.record({
            gapMs: fc.integer({min: 0, max: 40_000}),
            ids: fc.subarray(TARGET_IDS, {minLength: 1}),
          }),
          {minLength: 1, maxLength: 6},
        ),
        fc.nat({max: 300_000}),
        fc.nat({max: 150_000}),
        fc.nat({max: 50}),
        (bornAt, changes, mintedAt, ageMs, keyIndex) => {
          const key = `key-${keyIndex}`;
          const ownership = createOwnership(bornAt);
          const homeHistory: Array<{from: number; home: string | undefined}> =
            [];
          let at = bornAt;
          for (const {gapMs, ids} of changes) {
            at += gapMs;
            ownership.applyTargets('orders', ids, at);
            homeHistory.push({from: at, home: findHome(ids, key)});
          }
          const now = Math.max(at, mintedAt) + ageMs;
          if (ownership.checkKey('orders', key, mintedAt, now) !== 'owned')
            return;
          expect(mintedAt).toBeGreaterThanOrEqual(bornAt);
          homeHistory.forEach(({home}, i) => {
            const until =
              (homeHistory[i + 1]?.from ?? Infinity) + CONFIG_PROPAGATION_MS;
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
