import {createServer} from 'node:http';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {closeHttpServer, openListener} from './listen.js';
import {readBody, sendJson} from './http.js';
import {UnreadableRequests} from './unreadable-requests.js';
import type {RequestListener} from 'node:http';
import type {Socket} from 'node:net';
import type {UnreadableRequest} from './unreadable-requests.js';

/** Time after which a head is too slow, in ms. */
const HEAD_TIMEOUT_MS = 100;

/** Time that the answer to the path `/slow` takes, in ms. */
const SLOW_ANSWER_MS = 60;

/** Maximum size of a request body, in bytes. */
const MAX_BODY = 4;

const GET = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const SLOW = 'GET /slow HTTP/1.1\r\nHost: a\r\n\r\n';
const POST_CHUNKS =
  'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

interface Outcome {
  /** Bytes that the caller got until the connection ended. */
  readonly text: string;
  readonly isReset: boolean;
  readonly records: readonly UnreadableRequest[];
  /** Requests that reached the handler with their whole body. */
  readonly handled: number;
}

/** Sends bytes to a server on one connection; resolves once it has ended. */
async function sendToServer(send: (socket: Socket) => void): Promise<Outcome> {
  const records: UnreadableRequest[] = [];
  let handled = 0;
  const serve: RequestListener = async (req, res) => {
    const body = await readBody(req, MAX_BODY).catch(() => 'broken' as const);
    if (body === 'broken') return;
    if (body === undefined) return sendJson(res, 413, {});
    handled++;
    if (req.url === '/begun') res.write('begun');
    if (req.url === '/') return sendJson(res, 200, {});
    setTimeout(() => res.end('slow'), SLOW_ANSWER_MS);
  };
  const server = createServer(
    {headersTimeout: HEAD_TIMEOUT_MS, connectionsCheckingInterval: 20},
    (req, res) => void serve(req, res),
  );
  new UnreadableRequests({
    renderBody: reason => ({error: {reason}}),
    record: request => records.push(request),
  }).observe(server);
  const port = await openListener(server, {host: '127.0.0.1', port: 0});
  let text = '';
  let isReset = false;
  await new Promise<void>(resolve => {
    const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
    socket.on('data', part => (text += String(part)));
    socket.on('end', () => socket.end());
    socket.on('error', () => (isReset = true));
    socket.on('close', () => resolve());
    send(socket);
  });
  await closeHttpServer(server);
  return {text, isReset, records, handled};
}

function renderRefusal(status: string, reason: string): string {
  const body = JSON.stringify({error: {reason}});
  return `HTTP/1.1 ${status}\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`;
}

const BAD = '400 Bad Request';

/** Requests that can't be read, with their answers and error codes. */
const UNREADABLE: ReadonlyArray<
  readonly [name: string, bytes: string, status: string, reason: string]
> = [
  ['an unknown method', 'FROB / HTTP/1.1\r\n\r\n', BAD, 'unknown_method'],
  ['CONNECT', 'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n', BAD, 'unknown_method'],
  [
    'an unreadable version',
    'GET / HTTP/9.7\r\nHost: a\r\n\r\n',
    BAD,
    'malformed_request',
  ],
  [
    'two lengths',
    'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
    BAD,
    'malformed_request',
  ],
  [
    'a length and chunks',
    'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    BAD,
    'malformed_request',
  ],
  ['a broken chunk', `${POST_CHUNKS}2\r\nab\r\nxx`, BAD, 'malformed_request'],
  [
    'a head that is too large',
    `GET / HTTP/1.1\r\nHost: a\r\nx: ${'a'.repeat(1_000_000)}\r\n\r\n`,
    '431 Request Header Fields Too Large',
    'head_too_large',
  ],
  [
    'chunk extensions that are too large',
    `${POST_CHUNKS}2;${'a'.repeat(20_000)}\r\nab\r\n`,
    '413 Payload Too Large',
    'chunk_extensions_too_large',
  ],
  [
    'a head that takes too long',
    'GET / HTTP/1.1\r\nHost:',
    '408 Request Timeout',
    'request_too_slow',
  ],
];

