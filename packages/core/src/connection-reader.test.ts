import {createServer} from 'node:http';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {NO_ROOM_CODE, readConnections} from './connection-reader.js';
import {readBody, sendJson} from './http.js';
import {closeHttpServer, openListener} from './listen.js';
import {MemoryAccount} from './memory-account.js';
import {UnreadableRequests} from './unreadable-requests.js';
import type {IncomingMessage, ServerResponse} from 'node:http';

const MAX_HEAD_BYTES = 16_384;

/** Bytes that each request may hold beside the account. */
const FREE_BYTES = 8 * 1024;

interface Connection {
  /** What the server sent until it closed the connection. */
  readonly text: string;
  readonly codes: readonly string[];
}

async function answer(
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const body = await readBody(req, 1_000_000).catch(() => undefined);
  if (body !== undefined)
    sendJson(res, 200, {path: req.url, body: body.toString()});
}

/** Sends parts one after the other, each read by itself. */
async function runConnection(
  parts: readonly string[],
  options: {readonly hasReader?: boolean; readonly limitBytes?: number} = {},
): Promise<Connection> {
  const {hasReader = true, limitBytes = 1_000_000} = options;
  const codes: string[] = [];
  const server = createServer((req, res) => void answer(req, res));
  const readNow = () => performance.now();
  if (hasReader)
    readConnections(server, {
      account: new MemoryAccount({limitBytes, openBytes: 0, readNow}),
      readMaxHeadBytes: () => MAX_HEAD_BYTES,
      mayContinue: () => true,
    });
  new UnreadableRequests({
    renderBody: reason => ({reason}),
    record: ({code}) => codes.push(code),
  }).observe(server);
  const port = await openListener(server, {host: '127.0.0.1', port: 0});
  let text = '';
  await new Promise<void>(resolve => {
    const socket = connect({port, host: '127.0.0.1', noDelay: true});
    socket.on('data', part => (text += String(part)));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
    const sendNext = (i: number) => {
      if (i < parts.length && !socket.destroyed)
        socket.write(parts[i], () => setImmediate(sendNext, i + 1));
    };
    sendNext(0);
  });
  await closeHttpServer(server);
  return {text: text.replace(/Date: .*\r\n/g, ''), codes};
}

function listParts(text: string, cuts: readonly number[]): readonly string[] {
  const places = [...new Set(cuts.map(cut => cut % text.length))];
  const ends = [...places.sort((a, b) => a - b), text.length];
  return ends.map((end, i) => text.slice(i === 0 ? 0 : ends[i - 1], end));
}

const REQUESTS = [
  'GET /none HTTP/1.1\r\nHost: a\r\n\r\n',
  '\r\nGET /line HTTP/1.1\r\nHost: a\r\n\r\n',
  'POST /length HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n\r\n\r\nab',
  'POST /empty HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n',
  'POST /chunks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\n\r\n\r\n0\r\n\r\n',
  'POST /fields HTTP/1.1\r\nHost: a\r\ntransfer-encoding: gzip, Chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\n',
  'POST /none HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
  'POST /expect HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na',
] as const;

const LAST = 'GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n';

const CHUNKED =
  'POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

/** Requests that can't be read, with their answers and error codes. */
const UNREADABLE: ReadonlyArray<
  readonly [name: string, text: string, status: string, code: string]
> = [
  ['a broken chunk', `${CHUNKED}1\r\nabc`, '400', 'HPE_STRICT'],
  [
    'a chunk without a size',
    `${CHUNKED}x\r\n`,
    '400',
    'HPE_INVALID_CHUNK_SIZE',
  ],
  [
    'trailers above the limit',
    `${CHUNKED}0\r\n${'X: abcdef\r\n'.repeat(2000)}`,
    '431',
    'HPE_HEADER_OVERFLOW',
  ],
  [
    'empty lines without end',
    '\r\n'.repeat(20_000),
    '431',
    'HPE_HEADER_OVERFLOW',
  ],
  [
    'a head above the limit',
    `GET / HTTP/1.1\r\n${'X: abcdef\r\n'.repeat(2000)}`,
    '431',
    'HPE_HEADER_OVERFLOW',
  ],
];

describe('connection that is read ahead of the parser', () => {
  it('is answered as without, however its requests are split', async () => {
    // Guards against a request that is read at another place than it begins.
    const inputs = fc.record({
      texts: fc.array(fc.constantFrom(...REQUESTS), {maxLength: 4}),
      cuts: fc.array(fc.nat(), {maxLength: 12}),
    });
    await fc.assert(
      fc.asyncProperty(inputs, async ({texts, cuts}) => {
        const text = texts.join('') + LAST;
        const expected = await runConnection([text], {hasReader: false});
        expect(await runConnection([text])).toEqual(expected);
        expect(await runConnection(listParts(text, cuts))).toEqual(expected);
      }),
      {numRuns: 40},
    );
  });

  for (const [name, text, status, code] of UNREADABLE)
    it(`is refused for ${name}`, async () => {
      // Guards against a fault that is passed on, or answered with silence.
      for (const parts of [[text], listParts(text, [60, 70, 9000])]) {
        const {text: received, codes} = await runConnection(parts);
        expect(received.slice(9, 12)).toEqual(status);
        expect(codes).toEqual([code]);
      }
    });

  it('is refused if there is no memory for its head', async () => {
    // Guards against heads without end in number, whose fields are many objects.
    const head = `GET / HTTP/1.1\r\n${'X: a\r\n'.repeat(100)}`;
    const {text, codes} = await runConnection([head], {limitBytes: 1000});
    expect(text.slice(9, 12)).toEqual('503');
    expect(text).toInclude('Retry-After: 1\r\n');
    expect(codes).toEqual([NO_ROOM_CODE]);
    const free = 'X: a\r\n'.repeat(Math.floor(FREE_BYTES / 140));
    const {text: served} = await runConnection(
      [`GET / HTTP/1.1\r\nHost: a\r\n${free}`, 'Connection: close\r\n\r\n'],
      {limitBytes: 0},
    );
    expect(served.slice(9, 12)).toEqual('200');
  });

  it('answers an unknown expectation with 417 and reads on', async () => {
    const text =
      'POST /x HTTP/1.1\r\nHost: a\r\nExpect: x\r\nContent-Length: 5\r\n\r\n\r\n\r\na';
    const {text: received} = await runConnection([text + LAST]);
    const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)];
    expect(statuses.map(([, status]) => status)).toEqual(['417', '200']);
  });
});
