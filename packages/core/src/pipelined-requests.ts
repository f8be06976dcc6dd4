/**
 * Closes connections on which too many requests wait for their answers: a caller
 * may send requests without end, and read none of the answers.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Most unanswered requests of a connection; callers rarely send a second one. */
const MAX_UNANSWERED = 100;

/**
 * Counts the unanswered requests of each connection of one HTTP server.
 *
 * @example
 * const pipelined = new PipelinedRequests(() => counters.add('closed'));
 * if (!pipelined.admit(req, res)) return;
 */
export class PipelinedRequests {
  private readonly unanswered = new WeakMap<Socket, number>();

  /** @param onClose - Called once for each connection that is closed. */
  constructor(private readonly onClose: (peer: string | undefined) => void) {}

  /**
   * Admits a request; returns false, and closes its connection, if too many
   * requests before it are unanswered.
   */
  admit({socket}: IncomingMessage, res: ServerResponse): boolean {
    // The parser goes on with what it has been given.
    if (socket.destroyed) return false;
    const count = this.countUnanswered(socket);
    if (count >= MAX_UNANSWERED) {
      this.onClose(socket.remoteAddress);
      socket.destroy();
      return false;
    }
    this.unanswered.set(socket, count + 1);
    res.once('close', () =>
      this.unanswered.set(socket, this.countUnanswered(socket) - 1),
    );
    return true;
  }

  private countUnanswered(socket: Socket): number {
    return this.unanswered.get(socket) ?? 0;
  }
}
