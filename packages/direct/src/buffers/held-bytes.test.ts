import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {OversizedAnswerError} from '../errors.js';
import {ByteBudget} from './byte-budget.js';
import {HeldBytes} from './held-bytes.js';

const MAX_BYTES = 100_000;

describe('held bytes', () => {
  it('are the parts in order, within their bound and the budget', () => {
    // Guards against parts that are lost, mixed up or held without being counted.
    const sizes = fc.array(fc.nat(30_000), {maxLength: 12});
    fc.assert(
      fc.property(sizes, fc.nat(120_000), (lengths, limitBytes) => {
        const budget = new ByteBudget(limitBytes);
        const held = new HeldBytes({budget, maxBytes: MAX_BYTES});
        const accepted: Buffer[] = [];
        for (const [i, length] of lengths.entries()) {
          const part = Buffer.alloc(length, i + 1);
          if (held.offer(part) === undefined) accepted.push(part);
          expect(held.length <= MAX_BYTES).toEqual(true);
          expect(budget.claimedBytes <= limitBytes).toEqual(true);
        }
        const whole = Buffer.concat(accepted);
        expect(held.bytes.equals(whole)).toEqual(true);
        expect(held.removeAll().equals(whole)).toEqual(true);
        expect(budget.claimedBytes).toEqual(0);
        expect(held.length).toEqual(0);
      }),
    );
  });

  it('count towards the budget by what they take, however small the parts are', () => {
    // Guards against one-byte parts, which take a hundred times their size.
    const budget = new ByteBudget(MAX_BYTES);
    const held = new HeldBytes({budget, maxBytes: MAX_BYTES});
    const part = Buffer.from('a');
    for (let i = 0; i < MAX_BYTES; i++)
      expect(held.offer(part)).toEqual(undefined);
    expect(held.offer(part)).toEqual('bound');
    expect(budget.claimedBytes <= MAX_BYTES).toEqual(true);
  });

  it('of a small answer fit while large ones fill the budget', () => {
    // Guards against small answers that fail because of another target.
    const budget = new ByteBudget(50_000);
    const large = new HeldBytes({budget, maxBytes: MAX_BYTES});
    while (large.offer(Buffer.alloc(5000)) === undefined);
    const small = new HeldBytes({budget, maxBytes: MAX_BYTES});
    expect(small.offer(Buffer.alloc(2000))).toEqual(undefined);
    expect(small.offer(Buffer.alloc(2000))).toEqual(undefined);
  });

  it('name the bound that a part passes', () => {
    const budget = new ByteBudget(MAX_BYTES);
    const held = new HeldBytes({budget, maxBytes: 10});
    const add = () => held.add(Buffer.alloc(11), 'event');
    expect(add).toThrow(OversizedAnswerError, /oversized/);
  });
});
