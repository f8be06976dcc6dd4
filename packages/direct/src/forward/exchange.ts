/**
 * One request to one target over a connection of its own: a kept one may have
 * closed unseen, gone silent, or hold bytes of an earlier answer.
 */
import {request as sendRequest} from 'node:http';
import {ReadTimeout} from '@nutmeggauge/core';
import {ExchangeError} from '../errors.js';
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {ExchangeFault} from '../errors.js';
import type {RawHeaders, Target} from '../types.js';
import type {ResponseFraming} from './caller-response.js';

/**
 * Connection timeout, in ms: above the round trip within a region, below the
 * first retransmission of a lost SYN.
 */
const CONNECT_TIMEOUT_MS = 250;

/**
 * Lowest final status. Node parses a garbled status such as 099, but refuses to
 * write it.
 */
const MIN_FINAL_STATUS = 200;

/** A request to a target. */
export interface ExchangeOptions {
  readonly target: Target;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** Head of a target's answer; the body follows. */
export interface ResponseHead {
  readonly status: number;
  readonly message: IncomingMessage;
}

/**
 * An exchange under way.
 *
 * @example
 * const exchange = openExchange(options);
 * const head = await exchange.head;
 */
export class Exchange {
  /** Resolves with the head; rejects with an ExchangeError. */
  readonly head: Promise<ResponseHead>;
  /** Absent if the head could not be written. */
  private readonly request: ClientRequest | undefined;
  private isConnected = false;
  private isCancelled = false;
  private hasFailed = false;

  private readonly target: Target;

  constructor(options: ExchangeOptions) {
    this.target = options.target;
    const opened = openRequest(options);
    if (opened instanceof ExchangeError) {
      this.head = Promise.reject(opened);
    } else {
      this.request = opened;
      this.head = this.waitForHead(opened);
      this.observeConnection(opened);
      opened.end(options.body.length > 0 ? options.body : undefined);
    }
    // The head may be of no interest any more.
    this.head.catch(() => undefined);
  }

  /** True if bytes of the request may have reached the target. */
  get wasSent(): boolean {
    return this.isConnected;
  }

  /**
   * True if the body that ended is complete. Without a length Node's parser
   * takes a reset for the end of the body, so only the socket's error shows it.
   */
  private isWhole(message: IncomingMessage): boolean {
    if (!message.complete) return false;
    return findFraming(message) === 'framed' || !this.hasFailed;
  }

  /** Reads the body; rejects with an ExchangeError if it is cut off. */
  async *readBody({message}: ResponseHead): AsyncGenerator<Buffer> {
    try {
      yield* message as AsyncIterable<Buffer>;
    } catch (cause) {
      throw new ExchangeError('truncated', true, cause as Error);
    }
    if (!this.isWhole(message)) throw new ExchangeError('truncated', true);
  }

  /** Reads the whole body; rejects with an ExchangeError if it is cut off. */
  async readWholeBody(head: ResponseHead): Promise<Buffer> {
    const parts: Buffer[] = [];
    for await (const part of this.readBody(head)) parts.push(part);
    return Buffer.concat(parts);
  }

  /** Closes the connection, so that the target drops the request. */
  cancel(): void {
    this.isCancelled = true;
    this.request?.destroy();
  }

  /** Fails the exchange as a reset by its target would. */
  markBroken(): void {
    const {host, port} = this.target;
    this.request?.destroy(new Error(`${host}:${port} has another server`));
  }

  /** Registers a listener for the end of the connection. */
  onClose(listener: () => void): void {
    if (this.request === undefined) listener();
    else this.request.once('close', listener);
  }

  private observeConnection(request: ClientRequest): void {
    request.once('socket', socket => {
      // After a suspension, sockets are read before the timeout counts.
      const timeout = new ReadTimeout(
        () => request.destroy(),
        CONNECT_TIMEOUT_MS,
      );
      socket.once('connect', () => {
        this.isConnected = true;
        timeout.stop();
      });
      socket.once('close', () => timeout.stop());
    });
  }

  private waitForHead(request: ClientRequest): Promise<ResponseHead> {
    return new Promise((resolve, reject) => {
      let hasHead = false;
      request.once('response', message => {
        hasHead = true;
        const {statusCode: status = 0} = message;
        if (status >= MIN_FINAL_STATUS) return resolve({status, message});
        reject(new ExchangeError('malformed', true));
        request.destroy();
      });
      // Bytes after a complete answer raise errors too and change nothing.
      request.on('error', cause => {
        this.hasFailed = true;
        if (hasHead) return;
        reject(
          new ExchangeError(this.findFault(cause), this.isConnected, cause),
        );
      });
      request.once('close', () => {
        if (hasHead) return;
        reject(new ExchangeError(this.findFault(), this.isConnected));
      });
    });
  }

  private findFault(cause?: Error): ExchangeFault {
    if (this.isCancelled) return 'cancelled';
    if (!this.isConnected) return 'connect';
    const code = (cause as NodeJS.ErrnoException | undefined)?.code ?? '';
    return code.startsWith('HPE_') ? 'malformed' : 'reset';
  }
}

/**
 * Begins to send a request. Node throws for a header value with invalid
 * characters.
 */
function openRequest(options: ExchangeOptions): ClientRequest | ExchangeError {
  try {
    return sendRequest({
      host: options.target.host,
      port: options.target.port,
      method: options.method,
      path: options.path,
      headers: options.headers,
      setHost: false,
      agent: false,
    });
  } catch (cause) {
    return new ExchangeError('unwritable', false, cause as Error);
  }
}

/**
 * Finds how the end of an answer is marked.
 *
 * @example
 * findFraming(message); // 'framed'
 */
export function findFraming(message: IncomingMessage): ResponseFraming {
  const {headers} = message;
  const isFramed =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  return isFramed ? 'framed' : 'by-close';
}

/**
 * Sends a request to a target.
 *
 * @example
 * const {status} = await openExchange(options).head;
 */
export function openExchange(options: ExchangeOptions): Exchange {
  return new Exchange(options);
}
