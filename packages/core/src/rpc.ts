/**
 * A json-rpc 2.0 link over one TCP socket, one JSON message a line. The link
 * owns its socket: calls, notifications and the close are its only surface.
 */
import {connect} from 'node:net';
import {createInterface} from 'node:readline';
import {
  JSONRPCClient,
  JSONRPCErrorException,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from 'json-rpc-2.0';
import {RpcClosedError, RpcFailedError} from './errors.js';
import type {Socket} from 'node:net';
import type {Counters} from './metrics.js';

/** Handler of a method or a notification; params arrive as sent. */
export type RpcHandler = (params: unknown) => unknown;

/**
 * One end of a json-rpc link.
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

  constructor(
    private readonly socket: Socket,
    private readonly counters?: Counters,
  ) {
    this.peer = new JSONRPCServerAndClient(
      new JSONRPCServer({errorListener: warnOfFault}),
      new JSONRPCClient(message => this.send(message)),
    );
    socket.setNoDelay(true);
    const lines = createInterface({input: socket, crlfDelay: Infinity});
    lines.on('line', line => this.receive(line));
    // The line reader raises the socket's error once more on itself.
    lines.on('error', () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.markClosed());
  }

  /** True once the socket has closed; calls then fail with RpcClosedError. */
  get isClosed(): boolean {
    return this.closed;
  }

  /** Registers the handler of a method or notification named `method`. */
  handle(method: string, handler: RpcHandler): void {
    this.peer.addMethod(method, params => handler(params));
  }

  /**
   * Calls `method` and resolves with its result.
   *
   * @param timeoutMs - Fails the call with RpcFailedError when no answer
   *   comes in time; absent means wait until the link closes.
   * @throws RpcClosedError when the link closes first; RpcFailedError when
   *   the peer answers with an error or the timeout passes.
   */
  async call<T>(
    method: string,
    params: object,
    timeoutMs?: number,
  ): Promise<T> {
    if (this.closed) {
      throw new RpcClosedError(
        {info: {method}},
        `link closed before ${method}`,
      );
    }
    try {
      const requester =
        timeoutMs === undefined
          ? this.peer
          : this.peer.timeout(Math.max(1, timeoutMs));
      return (await requester.request(
        method,
        params as Record<string, unknown>,
        undefined,
      )) as T;
    } catch (cause) {
      if (this.closed) {
        throw new RpcClosedError(
          {cause: cause as Error, info: {method}},
          `link closed during ${method}`,
        );
      }
      throw new RpcFailedError(
        {cause: cause as Error, info: {method}},
        `${method} failed`,
      );
    }
  }

  /** Sends a notification; dropped silently when the link is closed. */
  notify(method: string, params: object): void {
    if (this.closed) return;
    this.peer.notify(method, params as Record<string, unknown>, undefined);
  }

  /** Registers a listener run once when the link closes. */
  onClose(listener: () => void): void {
    if (this.closed) {
      listener();
      return;
    }
    this.closeListeners.push(listener);
  }

  /**
   * Closes the link after this idle time, in ms: a peer that is frozen or cut
   * off keeps its connection open.
   */
  closeWhenIdle(idleMs: number): void {
    this.socket.setTimeout(idleMs, () => this.close());
  }

  /** Closes the socket; outstanding calls fail with RpcClosedError. */
  close(): void {
    this.socket.destroy();
  }

  private send(message: unknown): void {
    if (this.closed) return;
    const line = JSON.stringify(message) + '\n';
    this.countBytes('out', message, line.length);
    this.socket.write(line);
  }

  private receive(line: string): void {
    let message: unknown;
    try {
      message = JSON.parse(line);
    } catch {
      // The peer speaks another protocol.
      this.close();
      return;
    }
    // Only a text can be counted as a method.
    if (!isNamed(message)) return this.close();
    this.countBytes('in', message, line.length + 1);
    // The peer speaks another protocol.
    this.peer
      .receiveAndSend(message, undefined, undefined)
      .catch(() => this.close());
  }

  /** Bytes by method; answers to calls carry none and count as `result`. */
  private countBytes(way: 'in' | 'out', message: unknown, bytes: number): void {
    const method = (message as {method?: string} | null)?.method ?? 'result';
    this.counters?.add(`rpc.${way}.${method}.bytes`, bytes);
    this.counters?.add(`rpc.${way}.${method}.messages`);
  }

  private markClosed(): void {
    if (this.closed) return;
    this.closed = true;
    this.peer.rejectAllPendingRequests('link closed');
    for (const listener of this.closeListeners.splice(0)) listener();
  }
}

/** True for answers as well, which name no method. */
function isNamed(message: unknown): boolean {
  const method = (message as {method?: unknown} | null)?.method;
  return method === undefined || typeof method === 'string';
}

/**
 * Creates an error that answers a call with a code.
 *
 * @example
 * throw createRpcRefusal(1, 'busy');
 */
export function createRpcRefusal(code: number, message: string): Error {
  return new JSONRPCErrorException(message, code);
}

/**
 * Finds the code with which the peer refused a call.
 *
 * @example
 * link.call('take', {}).catch(error => findRefusalCode(error) === 1);
 */
export function findRefusalCode(error: unknown): number | undefined {
  if (!(error instanceof RpcFailedError)) return undefined;
  const cause: unknown = error.cause();
  return cause instanceof JSONRPCErrorException ? cause.code : undefined;
}

function warnOfFault(message: string, error: unknown): void {
  if (!(error instanceof JSONRPCErrorException)) console.warn(message, error);
}

/**
 * Wraps a connected socket in a json-rpc link.
 *
 * @param counters - Takes `rpc.*` figures, bytes and messages by method.
 *
 * @example
 * const link = createRpcLink(net.connect(7001, '127.0.0.1'));
 */
export function createRpcLink(socket: Socket, counters?: Counters): RpcLink {
  return new RpcLink(socket, counters);
}

/**
 * Connects to a json-rpc listener.
 *
 * @param address - Where it listens, `host:port`.
 * @param timeoutMs - Longest time for the connection; absent waits for the
 *   system, which takes minutes for a host that is cut off.
 * @throws The system's error (ECONNREFUSED, EHOSTUNREACH) when it cannot;
 *   RpcFailedError when the timeout passes.
 * @example
 * const link = await openRpcLink('10.0.1.5:7101', counters);
 */
export function openRpcLink(
  address: string,
  counters?: Counters,
  timeoutMs = 0,
): Promise<RpcLink> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host);
    // Stays registered for later errors; a socket that connects after all is
    // closed.
    socket.on('error', error => {
      socket.destroy();
      reject(error);
    });
    socket.setTimeout(timeoutMs, () => {
      const message = `no connection to ${address} in time`;
      reject(new RpcFailedError({info: {address}}, message));
      socket.destroy();
    });
    socket.once('connect', () => {
      socket.setTimeout(0);
      socket.removeAllListeners('timeout');
      resolve(createRpcLink(socket, counters));
    });
  });
}
