/** Requests without a complete answer, and the end of their connections. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
 * The open requests of one server.
 *
 * @example
 * const requests = new OpenRequests();
 * server.on('request', (req, res) => requests.observe(req, res));
 */
export class OpenRequests {
  private readonly sockets = new Map<ServerResponse, Socket>();
  private isEnding = false;

  /** Number of requests whose answer is not sent. */
  get count(): number {
    return this.sockets.size;
  }

  /** Takes in a request that has just arrived. */
  observe(req: IncomingMessage, res: ServerResponse): void {
    this.sockets.set(res, req.socket);
    res.once('close', () => this.sockets.delete(res));
    if (this.isEnding) res.shouldKeepAlive = false;
  }

  /**
   * Makes each answer the last one on its connection, so that no caller reuses
   * the connection of a process that ends.
   */
  endConnections(): void {
    this.isEnding = true;
    for (const [res, socket] of this.sockets) {
      if (!res.headersSent) res.shouldKeepAlive = false;
      else res.once('finish', () => socket.end());
    }
  }
}
