import {describe, it} from 'node:test';
import {expect} from 'earl';
import {countColdSlots, isColdSlotFree} from './slow-start.js';

const SLOTS = 8;

describe('slow start of a cold engine', () => {
  it('grows from one stream to all slots over the cold time', () => {
    // Guards against a returning engine that is filled at once.
    const counts = [0, 0.25, 0.5, 0.99, 1].map(progress =>
      countColdSlots(SLOTS, progress),
    );
    expect(counts).toEqual([1, 2, 4, 7, 8]);
  });

  it('leaves the share of gates that are not heard free', () => {
    // Guards against gates that hear no other and each fill the engine, and
    // against one silent gate of 27 that keeps all streams away.
    const isFree = (active: number, progress: number, heardShare: number) =>
      isColdSlotFree({slots: SLOTS, progress, active, heardShare});
    expect(isFree(0, 0, 1)).toEqual(true);
    expect(isFree(1, 0, 1)).toEqual(false);
    expect(isFree(0, 0, 26 / 27)).toEqual(true);
    expect(isFree(0, 0.9, 0)).toEqual(false);
    expect(isFree(2, 0.5, 0.5)).toEqual(false);
    expect(isFree(1, 0.5, 0.5)).toEqual(true);
  });
});
