/**
 * Request and response helpers for Node's `http` servers.
 */
import {finished} from 'node:stream/promises';
import type {IncomingMessage, ServerResponse} from 'node:http';

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
 * Reads a request body; resolves to undefined when it is larger than
 * `limitBytes`. A body over the limit is still read to its end, so that the
 * caller can receive an answer.
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
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of req as AsyncIterable<Buffer>) {
    size += part.length;
    if (size > limitBytes) parts.length = 0;
    else parts.push(part);
  }
  return size > limitBytes ? undefined : Buffer.concat(parts);
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
 * or larger than `MAX_BODY_BYTES`.
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
 * Reads a request body to its end and discards it. Closing a connection with
 * unread data resets it, and the caller loses the answer.
 *
 * @example
 * await dropBody(req);
 * sendJson(res, 503, body, {connection: 'close'});
 */
export async function dropBody(req: IncomingMessage): Promise<void> {
  req.resume();
  // A caller that disconnects while sending its body needs no answer.
  await finished(req, {writable: false}).catch(() => undefined);
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
  res.end(text);
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
