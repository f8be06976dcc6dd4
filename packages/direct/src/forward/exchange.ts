/**
 * Sends one request to one target over a new connection. A kept-alive
 * connection may have been closed unnoticed, may be dead, or may hold bytes of
 * an earlier response.
 */
import {connect} from 'node:net';
import {ReadTimeout, isEndedByClose, observeEnd} from '@nutmeggauge/core';
import {ExchangeError, OversizedAnswerError} from '../errors.js';
import {openRequest} from './open-request.js';
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionEnd} from '@nutmeggauge/core';
import type {ExchangeFault} from '../errors.js';
import type {ResponseFraming} from './caller-response.js';
import type {ExchangeOptions} from './exchange-options.js';

/**
 * Connection timeout, in ms: longer than a round trip within a region, shorter
 * than the first retransmission of a lost SYN.
 */
const CONNECT_TIMEOUT_MS = 250;

/**
 * Lowest status of a final response. Node.js parses an invalid status such as
 * 099, but refuses to write it.
 */
const MIN_FINAL_STATUS = 200;

/**
 * Most interim heads (1xx) before a response; a server that works for long may
 * send one each second.
 */
const MAX_INTERIM_HEADS = 1000;

/**
 * Most bytes of a response that are not its body, beside a multiple of the body:
 * chunks of one byte take six, and a hundred times the time of larger ones.
 */
const MAX_FRAMING_BYTES = 256 * 1024;
const MAX_FRAMING_SHARE = 2;

/** Statuses of responses that have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Head of a target's response; the body is still to be read. */
export interface ResponseHead {
  readonly status: number;
  readonly message: IncomingMessage;
}

/** Response with the request that it answers, which Node.js sets on clients. */
type ClientMessage = IncomingMessage & {readonly req: ClientRequest};

/** Settles the promise of a response head. */
interface HeadWaiting {
  readonly resolve: (head: ResponseHead) => void;
  readonly reject: (error: ExchangeError) => void;
}

/**
 * One request to a target and its response. The request is sent when the
 * connection is open, unless its `sendCheck` withholds it.
 *
 * @example
 * const exchange = openExchange(options);
 * const head = await exchange.head;
 */
export class Exchange {
  /** Resolves with the response head; rejects with an ExchangeError. */
  readonly head: Promise<ResponseHead>;
  /** Resolves with how the connection ended. */
  readonly end: Promise<ConnectionEnd>;
  private readonly socket: Socket;
  /** Request being sent; absent until the connection is open. */
  private request: ClientRequest | undefined;
  private isCancelled = false;
  private hasBeenReplaced = false;

  constructor(private readonly options: ExchangeOptions) {
    const {host, port} = options.target;
    this.socket = connect({host, port, noDelay: true, allowHalfOpen: true});
    this.end = observeEnd(this.socket);
    this.head = new Promise((resolve, reject) => {
      this.observeConnection({resolve, reject});
    });
    // Avoids an unhandled rejection if nothing awaits the head any more.
    this.head.catch(() => undefined);
  }

  /** True if bytes of the request may have reached the target. */
  get wasSent(): boolean {
    return this.request !== undefined;
  }

  /** True if the exchange was failed by `markBroken`. */
  get isReplaced(): boolean {
    return this.hasBeenReplaced;
  }

  /**
   * Yields the body in parts.
   *
   * @throws ExchangeError if it is truncated, or if its chunks are too small.
   */
  async *readBody({message}: ResponseHead): AsyncGenerator<Buffer> {
    let bodyBytes = 0;
    try {
      for await (const part of message as AsyncIterable<Buffer>) {
        bodyBytes += part.length;
        this.checkFraming(bodyBytes);
        yield part;
      }
    } catch (cause) {
      if (cause instanceof ExchangeError) throw cause;
      throw this.createBodyError(cause as Error);
    }
    if (!message.complete) throw this.createBodyError();
    if (findFraming(message) !== 'by-close') return;
    if ((await this.end) === 'reset') throw this.createBodyError();
  }

  /** Closes the connection, so that the target drops the request. */
  cancel(): void {
    this.isCancelled = true;
    (this.request ?? this.socket).destroy();
  }

