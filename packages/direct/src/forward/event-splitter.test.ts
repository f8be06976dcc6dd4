import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createEventSplitter} from './event-splitter.js';

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
});
