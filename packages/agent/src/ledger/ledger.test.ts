import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {LEDGER_FULL, createLedger} from './ledger.js';

// A fixed seed makes the property tests reproducible.
fc.configureGlobal({seed: 20261202});

describe('at-most-once ledger', () => {
  it('returns the started entry when a claimed key is claimed again', () => {
    const ledger = createLedger();
    expect(ledger.claim('a:order-1', 'r1')).toEqual(undefined);
    const held = ledger.claim('a:order-1', 'r2');
    expect(typeof held === 'object' && held.state).toEqual('started');
  });

  it('returns the outcome of the first run when a settled key is claimed again', () => {
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

  it('grants a new claim on a key whose claim was released', () => {
    const ledger = createLedger();
    ledger.claim('k', 'r1');
    ledger.release('k');
    expect(ledger.claim('k', 'r2')).toEqual(undefined);
  });

  it('refuses a new key when full and keeps its settled entries', () => {
    // Guards against a full ledger that evicts an entry for a new key, so that
    // a retry of the evicted request runs twice.
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

  it('expires a key once its retention time has passed, and not before', () => {
    const ledger = createLedger({retainMs: 100});
    ledger.claim('k', 'r1', 0);
    expect(ledger.claim('k', 'r2', 99)).not.toEqual(undefined);
    expect(ledger.claim('k', 'r3', 100)).toEqual(undefined);
  });

  it('grants at most one claim per key in any sequence of claims and settlements (property)', () => {
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