  /** Fails the exchange in the same way as a reset by the target. */
  markBroken(): void {
    const {host, port} = this.options.target;
    this.hasBeenReplaced = true;
    (this.request ?? this.socket).destroy(
      new Error(`${host}:${port} now belongs to another server`),
    );
  }

  /** Registers a listener for the end of the connection. */
  onClose(listener: () => void): void {
    this.socket.once('close', listener);
  }

  private observeConnection(waiting: HeadWaiting): void {
    const {socket} = this;
    // When the process resumes after a suspension, pending socket events are
    // handled before the timeout expires.
    const timeout = new ReadTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    const failUnsent = (cause?: Error) => {
      if (this.request !== undefined) return;
      waiting.reject(new ExchangeError(this.findFault(cause), false, cause));
      // A request that counts as not sent must not be sent later.
      socket.destroy();
    };
    socket.once('connect', () => {
      timeout.stop();
      void this.sendWhenRead(waiting);
    });
    socket.on('error', failUnsent);
    socket.once('end', () => failUnsent());
    socket.once('close', () => {
      timeout.stop();
      failUnsent();
    });
  }

  /** Sends the request, after what has arrived if the connection took long. */
  private async sendWhenRead(waiting: HeadWaiting): Promise<void> {
    const {sendCheck} = this.options;
    if (sendCheck?.isLate) await sendCheck.waitForReads();
    if (this.socket.destroyed) return;
    if (sendCheck === undefined || sendCheck.isWanted())
      return this.sendRequest(waiting);
    waiting.reject(new ExchangeError('withheld', false));
    this.socket.destroy();
  }

  private sendRequest(waiting: HeadWaiting): void {
    const {bytes} = this.options.body;
    const opened = openRequest(this.options, this.socket);
    if (opened instanceof ExchangeError) {
      waiting.reject(opened);
      this.socket.destroy();
      return;
    }
    this.request = opened;
    this.waitForHead(opened, waiting);
    opened.end(bytes.length > 0 ? bytes : undefined);
  }

  private waitForHead(
    request: ClientRequest,
    {resolve, reject}: HeadWaiting,
  ): void {
    let hasHead = false;
    let interimHeads = 0;
    request.on('information', () => {
      if (++interimHeads <= MAX_INTERIM_HEADS) return;
      reject(new OversizedAnswerError('interim-heads', MAX_INTERIM_HEADS));
      request.destroy();
    });
    request.once('response', message => {
      hasHead = true;
      const {statusCode: status = 0} = message;
      if (status >= MIN_FINAL_STATUS) return resolve({status, message});
      reject(new ExchangeError('malformed', true));
      request.destroy();
    });
    // Bytes after a complete response raise errors too, but the response
    // remains valid.
    request.on('error', cause => {
      if (hasHead) return;
      reject(new ExchangeError(this.findFault(cause), true, cause));
    });
    request.once('close', () => {
      if (hasHead) return;
      reject(new ExchangeError(this.findFault(), true));
    });
  }

  /** Checks how much of what was read is neither body nor worth parsing. */
  private checkFraming(bodyBytes: number): void {
    const allowed = MAX_FRAMING_BYTES + MAX_FRAMING_SHARE * bodyBytes;
    if (this.socket.bytesRead - bodyBytes > allowed)
      throw new OversizedAnswerError('framing', MAX_FRAMING_BYTES);
  }

  private createBodyError(cause?: Error): ExchangeError {
    const fault = this.isCancelled ? 'cancelled' : 'truncated';
    return new ExchangeError(fault, true, cause);
  }

  private findFault(cause?: Error): ExchangeFault {
    if (this.isCancelled) return 'cancelled';
    if (!this.wasSent) return 'connect';
    const code = (cause as NodeJS.ErrnoException | undefined)?.code ?? '';
    return code.startsWith('HPE_') ? 'malformed' : 'reset';
  }
}

/**
 * Returns how the end of a response is marked.
 *
 * @example
 * findFraming(message); // 'length'
 */
export function findFraming(message: IncomingMessage): ResponseFraming {
  const {headers, statusCode = 0, req} = message as ClientMessage;
  if (BODILESS_STATUSES.has(statusCode)) return 'no-body';
  if (req.method === 'HEAD') return 'no-body';
  if (isEndedByClose(headers)) return 'by-close';
  return headers['content-length'] === undefined ? 'chunked' : 'length';
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
