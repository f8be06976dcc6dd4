/**
 * The answer to one caller: a target's, unchanged, or the gate's own. A failure
 * after the head cuts the connection, so that an incomplete answer never looks
 * complete.
 */
import type {ServerResponse} from 'node:http';
import type {RawHeaders} from '../types.js';

/** Hop-by-hop header fields. */
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

/**
 * Removes hop-by-hop fields, including those that `Connection` names.
 *
 * @example
 * stripHopByHop(['Connection', 'x', 'X', '1', 'A', '2']); // ['A', '2']
 */
export function stripHopByHop(headers: RawHeaders): string[] {
  const named = new Set<string>();
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i].toLowerCase() !== 'connection') continue;
    for (const name of headers[i + 1].split(','))
      named.add(name.trim().toLowerCase());
  }
  const kept: string[] = [];
  for (let i = 0; i < headers.length; i += 2) {
    const name = headers[i].toLowerCase();
    if (HOP_BY_HOP.has(name) || named.has(name)) continue;
    kept.push(headers[i], headers[i + 1]);
  }
  return kept;
}

/**
 * How the end of an answer is marked: by its length or chunks, or by the end of
 * the connection.
 */
export type ResponseFraming = 'framed' | 'by-close';

/** Why the gate answers itself. */
export type GateErrorReason =
  | 'no_configuration'
  | 'configuration_stale'
  | 'unknown_route'
  | 'unknown_key'
  | 'body_too_large'
  | 'no_target'
  | 'not_run'
  | 'overloaded'
  | 'too_late'
  | 'timeout'
  | 'outcome_unknown'
  | 'stopping';

/**
 * One caller's answer.
 *
 * @example
 * caller.refuse(503, 'overloaded', 800);
 */
export class CallerResponse {
  /** Status sent to the caller; absent before the head. */
  status: number | undefined;
  private isUnframed = false;
  private readonly disconnectListeners: Array<() => void> = [];
  private hasDisconnected = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly isStopping: () => boolean,
  ) {
    // Writes after the end raise an error here; the answer stands.
    response.on('error', () => undefined);
    response.on('close', () => {
      if (response.writableFinished) return;
      this.hasDisconnected = true;
      for (const listener of this.disconnectListeners.splice(0)) listener();
    });
  }

  /** True if the caller's connection closed before the answer was complete. */
  get isDisconnected(): boolean {
    return this.hasDisconnected;
  }

  /** Registers a listener for the caller's disconnect. */
  onDisconnect(listener: () => void): void {
    if (this.hasDisconnected) listener();
    else this.disconnectListeners.push(listener);
  }

  /** Starts a target's answer; its body follows. */
  start(status: number, headers: RawHeaders, framing: ResponseFraming): void {
    this.status = status;
    const kept = stripHopByHop(headers);
    this.addConnectionClose(kept, framing);
    this.response.sendDate = false;
    this.response.writeHead(status, kept);
    this.response.flushHeaders();
  }

  /** Sends a part of the body. */
  write(bytes: Buffer): void {
    this.response.write(bytes);
  }

  /** Ends a complete answer. */
  finish(): void {
    this.response.end();
  }

  /** Sends a target's complete answer. */
  sendComplete(
    status: number,
    headers: RawHeaders,
    body: Buffer,
    framing: ResponseFraming,
  ): void {
    this.status = status;
    const kept = stripHopByHop(headers);
    const hasLength = kept.some(
      (name, i) => i % 2 === 0 && name.toLowerCase() === 'content-length',
    );
    if (!hasLength && framing === 'framed')
      kept.push('Content-Length', String(body.length));
    this.addConnectionClose(kept, framing);
    this.response.sendDate = false;
    this.response.writeHead(status, kept);
    this.response.end(body);
  }

  /**
   * Answers as the gate itself.
   *
   * @param retryAfterMs - Absent if a retry would not help.
   */
  refuse(status: number, reason: GateErrorReason, retryAfterMs?: number): void {
    if (this.status !== undefined) {
      this.drop();
      return;
    }
    this.status = status;
    const body = Buffer.from(JSON.stringify({error: {reason}}));
    const headers = [
      'Content-Type',
      'application/json',
      'Content-Length',
      String(body.length),
    ];
    if (retryAfterMs !== undefined)
      headers.push('Retry-After', (retryAfterMs / 1000).toFixed(3));
    if (this.isStopping()) headers.push('Connection', 'close');
    this.response.writeHead(status, headers);
    this.response.end(body);
  }

  /** Cuts the connection: the answer is incomplete. */
  drop(): void {
    // An ordinary close would end an unframed answer properly.
    if (this.isUnframed) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }

  /**
   * Adds `Connection: close` where the answer ends the connection. An answer
   * without a length stays unframed, as the gate cannot know that it is
   * complete.
   */
  private addConnectionClose(
    headers: string[],
    framing: ResponseFraming,
  ): void {
    this.isUnframed = framing === 'by-close';
    if (this.isUnframed) this.response.useChunkedEncodingByDefault = false;
    if (this.isUnframed || this.isStopping())
      headers.push('Connection', 'close');
  }
}
