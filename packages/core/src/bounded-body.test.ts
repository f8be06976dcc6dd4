import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {BoundedBody, readBoundedText} from './bounded-body.js';
import {OversizedBodyError} from './errors.js';
import {readSseEvents} from './sse.js';

const MAX_BYTES = 1000;

/** Yields parts without end; fails if more are read than `maxParts`. */
async function* sendForever(
  part: Buffer,
  maxParts: number,
): AsyncGenerator<Buffer> {
  for (let i = 0; i < maxParts; i++) yield part;
  throw new Error('more was read than fits');
}

describe('bounded body', () => {
  it('is the text of its parts, as far as they fit', () => {
    // Guards against parts that are lost, or held past the bound.
    fc.assert(
      fc.property(fc.array(fc.string({maxLength: 400})), texts => {
        const body = new BoundedBody(MAX_BYTES);
        const accepted = texts.filter(text => body.add(Buffer.from(text)));
        const whole = accepted.join('');
        expect(Buffer.byteLength(whole) <= MAX_BYTES).toEqual(true);
        expect(body.readText()).toEqual(whole);
      }),
    );
  });

  it('without end is read up to the bound', async () => {
    // Guards against a body that is held until the memory is spent.
    for (const size of [1, 64, MAX_BYTES + 1]) {
      const part = Buffer.alloc(size, 'a');
      const parts = Math.floor(MAX_BYTES / size) + 1;
      await expect(
        readBoundedText(sendForever(part, parts), MAX_BYTES),
      ).toBeRejectedWith(OversizedBodyError);
    }
  });
});

describe('server-sent events', () => {
  it('are not read on after an event without end', async () => {
    // Guards against an event that is held until the memory is spent.
    const part = Buffer.alloc(65_536, 'a');
    const readAll = async () => {
      for await (const event of readSseEvents(sendForever(part, 20)))
        throw new Error(`unexpected event ${event.event}`);
    };
    await expect(readAll()).toBeRejectedWith(OversizedBodyError);
  });
});
