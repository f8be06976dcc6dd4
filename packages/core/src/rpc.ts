/**
 * JSON-RPC 2.0 links. A link runs over one TCP socket, with one JSON message
 * per line, and owns the socket: other code only calls, notifies and closes the
 * link.
 */
import {connect} from 'node:net';
import {createInterface} from 'node:readline';
import {
  JSONRPCClient,
  JSONRPCErrorException,
  JSONRPCServer,
  JSONRPCServerAndClient,
  createJSONRPCErrorResponse,
} from 'json-rpc-2.0';
import {RpcClosedError, RpcFailedError} from './errors.js';
import {createLogger} from './log.js';
import {ReadTimeout} from './read-timeout.js';
import type {Socket} from 'node:net';
import type {Counters} from './metrics.js';

/** Largest message of a peer unless a link sets another bound, in bytes. */
const MAX_MESSAGE_BYTES = 128 * 1024 * 1024;

const LINE_END = '\n'.charCodeAt(0);

/** Error code of a call that fails without an answer of the peer. */
const DEFAULT_ERROR_CODE = 0;

const log = createLogger('rpc');

/** Handler of a method or notification; receives the params unvalidated. */
export type RpcHandler = (params: unknown) => unknown;

/**
 * One end of a JSON-RPC link.
 *
 * @example
 * const link = createRpcLink(socket);
 * link.handle('ping', () => 'pong');
 * await link.call('ping', {});
 */
export class RpcLink {
  private readonly peer: JSONRPCServerAndClient;
  private readonly closeListeners: Array<() => void> = [];
  private closed = false;
  private lastCallId = 0;
  /** Bytes of the message that is arriving. */
  private partialBytes = 0;

  constructor(
    private readonly socket: Socket,
    private readonly counters?: Counters,
    private readonly maxMessageBytes = MAX_MESSAGE_BYTES,
  ) {
    this.peer = new JSONRPCServerAndClient(
      new JSONRPCServer({errorListener: warnUnexpectedError}),
      new JSONRPCClient(
        message => this.send(message),
        () => ++this.lastCallId,
      ),
    );
    socket.setNoDelay(true);
    const lines = createInterface({input: socket, crlfDelay: Infinity});
    lines.on('line', line => this.receive(line));
    socket.on('data', part => this.checkLength(part));
    // The line reader also emits the errors of its socket.
    lines.on('error', () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.markClosed());
  }

  /** True once the socket has closed; calls then fail with RpcClosedError. */
  get isClosed(): boolean {
    return this.closed;
  }

  /** Number of bytes read from the peer. */
  get bytesRead(): number {
    return this.socket.bytesRead;
  }

  /** Registers the handler of a method or notification named `method`. */
  handle(method: string, handler: RpcHandler): void {
    this.peer.addMethod(method, params => handler(params));
  }

  /**
   * Calls `method` and resolves with its result.
   *
   * @param timeoutMs - Longest wait for the answer, in ms; when absent, the
   *   call waits until the link closes.
   * @throws RpcClosedError when the link closes before the answer;
   *   RpcFailedError when the peer answers with an error or the call times
   *   out.
   */
  async call<T>(
    method: string,
    params: object,
    timeoutMs?: number,
  ): Promise<T> {
    if (this.closed) {
      throw new RpcClosedError(
        {info: {method}},
        `JSON-RPC link closed before the call of ${method}`,
      );
    }
    const answer = this.peer.request(
      method,
      params as Record<string, unknown>,
      undefined,
    );
    const timeout = this.startCallTimeout(this.lastCallId, timeoutMs);
    try {
      return (await answer) as T;
    } catch (cause) {
      if (this.closed) {
        throw new RpcClosedError(
          {cause: cause as Error, info: {method}},
          `JSON-RPC link closed during the call of ${method}`,
        );
      }
      throw new RpcFailedError(
        {cause: cause as Error, info: {method}},
        `JSON-RPC call of ${method} failed`,
      );
    } finally {
      timeout?.stop();
    }
  }

  /** Fails a call that has no answer when the timeout expires. */
  private startCallTimeout(
    id: number,
    timeoutMs: number | undefined,
  ): ReadTimeout | undefined {
    if (timeoutMs === undefined) return undefined;
    const failCall = () =>
      void this.peer.receiveAndSend(
        createJSONRPCErrorResponse(id, DEFAULT_ERROR_CODE, 'Request timeout'),
        undefined,
        undefined,
      );
    return new ReadTimeout(
      failCall,
      Math.max(1, timeoutMs),
      () => this.bytesRead,
    );
  }

  /** Sends a notification; does nothing when the link is closed. */
  notify(method: string, params: object): void {
    if (this.closed) return;
    this.peer.notify(method, params as Record<string, unknown>, undefined);
  }

  /**
   * Registers a listener that runs once when the link closes, or at once when
   * the link is already closed.
   */
  onClose(listener: () => void): void {
    if (this.closed) {
      listener();
      return;
    }
    this.closeListeners.push(listener);
  }

  /**
   * Closes the link after it has been idle for `idleMs`, in ms. A peer that is
   * suspended or unreachable does not close its connection.
   */
  closeWhenIdle(idleMs: number): void {
    this.socket.setTimeout(idleMs, () => {
      // A suspended process has not read its sockets when the timeout fires.
      const {bytesRead} = this;
      setImmediate(() => {
        if (this.bytesRead === bytesRead) this.close();
      });
    });
  }

