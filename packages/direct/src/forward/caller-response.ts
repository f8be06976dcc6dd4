/**
 * Response to one caller: either a target's response, passed through, or an
 * error from the gate. A failure after the head has been sent closes the
 * connection, so that an incomplete response never looks complete.
 */
import {announceClose, endResponse} from '@nutmeggauge/core';
import type {ServerResponse} from 'node:http';
import type {RawHeaders} from '../types.js';

/** Hop-by-hop header fields, which are never forwarded. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Bytes that may wait for a caller before no more is read for it. */
const MAX_UNREAD_BYTES = 64 * 1024;

/**
 * Removes hop-by-hop header fields, including those that `Connection` lists.
 *
 * @example
 * stripHopByHop(['Connection', 'x', 'X', '1', 'A', '2']); // ['A', '2']
 */
export function stripHopByHop(headers: RawHeaders): string[] {
  const listedNames = new Set<string>();
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i].toLowerCase() !== 'connection') continue;
    for (const name of headers[i + 1].split(','))
      listedNames.add(name.trim().toLowerCase());
  }
  const kept: string[] = [];
  for (let i = 0; i < headers.length; i += 2) {
    const name = headers[i].toLowerCase();
    if (HOP_BY_HOP.has(name) || listedNames.has(name)) continue;
    kept.push(headers[i], headers[i + 1]);
  }
  return kept;
}

/**
 * How the end of a response is marked: by its length, by its last chunk, by a method
 * or status without a body, or by the end of the connection.
 */
export type ResponseFraming = 'length' | 'chunked' | 'no-body' | 'by-close';

/** Reason that the gate gives when it responds with an error of its own. */
export type GateErrorReason =
  | 'no_configuration'
  | 'configuration_stale'
  | 'unknown_route'
  | 'unknown_key'
  | 'body_too_large'
  /** Callers make the gate hold as much as its memory allows. */
  | 'no_memory'
  | 'no_target'
  | 'not_run'
  | 'overloaded'
  | 'too_late'
  /** Servers have crashed under requests with the same content. */
  | 'crashes_servers'
  | 'timeout'
  | 'outcome_unknown'
  | 'stopping';

/**
 * Response to one caller.
 *
 * @example
 * caller.refuse(503, 'overloaded', 800);
 */
export class CallerResponse {
  /** Status sent to the caller; absent until the head is sent. */
  status: number | undefined;
  /** How the end of a target's response is marked; absent until the head is sent. */
  framing: ResponseFraming | undefined;
  /** Number of bytes of the body that were written. */
  bodyBytes = 0;
  private readonly disconnectListeners: Array<() => void> = [];
  private hasDisconnected = false;
  private hasBeenDropped = false;
  private hasBeenRefused = false;

  /**
   * @param maxPauseMs - Longest pause within the rest of the body of a request
   *   that is refused before its body has arrived, in ms.
   */
  constructor(
    private readonly response: ServerResponse,
    private readonly maxPauseMs: number,
  ) {
    // A write after the end emits an error that does not affect the response.
    response.on('error', () => undefined);
    response.on('close', () => {
      if (response.writableFinished) return;
      this.hasDisconnected = true;
      for (const listener of this.disconnectListeners.splice(0)) listener();
    });
  }

  /**
   * True if the caller closed its connection before the response was complete.
   * Known from the end of its bytes on, before the connection has closed.
   */
  get isDisconnected(): boolean {
    if (this.hasDisconnected) return true;
    const {socket, writableFinished} = this.response;
    return !writableFinished && socket?.readableEnded === true;
  }

  /** Whether the caller has got an answer or its begin, or has disconnected. */
  get isOver(): boolean {
    return this.status !== undefined || this.isDisconnected;
  }

  /** Whether the gate has broken the answer off. */
  get isDropped(): boolean {
    return this.hasBeenDropped;
  }

  /**
   * Whether the gate has sent an error of its own; what is left is at most the rest of
   * the request's body.
   */
  get isRefused(): boolean {
    return this.hasBeenRefused;
  }

  /** Whether the whole answer has been passed to the operating system. */
  get isFlushed(): boolean {
    return this.response.writableFinished;
  }

  /** Whether the whole answer has been written; the caller may still read it. */
  get isEnded(): boolean {
    return this.response.writableEnded;
  }

  /**
   * Registers a listener for the caller's disconnect; calls it at once if the
   * caller has already disconnected.
   */
  onDisconnect(listener: () => void): void {
    if (this.hasDisconnected) listener();
    else this.disconnectListeners.push(listener);
  }

