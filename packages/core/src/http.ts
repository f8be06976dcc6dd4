/**
 * Request and response helpers for Node's `http` servers.
 */
import {BoundedBody} from './bounded-body.js';
import {announceClose, endResponse} from './unread-body.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {BodyFault, HeldBody} from './held-body.js';

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

/** A body that has arrived, or why it is not taken. */
export type ReceivedBody =
  | {readonly bytes: Buffer; readonly fault?: undefined}
  | {readonly bytes?: undefined; readonly fault: BodyFault};

/**
 * Receives a body that is charged to an account. After a fault, the rest is unread, so
 * the response must be sent by `sendJson` or `endResponse`.
 *
 * @throws The connection's error when the caller disconnects while sending the
 *   body.
 * @example
 * const {bytes, fault} = await receiveBody(req, new HeldBody(limits));
 */
export async function receiveBody(
  req: IncomingMessage,
  body: HeldBody,
): Promise<ReceivedBody> {
  // Destroying the request would close its connection before the response.
  const iterator = req.iterator({destroyOnReturn: false});
  for await (const part of iterator as AsyncIterable<Buffer>) {
    const fault = body.add(part);
    if (fault !== undefined) return {fault};
  }
  return {bytes: body.finish()};
}

/**
 * Reads a request body; resolves to undefined as soon as it is larger than
 * `limitBytes`. The rest is then unread, so the response must be sent by
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
  for await (const part of iterator as AsyncIterable<Buffer>)
    if (!body.add(part)) return undefined;
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
  announceClose(res);
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
