import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {LEDGER_FULL, createLedger} from './ledger.js';

// One seed, so that the suite gives the same verdict every time.
fc.configureGlobal({seed: 20261202});

describe('at-most-once ledger', () => {
  it('holds a key once claimed, so a copy is not run', () => {
    const ledger = createLedger();
    expect(ledger.claim('a:order-1', 'r1')).toEqual(undefined);
    const held = ledger.claim('a:order-1', 'r2');
    expect(typeof held === 'object' && held.state).toEqual('started');
  });

  it('answers a copy with the outcome of the first run once settled', () => {
    const ledger = createLedger();
    ledger.claim('a:order-1', 'r1');
    ledger.settle('a:order-1', {
      status: 'done',
      chunks: 0,
      tokens: 0,
      cachedTokens: 0,
      body: {slip: 4},
    });
    const held = ledger.claim('a:order-1', 'r2');
    expect(
      typeof held === 'object' &&
        held.state === 'settled' &&
        held.outcome.status,
    ).toEqual('done');
  });

  it('lets a copy run only after a provable not-run', () => {
    const ledger = createLedger();
    ledger.claim('k', 'r1');
    ledger.release('k');
    expect(ledger.claim('k', 'r2')).toEqual(undefined);
  });

  it('refuses a new key when full rather than forget a settled one', () => {
    // Guards against a ledger that drops an entry to make room, after which a
    // retry runs twice.
    const ledger = createLedger({maxEntries: 2});
    ledger.claim('renewal', 'r1', 0);
    ledger.settle('renewal', {
      status: 'done',
      chunks: 0,
      tokens: 0,
      cachedTokens: 0,
    });
    ledger.claim('other', 'r2', 1);
    expect(ledger.claim('third', 'r3', 2)).toEqual(LEDGER_FULL);
    expect(ledger.claim('renewal', 'r4', 3)).not.toEqual(undefined);
  });

  it('forgets a key only after its retention', () => {
    const ledger = createLedger({retainMs: 100});
    ledger.claim('k', 'r1', 0);
    expect(ledger.claim('k', 'r2', 99)).not.toEqual(undefined);
    expect(ledger.claim('k', 'r3', 100)).toEqual(undefined);
  });

  it('never grants two claims on one key while the first is held (property)', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.tuple(
            fc.constantFrom('k1', 'k2', 'k3'),
            fc.constantFrom('claim', 'settle'),
          ),
          {maxLength: 60},
        ),
        steps => {
          const ledger = createLedger({maxEntries: 2});
          const granted = new Map<string, number>();
          steps.forEach(([key, action], i) => {
            if (action === 'settle') {
              ledger.settle(key, {status: 'unknown', reason: 'test'});
              return;
            }
            if (ledger.claim(key, `r${i}`, i) === undefined)
              granted.set(key, (granted.get(key) ?? 0) + 1);
          });
          for (const count of granted.values()) expect(count).toEqual(1);
        },
      ),
    );
  });
});