  /** Registers a listener that runs once the response has been sent or dropped. */
  onClose(listener: () => void): void {
    if (this.response.closed) listener();
    else this.response.once('close', listener);
  }

  /** Whether the caller reads fast enough for more to be written. */
  get hasRoom(): boolean {
    const {closed, writableLength} = this.response;
    return closed || writableLength < MAX_UNREAD_BYTES;
  }

  /** Waits until the caller has read what was written, or has disconnected. */
  async waitForRoom(): Promise<void> {
    if (this.hasRoom) return;
    const {response} = this;
    await new Promise<void>(resolve => {
      const finish = () => {
        response.off('drain', finish);
        response.off('close', finish);
        resolve();
      };
      response.once('drain', finish);
      response.once('close', finish);
    });
  }

  /**
   * Sends the head of a response whose body `write` sends.
   *
   * @param framing - How the end of the body is marked; callers of HTTP/1.0 get
   *   no chunks.
   */
  start(status: number, headers: RawHeaders, framing: ResponseFraming): void {
    this.status = status;
    const {response} = this;
    const kept = stripHopByHop(headers).filter(
      (_, i, fields) =>
        framing === 'length' ||
        fields[i - (i % 2)].toLowerCase() !== 'content-length',
    );
    if (framing === 'by-close') response.useChunkedEncodingByDefault = false;
    const hasChunks = response.useChunkedEncodingByDefault;
    this.framing = framing === 'chunked' && !hasChunks ? 'by-close' : framing;
    if (this.framing === 'by-close') {
      kept.push('Connection', 'close');
      this.dropAtDisconnect();
    }
    response.sendDate = false;
    response.writeHead(status, kept);
    response.flushHeaders();
  }

  /**
   * Resets the connection of a caller that closes its side, which Node.js answers
   * with a close: that would look like the end of the response.
   */
  private dropAtDisconnect(): void {
    const {response} = this;
    const {socket} = response;
    socket?.prependOnceListener('end', () => {
      if (!response.writableFinished) socket.resetAndDestroy();
    });
  }

  /** Sends a part of the response body. */
  write(bytes: Buffer): void {
    this.bodyBytes += bytes.length;
    this.response.write(bytes);
  }

  /** Sends parts of the response body together. */
  writeAll(parts: readonly Buffer[]): void {
    this.response.cork();
    for (const part of parts) this.write(part);
    this.response.uncork();
  }

  /** Ends a complete response. */
  finish(): void {
    this.response.end();
  }

  /**
   * Sends a target's complete response. One without a length stays so, because the
   * gate cannot know whether it is complete; it is written at once.
   */
  sendComplete(
    status: number,
    headers: RawHeaders,
    body: Buffer,
    framing: ResponseFraming,
  ): void {
    this.status = status;
    this.framing = framing === 'chunked' ? 'length' : framing;
    this.bodyBytes = body.length;
    const kept = stripHopByHop(headers);
    if (framing === 'chunked') kept.push('Content-Length', String(body.length));
    if (framing === 'by-close') {
      this.response.useChunkedEncodingByDefault = false;
      kept.push('Connection', 'close');
    }
    this.response.sendDate = false;
    this.response.writeHead(status, kept);
    this.response.end(body);
  }

  /**
   * Sends an error response of the gate; closes the connection if the head of
   * another response has been sent.
   *
   * @param retryAfterMs - Delay for Retry-After, in ms; absent if a retry would
   *   not help.
   */
  refuse(status: number, reason: GateErrorReason, retryAfterMs?: number): void {
    if (this.status !== undefined) {
      this.drop();
      return;
    }
    this.status = status;
    this.hasBeenRefused = true;
    const body = Buffer.from(JSON.stringify({error: {reason}}));
    const headers = [
      'Content-Type',
      'application/json',
      'Content-Length',
      String(body.length),
    ];
    if (retryAfterMs !== undefined)
      headers.push('Retry-After', (retryAfterMs / 1000).toFixed(3));
    announceClose(this.response);
    this.response.writeHead(status, headers);
    endResponse(this.response, body, this.maxPauseMs);
  }

  /** Closes the connection to show that the response is incomplete. */
  drop(): void {
    this.hasBeenDropped = true;
    // Without chunks an ordinary close may mark the end of the response.
    if (!this.response.useChunkedEncodingByDefault)
      this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }
}
