import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {HeadScanner} from './head-scanner.js';

const HEAD = 'HTTP/1.1 200 OK\r\nServer: x\r\nX-Id: q1\r\n\r\n';

/** Texts of which bodies are made, most of them begins of heads. */
const PIECES = [
  'HTTP/1.1 200 OK\r\n',
  'HTTP/1.1 200 ',
  'HTTP/1.1 99 x\r\n',
  'HTTP/1.',
  'HTTP',
  'Server: x\r\n',
  'no field\r\n',
  'x-id',
  '\r\n',
  '\n',
  'a: HTTP/1.1 200 OK\n',
  'body',
  'a'.repeat(20_000),
];

interface Scan {
  readonly body: string;
  readonly hasHead: boolean;
}

/** Scans a text in parts that end at the given places. */
function runScan(text: string, cuts: readonly number[] = []): Scan {
  const scanner = new HeadScanner(fields => fields['x-id'] !== undefined);
  const ends = [...cuts.map(cut => cut % (text.length + 1)), text.length];
  let body = '';
  let from = 0;
  for (const end of ends.sort((a, b) => a - b)) {
    const found = scanner.push(Buffer.from(text.slice(from, end), 'latin1'));
    body += found.body.toString('latin1');
    if (found.hasHead) return {body, hasHead: true};
    from = end;
  }
  const {body: rest, hasHead} = scanner.finish();
  return {body: body + rest.toString('latin1'), hasHead};
}

const anyCuts = fc.array(fc.nat(100_000), {maxLength: 6});
const anyBody = fc
  .array(fc.constantFrom(...PIECES), {maxLength: 8})
  .map(pieces => pieces.join(''))
  // Fields behind a status line may complete a head that names a request.
  .filter(text => !text.includes('x-id:'));

describe('head scanner', () => {
  it('returns bodies without the head of an answer unchanged, however they arrive', () => {
    // Guards against bytes that are lost or moved because they begin like a head.
    fc.assert(
      fc.property(anyBody, anyCuts, (text, cuts) => {
        expect(runScan(text, cuts)).toEqual({body: text, hasHead: false});
      }),
    );
  });

  it('finds the head of an answer behind any body, however it arrives', () => {
    // Guards against a second answer that is hidden by text that begins like a head.
    fc.assert(
      fc.property(anyBody, anyCuts, (text, cuts) => {
        const {body, hasHead} = runScan(`${text}\n\n${HEAD}rest`, cuts);
        expect(hasHead).toEqual(true);
        expect(text.startsWith(body) || body.startsWith(text)).toEqual(true);
      }),
    );
  });

  it('finds a head at every cut of it, and with bare line feeds', () => {
    for (const head of [HEAD, HEAD.replaceAll('\r', '')])
      for (let cut = 0; cut <= head.length; cut++)
        expect(runScan(`body${head}`, [4 + cut])).toEqual({
          body: 'body',
          hasHead: true,
        });
  });

  it('finds a head of which the end is missing once it names a request', () => {
    // Guards against a second answer that is cut within its head.
    const named = HEAD.indexOf('X-Id:') + 'X-Id:'.length;
    for (let end = 1; end <= HEAD.length; end++) {
      const {hasHead} = runScan(`body${HEAD.slice(0, end)}`);
      expect(hasHead).toEqual(end >= named);
    }
  });

  it('takes no fields of the body behind a head for those of the head', () => {
    const text = 'HTTP/1.1 200 OK\r\nServer: x\r\n\r\nX-Id: q1\r\n\r\n';
    expect(runScan(text)).toEqual({body: text, hasHead: false});
  });

  it('ends soon, whatever a body holds', {timeout: 60_000}, () => {
    // Guards against a faulty server that spends the processor time of a gate.
    const bytes = 4 * 1024 * 1024;
    for (const piece of PIECES) {
      const text = piece.repeat(bytes / piece.length);
      expect(runScan(text, [bytes / 4, bytes / 2]).hasHead).toEqual(false);
    }
  });
});
