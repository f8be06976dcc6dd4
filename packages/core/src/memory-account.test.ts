import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {MemoryAccount} from './memory-account.js';
import type {MemoryClaim} from './memory-account.js';

const LIMIT_BYTES = 1_000_000;

/** Bytes that a request may hold beside the account. */
const FREE_BYTES = 8 * 1024;

/** Bed with a clock of its own, and the names of the requests that were given up. */
class AccountBed {
  now = 0;
  readonly evicted: string[] = [];
  readonly account = new MemoryAccount({
    limitBytes: LIMIT_BYTES,
    openBytes: 0,
    readNow: () => this.now,
  });

  /** Opens a claim that holds `bytes` beside what is free. */
  open(name: string, owner: string, bytes: number): MemoryClaim {
    const claim = this.account.open(owner, {
      onGiveUp: () => this.evicted.push(name),
    });
    expect(claim.setBytes(bytes + FREE_BYTES)).toEqual(true);
    return claim;
  }
}

describe('memory account', () => {
  it('keeps small requests possible while large ones fill it', () => {
    const bed = new AccountBed();
    bed.open('large', 'a', 750_000).settle();
    const small = bed.account.open('a', {onGiveUp: () => undefined});
    expect(small.setBytes(FREE_BYTES)).toEqual(true);
    expect(small.setBytes(FREE_BYTES + 1)).toEqual(false);
  });

  it('gives up the request that has stalled longest, then the newest', () => {
    // Guards against bodies that are held for callers which send nothing more.
    const bed = new AccountBed();
    const names = ['oldest', 'stalled', 'newest'];
    const claims = names.map(name => bed.open(name, 'a', 250_000));
    bed.now = 5000;
    claims[0].markProgress();
    claims[2].markProgress();
    const next = bed.account.open('a', {onGiveUp: () => undefined});
    expect(next.setBytes(250_000)).toEqual(true);
    expect(bed.evicted).toEqual(['stalled']);
    expect(claims[0].setBytes(400_000)).toEqual(true);
    expect(next.isGivenUp).toEqual(true);
    expect(bed.evicted).toEqual(['stalled']);
  });

  it('refuses a request that came after all others of its owner', () => {
    const bed = new AccountBed();
    bed.open('first', 'a', 700_000);
    const next = bed.account.open('a', {onGiveUp: () => undefined});
    expect(next.setBytes(200_000)).toEqual(false);
    expect(bed.evicted).toEqual([]);
  });

  it('gives up what the largest owner holds for another one', () => {
    // Guards against a client account that is starved by another.
    const bed = new AccountBed();
    for (let i = 0; i < 7; i++) bed.open(`a${i}`, 'a', 100_000);
    bed.open('b0', 'b', 240_000);
    bed.open('b1', 'b', 240_000);
    expect(bed.evicted).toEqual(['a6', 'a5']);
  });

  it('keeps room for an owner that holds little, also beside whole requests', () => {
    // Guards against a client account whose whole requests leave no room.
    const bed = new AccountBed();
    const large = bed.account.open('a', {onGiveUp: () => undefined});
    large.settle();
    expect(large.setBytes(LIMIT_BYTES)).toEqual(false);
    expect(large.setBytes(LIMIT_BYTES * 0.75)).toEqual(true);
    bed.open('other', 'b', 240_000);
  });

  it('leaves less room the more requests are open, and none is refused for it', () => {
    // Guards against memory that grows with the connections beside the account.
    const readNow = () => 0;
    const account = new MemoryAccount({
      limitBytes: LIMIT_BYTES,
      openBytes: 10_000,
      readNow,
    });
    const open = () => account.open('a', {onGiveUp: () => undefined});
    const large = open();
    expect(large.setBytes(700_000)).toEqual(true);
    const others = Array.from({length: 200}, open);
    for (const claim of others)
      expect(claim.setBytes(FREE_BYTES)).toEqual(true);
    expect(large.setBytes(700_001)).toEqual(false);
    for (const claim of others) claim.release();
    expect(large.setBytes(700_001)).toEqual(true);
  });

  it('takes nothing more for a request that was refused', () => {
    // Guards against bodies that are held for callers which have been answered.
    const bed = new AccountBed();
    const claim = bed.open('refused', 'a', 100_000);
    claim.release();
    expect(claim.setBytes(100_000)).toEqual(false);
    expect(bed.account.heldBytes).toEqual(0);
  });

  it('never holds more than its limit, nor forgets what is released', () => {
    const bed = new AccountBed();
    const steps = fc.array(
      fc.record({
        owner: fc.constantFrom('a', 'b', 'c'),
        claim: fc.nat(9),
        bytes: fc.nat(LIMIT_BYTES),
        act: fc.constantFrom('resize', 'release', 'settle', 'wait'),
      }),
      {maxLength: 60},
    );
    fc.assert(
      fc.property(steps, list => {
        const claims = new Map<number, MemoryClaim>();
        for (const {owner, claim: id, bytes, act} of list) {
          if (act === 'wait') bed.now += bytes;
          const claim =
            claims.get(id) ??
            bed.account.open(owner, {onGiveUp: () => claims.delete(id)});
          claims.set(id, claim);
          if (act === 'resize') claim.setBytes(bytes);
          if (act === 'settle') claim.settle();
          if (act === 'release') {
            claim.release();
            claims.delete(id);
          }
          expect(bed.account.heldBytes <= LIMIT_BYTES).toEqual(true);
        }
        for (const claim of claims.values()) claim.release();
        expect(bed.account.heldBytes).toEqual(0);
        for (const owner of ['a', 'b', 'c'])
          expect(bed.account.countHeld(owner)).toEqual(0);
      }),
    );
  });
});
