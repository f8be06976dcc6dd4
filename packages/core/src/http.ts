/**
 * Request and response helpers for Node's `http` servers.
 */
import {finished} from 'node:stream';
import {BoundedBody} from './bounded-body.js';
import {resolveFramingShare} from './framing-share.js';
import {ReadTimeout} from './read-timeout.js';
import type {IncomingMessage, ServerResponse} from 'node:http';

/**
 * Returns whether the end of the connection is that of a response's body: one with
 * neither a length nor chunks as its last coding.
 *
 * @example
 * isEndedByClose({'transfer-encoding': 'chunked'}); // false
 */
export function isEndedByClose(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): boolean {
  const coding = headers['transfer-encoding'];
  if (coding === undefined) return headers['content-length'] === undefined;
  return !/(^|[\s,])chunked\s*$/i.test(String(coding));
}

/** Largest accepted JSON body; a 1M-token prompt is about 4 MB of text. */
export const MAX_BODY_BYTES = 16 * 1024 * 1024;

/**
 * Returns the path of a request; undefined for an invalid URL, such as "//".
 *
 * @example
 * readPath(req); // '/v1/completions'
 */
export function readPath(req: IncomingMessage): string | undefined {
  try {
    return new URL(req.url ?? '/', 'http://host').pathname;
  } catch {
    return undefined;
  }
}

/**
 * Longest rest of an answered request's body that is read and dropped, in
 * bytes. A caller that sends more loses its connection.
 */
export const MAX_DROPPED_BYTES = 64 * 1024 * 1024;

/** Longest pause within the rest of an answered request's body, in ms. */
const MAX_DROP_PAUSE_MS = 5000;

/**
 * Reads a request body; resolves to undefined as soon as it is larger than
 * `limitBytes`, or its chunks are too small. The rest is then unread, so the response must be sent by
 * `sendJson` or `endResponse`.
 *
 * @throws The connection's error when the caller disconnects while sending the
 *   body.
 * @example
 * const body = await readBody(req, MAX_BODY_BYTES);
 */
export async function readBody(
  req: IncomingMessage,
  limitBytes: number,
): Promise<Buffer | undefined> {
  const body = new BoundedBody(limitBytes);
  // Destroying the request would close its connection before the response.
  const iterator = req.iterator({destroyOnReturn: false});
  const framing = resolveFramingShare(req);
  for await (const part of iterator as AsyncIterable<Buffer>)
    if (!body.add(part) || !framing.add(part)) return undefined;
  return body.readBytes();
}

/**
 * Parses a body as JSON; returns undefined when it is not valid JSON.
 *
 * @example
 * parseJson(Buffer.from('{"a":1}')); // {a: 1}
 */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

/**
 * Reads a request body as JSON; resolves to undefined when it is not valid JSON
 * or larger than `MAX_BODY_BYTES`. The rest of a larger one is then unread, as
 * with `readBody`.
 *
 * @throws The connection's error when the caller disconnects while sending the
 *   body.
 * @example
 * const body = await readJsonBody(req);
 */
export async function readJsonBody(req: IncomingMessage): Promise<unknown> {
  const body = await readBody(req, MAX_BODY_BYTES);
  return body === undefined ? undefined : parseJson(body);
}

/**
 * Ends a response whose head has been written. If part of the request body has
 * not arrived yet, the response is sent at once, and ended after the body has
 * been read and dropped: closing a connection with unread data resets it, and
 * the caller loses the response. A caller that pauses for too long or sends more
 * than `MAX_DROPPED_BYTES` loses its connection.
 *
 * @param maxPauseMs - Longest pause within the rest of the body, in ms.
 * @example
 * res.writeHead(413, {'content-length': text.length});
 * endResponse(res, text);
 */
export function endResponse(
  res: ServerResponse,
  body: string | Buffer,
  maxPauseMs = MAX_DROP_PAUSE_MS,
): void {
  const {req} = res;
  if (!isBodyUnread(req)) {
    res.end(body);
    return;
  }
  res.write(body);
  dropBody(req, maxPauseMs, () => {
    if (res.destroyed) return;
    res.end(() => {
      if (!req.complete) req.socket.destroy();
    });
  });
}

function isBodyUnread({complete, headers}: IncomingMessage): boolean {
  if (complete) return false;
  return (
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > 0
  );
}

/**
 * Drops the rest of a body, and calls `finish` once after its end, at a limit,
 * or when the caller disconnects.
 */
function dropBody(
  req: IncomingMessage,
  maxPauseMs: number,
  finish: () => void,
): void {
  let droppedBytes = 0;
  const framing = resolveFramingShare(req);
  const stopAndFinish = () => {
    timeout.stop();
    req.off('data', receive);
    stopObserving();
    req.pause();
    finish();
  };
  let timeout = new ReadTimeout(stopAndFinish, maxPauseMs);
  const receive = (part: Buffer) => {
    timeout.stop();
    droppedBytes += part.length;
    if (droppedBytes > MAX_DROPPED_BYTES || !framing.add(part)) {
      stopAndFinish();
      return;
    }
    timeout = new ReadTimeout(stopAndFinish, maxPauseMs);
  };
  const stopObserving = finished(req, {writable: false}, stopAndFinish);
  req.on('data', receive);
  req.resume();
}

/**
 * Writes a JSON response and ends it.
 *
 * @example
 * sendJson(res, 200, {ok: true});
 */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  endResponse(res, text);
}

/**
 * Writes the head of a server-sent events (SSE) response.
 *
 * @example
 * startSse(res); writeSse(res, {seq: 0});
 */
export function startSse(res: ServerResponse): void {
  res.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
  });
}

/**
 * Writes one SSE event; `data` is sent as is when it is a string, else as JSON.
 *
 * @example
 * writeSse(res, {seq: 1, text: 'a'}, 'token');
 */
export function writeSse(
  res: ServerResponse,
  data: unknown,
  event?: string,
): void {
  const payload = typeof data === 'string' ? data : JSON.stringify(data);
  res.write(
    `${event === undefined ? '' : `event: ${event}\n`}data: ${payload}\n\n`,
  );
}
