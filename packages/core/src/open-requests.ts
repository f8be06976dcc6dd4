/** Tracks requests without a complete answer and closes their connections. */
import type {ServerResponse} from 'node:http';

/**
 * Tracks the open requests of one HTTP server.
 *
 * @example
 * const requests = new OpenRequests();
 * server.on('request', (req, res) => requests.add(res));
 */
export class OpenRequests {
  private readonly responses = new Set<ServerResponse>();
  private isClosing = false;

  /** Number of requests that are not completely answered. */
  get count(): number {
    return this.responses.size;
  }

  /** Adds a request that has just arrived. */
  add(res: ServerResponse): void {
    this.responses.add(res);
    res.once('close', () => this.responses.delete(res));
    if (this.isClosing) res.shouldKeepAlive = false;
  }

  /**
   * Ends each connection with its next answer, so that no caller reuses a
   * connection to a process that is shutting down. After an answer whose head
   * has been sent without that notice, the caller may already have sent another
   * request, whose answer then ends the connection.
   */
  closeConnectionsAfterAnswers(): void {
    this.isClosing = true;
    for (const res of this.responses)
      if (!res.headersSent) res.shouldKeepAlive = false;
  }
}