  /** Closes the socket; outstanding calls fail with RpcClosedError. */
  close(): void {
    this.socket.destroy();
  }

  /** Closes the link if a message passes its bound, as it may have no end. */
  private checkLength(part: Buffer): void {
    const end = part.lastIndexOf(LINE_END);
    this.partialBytes =
      end < 0 ? this.partialBytes + part.length : part.length - end - 1;
    if (this.partialBytes <= this.maxMessageBytes || this.closed) return;
    this.counters?.add('rpc.oversized');
    log.warn('rpc_message_oversized', {
      peer: this.socket.remoteAddress,
      limit: this.maxMessageBytes,
    });
    this.close();
  }

  private send(message: unknown): void {
    if (this.closed) return;
    const line = JSON.stringify(message) + '\n';
    this.countBytes('out', message, line.length);
    this.socket.write(line);
  }

  private receive(line: string): void {
    // The reader goes on with the lines that it has.
    if (this.socket.destroyed) return;
    let message: unknown;
    try {
      message = JSON.parse(line);
    } catch {
      // Invalid JSON: the peer uses another protocol.
      this.close();
      return;
    }
    // Bytes are counted by method name, so the method must be a string.
    if (!isMethodValid(message)) return this.close();
    this.countBytes('in', message, line.length + 1);
    // Rejects for JSON that is not JSON-RPC: the peer uses another protocol.
    this.peer
      .receiveAndSend(message, undefined, undefined)
      .catch(() => this.close());
  }

  /**
   * Counts bytes and messages by method; responses name no method and count as
   * `result`.
   */
  private countBytes(
    direction: 'in' | 'out',
    message: unknown,
    bytes: number,
  ): void {
    const method = (message as {method?: string} | null)?.method ?? 'result';
    this.counters?.add(`rpc.${direction}.${method}.bytes`, bytes);
    this.counters?.add(`rpc.${direction}.${method}.messages`);
  }

  private markClosed(): void {
    if (this.closed) return;
    this.closed = true;
    this.peer.rejectAllPendingRequests('JSON-RPC link closed');
    for (const listener of this.closeListeners.splice(0)) listener();
  }
}

/**
 * Returns whether the method is a string or, as in responses, absent. Batches are
 * refused: one line may ask for more than the memory holds.
 */
function isMethodValid(message: unknown): boolean {
  if (Array.isArray(message)) return false;
  const method = (message as {method?: unknown} | null)?.method;
  return method === undefined || typeof method === 'string';
}

/**
 * Creates an error that a handler throws to answer a call with an error code.
 *
 * @example
 * throw createRpcError(1, 'busy');
 */
export function createRpcError(code: number, message: string): Error {
  return new JSONRPCErrorException(message, code);
}

/**
 * Returns the error code with which the peer answered a call; undefined for any
 * other error.
 *
 * @example
 * link.call('take', {}).catch(error => findRpcErrorCode(error) === 1);
 */
export function findRpcErrorCode(error: unknown): number | undefined {
  if (!(error instanceof RpcFailedError)) return undefined;
  const cause: unknown = error.cause();
  return cause instanceof JSONRPCErrorException ? cause.code : undefined;
}

/** Logs handler errors, except those that answer a call with an error code. */
function warnUnexpectedError(message: string, error: unknown): void {
  if (!(error instanceof JSONRPCErrorException)) console.warn(message, error);
}

/**
 * Creates a JSON-RPC link over a socket.
 *
 * @param counters - Receives the `rpc.*` counters of bytes and messages by
 *   method.
 * @param maxMessageBytes - Largest message of the peer, in bytes; the link closes
 *   above it. By default 128 MiB.
 * @example
 * const link = createRpcLink(net.connect(7001, '127.0.0.1'));
 */
export function createRpcLink(
  socket: Socket,
  counters?: Counters,
  maxMessageBytes?: number,
): RpcLink {
  return new RpcLink(socket, counters, maxMessageBytes);
}

/**
 * Connects to a JSON-RPC listener.
 *
 * @param address - Address of the listener, `host:port`.
 * @param timeoutMs - Longest time to connect, in ms. When absent, the system's
 *   timeout applies, which is minutes for an unreachable host.
 * @param maxMessageBytes - As for `createRpcLink`.
 * @throws The system's error (ECONNREFUSED, EHOSTUNREACH) when the connection
 *   fails; RpcFailedError when the timeout expires.
 * @example
 * const link = await openRpcLink('10.0.1.5:7101', counters);
 */
export function openRpcLink(
  address: string,
  counters?: Counters,
  timeoutMs = 0,
  maxMessageBytes?: number,
): Promise<RpcLink> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host);
    // The error handler stays registered for later errors. It destroys the
    // socket, which could otherwise still connect after the promise is
    // rejected.
    socket.on('error', error => {
      socket.destroy();
      reject(error);
    });
    const expire = () => {
      const message = `connection to ${address} timed out`;
      reject(new RpcFailedError({info: {address}}, message));
      socket.destroy();
    };
    const timeout =
      timeoutMs > 0 ? new ReadTimeout(expire, timeoutMs) : undefined;
    socket.once('close', () => timeout?.stop());
    socket.once('connect', () => {
      timeout?.stop();
      resolve(createRpcLink(socket, counters, maxMessageBytes));
    });
  });
}
