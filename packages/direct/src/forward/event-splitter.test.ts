import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ByteBudget} from '../buffers/byte-budget.js';
import {OversizedAnswerError} from '../errors.js';
import {MAX_EVENT_BYTES, createEventSplitter} from './event-splitter.js';

describe('event splitter', () => {
  it('returns the same events however the bytes are divided into chunks', () => {
    // Guards against chunks that split a character or an event boundary.
    const pieces = fc.array(
      fc.string({unit: 'grapheme'}).map(text => text.replace(/[\r\n]/g, '')),
      {minLength: 1, maxLength: 8},
    );
    fc.assert(
      fc.property(pieces, fc.array(fc.nat(400)), (texts, cuts) => {
        const bytes = Buffer.from(
          texts.map((text, i) => `id: ${i}\ndata: ${text}\n\n`).join(''),
        );
        const splitter = createEventSplitter();
        const edges = [...new Set(cuts.map(cut => cut % bytes.length))].sort(
          (a, b) => a - b,
        );
        const ids: Array<string | undefined> = [];
        const out: Buffer[] = [];
        let from = 0;
        for (const edge of [...edges, bytes.length]) {
          for (const event of splitter.push(bytes.subarray(from, edge))) {
            ids.push(event.id);
            out.push(event.bytes);
          }
          from = edge;
        }
        expect(Buffer.concat(out).equals(bytes)).toEqual(true);
        expect(ids).toEqual(texts.map((_, i) => String(i)));
        expect(splitter.hasPartialEvent).toEqual(false);
      }),
    );
  });

  it('buffers an incomplete event', () => {
    const splitter = createEventSplitter();
    expect(splitter.push(Buffer.from('id: 1\ndata: x\n')).length).toEqual(0);
    expect(splitter.hasPartialEvent).toEqual(true);
  });

  it('accepts an event of the largest size in any parts, and none above it', () => {
    // Guards against an event without end that is held without a bound.
    for (const partBytes of [1, 1000, 65_536, MAX_EVENT_BYTES]) {
      const budget = new ByteBudget(MAX_EVENT_BYTES);
      const splitter = createEventSplitter(budget);
      const event = Buffer.alloc(MAX_EVENT_BYTES, 'a');
      event.write('\n\n', MAX_EVENT_BYTES - 2);
      const sizes: number[] = [];
      for (let i = 0; i < event.length; i += partBytes)
        for (const {bytes} of splitter.push(event.subarray(i, i + partBytes)))
          sizes.push(bytes.length);
      expect(sizes).toEqual([MAX_EVENT_BYTES]);
      expect(budget.claimedBytes).toEqual(0);
      const endless = Buffer.alloc(partBytes, 'a');
      const pushEndless = () => {
        for (let i = 0; i <= MAX_EVENT_BYTES; i += partBytes)
          splitter.push(endless);
      };
      expect(pushEndless).toThrow(OversizedAnswerError);
      splitter.close();
      expect(budget.claimedBytes).toEqual(0);
    }
  });
});
