import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ChunkCoalescer} from './chunk-coalescer.js';
import type {ChunkFault} from './chunk-coalescer.js';

const MAX_TRAILER_BYTES = 100;

/** What a coalescer makes of a text that arrives in parts. */
interface Outcome {
  readonly data: string;
  /** Number of chunks that were passed on. */
  readonly chunks: number;
  readonly isEnded: boolean;
  readonly fault: ChunkFault | undefined;
  /** What follows the body. */
  readonly rest: string;
}

/** Reads what a coalescer passed on, with the framing that Node's parser expects. */
function parseFramed(framed: string): {
  readonly data: string;
  readonly isEnded: boolean;
} {
  const sized = /^([0-9a-f]+)\r\n/.exec(framed);
  const size = sized === null ? 0 : Number.parseInt(sized[1], 16);
  if (sized === null || size === 0)
    return {data: '', isEnded: framed === '0\r\n\r\n'};
  const start = sized[0].length;
  const data = framed.slice(start, start + size);
  const end = framed.slice(start + size);
  expect(['\r\n', '\r\n0\r\n\r\n']).toInclude(end);
  return {data, isEnded: end.length > 2};
}

function pushAll(parts: readonly string[]): Outcome {
  const coalescer = new ChunkCoalescer(MAX_TRAILER_BYTES);
  let data = '';
  let chunks = 0;
  let isEnded = false;
  let fault: ChunkFault | undefined;
  let rest = '';
  for (const part of parts) {
    if (isEnded || fault !== undefined) {
      rest += part;
      continue;
    }
    const read = coalescer.push(Buffer.from(part, 'latin1'));
    const framed = read.framed.toString('latin1');
    const parsed = parseFramed(framed);
    if (framed !== '') expect(parsed.isEnded).toEqual(read.isEnded);
    if (parsed.data !== '') chunks++;
    data += parsed.data;
    ({isEnded, fault} = read);
    rest += part.slice(read.used);
  }
  return {data, chunks, isEnded, fault, rest};
}

function listParts(text: string, cuts: readonly number[]): readonly string[] {
  const places = [...new Set(cuts.map(cut => cut % (text.length + 1)))];
  places.sort((a, b) => a - b);
  const ends = [...places, text.length];
  return ends.map((end, i) => text.slice(i === 0 ? 0 : ends[i - 1], end));
}

const bodies = fc.record({
  chunks: fc.array(
    fc.record({
      data: fc.string({minLength: 1, maxLength: 120, unit: 'binary-ascii'}),
      extension: fc.constantFrom('', ';a=b', ' ;x', ';q="1"'),
      zeros: fc.constantFrom('', '0', '000'),
    }),
    {maxLength: 30},
  ),
  trailers: fc.array(fc.constantFrom('X-A: a\r\n', 'B:\r\n'), {maxLength: 8}),
  cuts: fc.array(fc.nat(), {maxLength: 20}),
});

describe('chunk coalescer', () => {
  it('passes on the data of any chunks, however they are split', () => {
    // Guards against a body that another server reads differently.
    fc.assert(
      fc.property(bodies, ({chunks, trailers, cuts}) => {
        const text =
          chunks
            .map(
              ({data, extension, zeros}) =>
                `${zeros}${data.length.toString(16)}${extension}\r\n${data}\r\n`,
            )
            .join('') + `0\r\n${trailers.join('')}\r\nGET / HTTP/1.1`;
        const parts = listParts(text, cuts);
        const outcome = pushAll(parts);
        expect(outcome).toEqual({
          data: chunks.map(({data}) => data).join(''),
          chunks: outcome.chunks,
          isEnded: true,
          fault: undefined,
          rest: 'GET / HTTP/1.1',
        });
        expect(outcome.chunks <= parts.length).toEqual(true);
      }),
    );
  });

  const faults: ReadonlyArray<readonly [string, string, ChunkFault]> = [
    ['no size', '\r\n', 'HPE_INVALID_CHUNK_SIZE'],
    ['a size that is no number', 'x\r\n', 'HPE_INVALID_CHUNK_SIZE'],
    ['a sign', '-1\r\n', 'HPE_INVALID_CHUNK_SIZE'],
    ['a size of many digits', '0000000000001\r\n', 'HPE_INVALID_CHUNK_SIZE'],
    ['a size that ends with a line feed', '1\na', 'HPE_INVALID_CHUNK_SIZE'],
    ['a line feed in an extension', '1;a\n', 'HPE_STRICT'],
    ['data that is too long', '1\r\nab\r\n', 'HPE_STRICT'],
    ['data without its line end', '1\r\na\rb', 'HPE_STRICT'],
    [
      'trailers that are too large',
      `0\r\nA: ${'a'.repeat(200)}`,
      'HPE_HEADER_OVERFLOW',
    ],
    [
      'an extension that is too large',
      `1;${'a'.repeat(20_000)}`,
      'HPE_CHUNK_EXTENSIONS_OVERFLOW',
    ],
    [
      'many extensions that are too large',
      `1;${'a'.repeat(10_000)}\r\na\r\n`.repeat(10),
      'HPE_CHUNK_EXTENSIONS_OVERFLOW',
    ],
  ];
  for (const [name, text, fault] of faults)
    it(`reports ${name}, and passes nothing on behind it`, () => {
      // Guards against a request that another server takes for two.
      for (const parts of [[text], [...text]]) {
        const outcome = pushAll(parts);
        expect(outcome.fault).toEqual(fault);
        expect(outcome.isEnded).toEqual(false);
      }
    });
});
