/**
 * The rest of a request's body whose response is sent before it has arrived: closing a
 * connection with unread data resets it, and the caller may lose the response.
 */
import {finished} from 'node:stream';
import {ReadTimeout} from './read-timeout.js';
import type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from 'node:http';

/**
 * Longest rest of an answered request's body that is read and dropped, in
 * bytes. A caller that sends more loses its connection.
 */
export const MAX_DROPPED_BYTES = 16 * 1024 * 1024;

/** Longest pause within the rest of an answered request's body, in ms. */
const MAX_DROP_PAUSE_MS = 5000;

/** Longest time for which the rest of a body is read and dropped, in ms. */
const MAX_DROP_MS = 15_000;

/**
 * Time for which a rest that is too large to be dropped whole is read, in ms.
 */
const LINGER_MS = 1000;

/**
 * Returns the length of a body that the head of its request announces, in bytes;
 * undefined for chunks.
 *
 * @example
 * readAnnouncedBytes({'content-length': '7'}); // 7
 */
export function readAnnouncedBytes(
  headers: IncomingHttpHeaders,
): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}

/**
 * Ends a response whose head has been written. If part of the request body has
 * not arrived yet, the response is sent at once, and ended after the body has
 * been read and dropped: closing a connection with unread data resets it, and
 * the caller loses the response. A caller that pauses for too long, sends more
 * than `MAX_DROPPED_BYTES` or takes too long loses its connection.
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
  const isTooLarge = isTooLargeToDrop(req);
  const limits = isTooLarge
    ? {maxPauseMs: LINGER_MS, maxMs: LINGER_MS}
    : {maxPauseMs, maxMs: MAX_DROP_MS};
  dropBody(req, limits, () => {
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

/** Returns whether more is announced of a body than is read and dropped. */
function isTooLargeToDrop({headers}: IncomingMessage): boolean {
  return (readAnnouncedBytes(headers) ?? 0) > MAX_DROPPED_BYTES;
}

/**
 * Tells the caller that its connection closes, if the rest of its body is not read.
 * To be called before the head of the response is written.
 *
 * @example
 * announceClose(res);
 * res.writeHead(413);
 */
export function announceClose(res: ServerResponse): void {
  const {req} = res;
  if (isBodyUnread(req) && isTooLargeToDrop(req)) res.shouldKeepAlive = false;
}

/**
 * Drops the head of a request whose answer has been sent, as its connection may stay
 * open for the rest of its body.
 *
 * @example
 * dropHead(req);
 */
export function dropHead(req: IncomingMessage): void {
  req.rawHeaders.length = 0;
  req.headers = {};
}

/** Limits on the rest of a body that is dropped. */
interface DropLimits {
  /** Longest pause, in ms. */
  readonly maxPauseMs: number;
  /** Longest time in all, in ms. */
  readonly maxMs: number;
}

/**
 * Drops the rest of a body, and calls `finish` once after its end, at a limit,
 * or when the caller disconnects.
 */
function dropBody(
  req: IncomingMessage,
  {maxPauseMs, maxMs}: DropLimits,
  finish: () => void,
): void {
  let droppedBytes = 0;
  const endsAt = performance.now() + maxMs;
  const stopAndFinish = () => {
    timeout.stop();
    req.off('data', receive);
    stopObserving();
    req.pause();
    finish();
  };
  let timeout = new ReadTimeout(stopAndFinish, Math.min(maxPauseMs, maxMs));
  const receive = (part: Buffer) => {
    timeout.stop();
    droppedBytes += part.length;
    const leftMs = endsAt - performance.now();
    if (droppedBytes > MAX_DROPPED_BYTES || leftMs <= 0) {
      stopAndFinish();
      return;
    }
    timeout = new ReadTimeout(stopAndFinish, Math.min(maxPauseMs, leftMs));
  };
  const stopObserving = finished(req, {writable: false}, stopAndFinish);
  req.on('data', receive);
  req.resume();
}
