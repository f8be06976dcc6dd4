import {createServer} from 'node:http';
import {connect} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {freezeProcess} from './freeze-process.js';
import {parseJson, readBody, sendJson} from './http.js';
import {closeHttpServer, openListener} from './listen.js';
import {MAX_DROPPED_BYTES, endResponse} from './unread-body.js';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

const HOST = '127.0.0.1';

/** Limit of the test server's request bodies, in bytes. */
const LIMIT_BYTES = 100_000;

/** Length of a request body that arrives in many reads, in bytes. */
const LARGE_BODY_BYTES = 8_000_000;

/** Length of a body above the limit that is written in one piece, in bytes. */
const PAUSED_BODY_BYTES = 2 * LIMIT_BYTES;

/** Longest pause that `/short-pause` accepts within a body, in ms. */
const SHORT_PAUSE_MS = 300;

const LARGE_BODY = 'x'.repeat(LARGE_BODY_BYTES);

/** What a client received on one connection until the connection closed. */
interface ConnectionResult {
  readonly statuses: readonly string[];
  readonly hasReset: boolean;
}

/** Connects, lets `send` write to the connection, and reads it to its end. */
function openConnection(
  port: number,
  send: (socket: Socket) => void,
): Promise<ConnectionResult> {
  return new Promise(resolve => {
    let text = '';
    let hasReset = false;
    const socket = connect(port, HOST, () => send(socket));
    socket.on('data', chunk => (text += String(chunk)));
    socket.on('error', () => (hasReset = true));
    socket.on('close', () =>
      resolve({
        statuses: [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(
          match => match[1],
        ),
        hasReset,
      }),
    );
  });
}

function renderHead(path: string, headers: readonly string[]): string {
  return [`POST ${path} HTTP/1.1`, 'Host: a', ...headers, '', ''].join('\r\n');
}

function renderRequest(
  path: string,
  body: string,
  headers: readonly string[] = [],
): string {
  const length = `Content-Length: ${body.length}`;
  return renderHead(path, [length, ...headers]) + body;
}

function renderChunk(size: number): string {
  return `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;
}

const LAST_REQUEST = renderRequest('/read', 'x', ['Connection: close']);

describe('response to a request whose body is unread', () => {
  let server: Server;
  let port: number;
  /** Bytes that the server has read when it closes the latest connection. */
  let bytesRead: Promise<number>;
  let abortedCount = 0;

  const serve = async (
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> => {
    bytesRead = new Promise(resolve =>
      req.socket.once('close', () => resolve(req.socket.bytesRead)),
    );
    if (req.url === '/unauthorized') return sendJson(res, 401, {});
    try {
      const body = await readBody(req, LIMIT_BYTES);
      if (body !== undefined) return sendJson(res, 200, {});
    } catch {
      abortedCount++;
      return;
    }
    if (req.url !== '/short-pause') return sendJson(res, 413, {});
    res.writeHead(413, {'content-length': 2});
    endResponse(res, '{}', SHORT_PAUSE_MS);
  };

  beforeEach(async () => {
    abortedCount = 0;
    server = createServer((req, res) => void serve(req, res));
    port = await openListener(server, {host: HOST, port: 0});
  });

  afterEach(() => closeHttpServer(server));

  for (const path of ['/read', '/unauthorized']) {
    const status = path === '/read' ? '413' : '401';

    it(`reaches a client that sends a large body to ${path} on a connection that then closes`, async () => {
      // Guards against a connection reset that discards the response.
      const {statuses, hasReset} = await openConnection(port, socket => {
        socket.write(renderRequest(path, LARGE_BODY, ['Connection: close']));
      });
      expect(statuses).toEqual([status]);
      expect(hasReset).toEqual(false);
    });

    it(`reaches a client that sends a large body to ${path} after 100 Continue`, async () => {
      const {statuses, hasReset} = await openConnection(port, socket => {
        const request = renderRequest(path, LARGE_BODY, [
          'Expect: 100-continue',
        ]);
        const bodyAt = request.length - LARGE_BODY_BYTES;
        socket.write(request.slice(0, bodyAt));
        socket.once('data', () =>
          socket.write(request.slice(bodyAt) + LAST_REQUEST),
        );
      });
      expect(statuses).toEqual(['100', status, '200']);
      expect(hasReset).toEqual(false);
    });

    it(`leaves the connection usable after a large chunked body to ${path}`, async () => {
      // Guards against a kept-alive connection whose next request is never
      // read.
      const {statuses, hasReset} = await openConnection(port, socket => {
        socket.write(renderHead(path, ['Transfer-Encoding: chunked']));
        socket.write(renderChunk(LARGE_BODY_BYTES));
        socket.write(`0\r\n\r\n${LAST_REQUEST}`);
      });
      expect(statuses).toEqual([status, '200']);
      expect(hasReset).toEqual(false);
    });
  }

  it('is sent before the whole body has arrived', async () => {
    // Guards against a response that waits for a client that waits for it.
    const {statuses} = await openConnection(port, socket => {
      socket.write(
        renderHead('/read', [`Content-Length: ${LARGE_BODY_BYTES}`]),
      );
      socket.write(LARGE_BODY.slice(1));
      socket.once('data', () => socket.end('x' + LAST_REQUEST));
    });
    expect(statuses).toEqual(['413', '200']);
  });

  it('ends the connection without a reset when the client never sends the rest', async () => {
    // Guards against a connection that stays open for a client that is gone.
    const {statuses, hasReset} = await openConnection(port, socket => {
      socket.write(
        renderHead('/short-pause', [`Content-Length: ${PAUSED_BODY_BYTES}`]),
      );
      socket.write('x'.repeat(PAUSED_BODY_BYTES - 1));
    });
    expect(statuses).toEqual(['413']);
    expect(hasReset).toEqual(false);
  });

  it('does not end the connection while a received part of the body is still unread', async () => {
    // Guards against a timeout that expires before a resumed process has read
    // its sockets.
    const {statuses, hasReset} = await openConnection(port, socket => {
      socket.write(
        renderHead('/short-pause', [`Content-Length: ${PAUSED_BODY_BYTES}`]),
      );
      socket.write('x'.repeat(PAUSED_BODY_BYTES - 1));
      socket.once('data', () =>
        setImmediate(() => {
          socket.write('x' + LAST_REQUEST);
          freezeProcess(2 * SHORT_PAUSE_MS);
        }),
      );
    });
    expect(statuses).toEqual(['413', '200']);
    expect(hasReset).toEqual(false);
  });

  it('reaches a client with an endless body, whose connection then closes', async () => {
    // Guards against a body that is read forever.
    const part = renderChunk(LIMIT_BYTES);
    const {statuses} = await openConnection(port, socket => {
      socket.write(renderHead('/read', ['Transfer-Encoding: chunked']));
      const writeParts = () => {
        while (!socket.destroyed && socket.write(part));
      };
      socket.on('drain', writeParts);
      writeParts();
    });
    expect(statuses).toEqual(['413']);
    expect(await bytesRead).toBeGreaterThan(MAX_DROPPED_BYTES);
    expect(await bytesRead).toBeLessThan(2 * MAX_DROPPED_BYTES);
  });

  it('is not sent when the client disconnects or breaks the protocol within the body', async () => {
    // Guards against handling a request with a part of its body.
    for (const rest of ['half', 'no chunk'])
      await openConnection(port, socket => {
        const isChunked = rest === 'no chunk';
        const header = isChunked
          ? 'Transfer-Encoding: chunked'
          : 'Content-Length: 9';
        socket.write(renderHead('/read', [header]));
        socket.end(isChunked ? renderChunk(5) + rest : rest);
      });
    expect(abortedCount).toEqual(2);
  });

  it('parses only valid JSON', () => {
    expect(parseJson(Buffer.from('{"a":1}'))).toEqual({a: 1});
    expect(parseJson(Buffer.from('{'))).toEqual(undefined);
  });
});
