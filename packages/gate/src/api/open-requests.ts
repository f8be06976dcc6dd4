/** Tracks requests without a complete answer and closes their connections. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Tracks the open requests of one HTTP server.
 *
 * @example
 * const requests = new OpenRequests();
 * server.on('request', (req, res) => requests.add(req, res));
 */
export class OpenRequests {
  private readonly sockets = new Map<ServerResponse, Socket>();
  private isClosing = false;

  /** Number of requests that are not completely answered. */
  get count(): number {
    return this.sockets.size;
  }

  /** Adds a request that has just arrived. */
  add(req: IncomingMessage, res: ServerResponse): void {
    this.sockets.set(res, req.socket);
    res.once('close', () => this.sockets.delete(res));
    if (this.isClosing) res.shouldKeepAlive = false;
  }

  /**
   * Closes each connection after its current answer, so that no caller reuses
   * a connection to a process that is shutting down.
   */
  closeConnectionsAfterAnswers(): void {
    this.isClosing = true;
    for (const [res, socket] of this.sockets) {
      if (!res.headersSent) res.shouldKeepAlive = false;
      else res.once('finish', () => socket.end());
    }
  }
}