describe('requests that the parser cannot read', () => {
  for (const [name, bytes, status, reason] of UNREADABLE)
    it(`are answered whole for ${name}, alone and after another answer`, async () => {
      // Guards against an error without a body, or one that a reset takes away.
      const refusal = renderRefusal(status, reason);
      const alone = await sendToServer(socket => socket.write(bytes));
      expect(alone.text).toEqual(refusal);
      expect(alone.isReset).toEqual(false);
      expect(alone.handled).toEqual(0);
      const [record] = alone.records;
      expect(alone.records.length).toEqual(1);
      expect(record.reason as string).toEqual(reason);
      expect(record.status).toEqual(Number.parseInt(status, 10));
      const second = await sendToServer(socket => {
        socket.write(GET);
        socket.once('data', () => socket.write(bytes));
      });
      expect(second.text.startsWith('HTTP/1.1 200 OK')).toEqual(true);
      expect(second.text.endsWith(`{}${refusal}`)).toEqual(true);
      expect(second.handled).toEqual(1);
    });

  it('wait for the answers to requests before them', async () => {
    // Guards against an error that a caller takes for the outcome of a request
    // that runs.
    for (const path of ['/slow', '/begun']) {
      const {text, records} = await sendToServer(socket =>
        socket.write(SLOW.replace('/slow', path) + 'FROB / HTTP/1.1\r\n\r\n'),
      );
      const refusal = renderRefusal(BAD, 'unknown_method');
      expect(text.startsWith('HTTP/1.1 200 OK')).toEqual(true);
      expect(text.slice(-refusal.length)).toEqual(refusal);
      expect(/slow(\r\n0\r\n\r\n)?HTTP\/1\.1 400/.test(text)).toEqual(true);
      expect(records.length).toEqual(1);
    }
  });

  it('wait for all answers of a pipeline, and answer the broken last request', async () => {
    // Guards against an answer in the place of another one.
    const {text} = await sendToServer(socket =>
      socket.write(`${SLOW}${SLOW}${POST_CHUNKS}xx`),
    );
    const statuses = [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(m => m[1]);
    expect(statuses).toEqual(['200', '200', '400']);
  });

  it('get no answer after one that ends the connection', async () => {
    // Guards against bytes after the last answer of a connection.
    const {text} = await sendToServer(socket =>
      socket.write(
        SLOW.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n') +
          'FROB / HTTP/1.1\r\n\r\n',
      ),
    );
    expect(text.includes('HTTP/1.1 400')).toEqual(false);
    expect(text.endsWith('slow')).toEqual(true);
  });

  it('close the connection of CONNECT behind a running request', async () => {
    // Guards against an error that a caller takes for the outcome of a request
    // that runs.
    const {text, records} = await sendToServer(socket =>
      socket.write(`${SLOW}CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n`),
    );
    expect(text).toEqual('');
    expect(records.map(record => record.status)).toEqual([undefined]);
  });

  it('close the connection of a body that breaks after its refusal', async () => {
    // Guards against an error head behind an answer that has begun.
    const {text, records} = await sendToServer(socket => {
      socket.write(`${POST_CHUNKS}9\r\nabcdefghi\r\n`);
      socket.once('data', () => socket.write('xx'));
    });
    expect(text.startsWith('HTTP/1.1 413')).toEqual(true);
    expect(text.includes('HTTP/1.1 400')).toEqual(false);
    expect(records.map(record => record.status)).toEqual([undefined]);
  });

  it('tell a caller that ends its bytes early', async () => {
    // Guards against a closed connection without an answer.
    const {text} = await sendToServer(socket => socket.end('GET / HT'));
    expect(text).toEqual(renderRefusal(BAD, 'incomplete_request'));
    const behind = await sendToServer(socket => socket.end(`${SLOW}GET / HT`));
    expect(behind.text).toEqual('');
  });

  it('are not recorded for a caller that resets its connection', async () => {
    // Guards against a log line for each caller that disconnects.
    const {text, records} = await sendToServer(socket => {
      socket.write('GET / HTTP/1.1\r\n');
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expect(text).toEqual('');
    expect(records).toEqual([]);
  });
});
