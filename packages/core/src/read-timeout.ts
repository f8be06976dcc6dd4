/**
 * Timeouts for data expected from a peer. A process that resumes after a
 * suspension runs its timers before it reads its sockets, so data that arrived
 * in time may still be unread when a plain timer fires.
 */

/**
 * Longest wait for pending data after the timeout, in ms: a peer may send
 * without end.
 */
const MAX_READ_WAIT_MS = 1000;

/**
 * A timeout that expires only after the event loop has read pending data.
 *
 * @example
 * const timeout = new ReadTimeout(() => giveUp(), 1000);
 * link.handle('accepted', () => timeout.stop());
 */
export class ReadTimeout {
  private isStopped = false;
  private readonly timer: NodeJS.Timeout;

  /**
   * @param expire - Called once on expiry, unless the timeout is stopped first.
   * @param ms - Shortest time until expiry, in ms.
   * @param countBytes - Counts the bytes read from the peer. Needed if the
   *   expected data may arrive behind other data: one iteration of the event
   *   loop reads at most 2 MiB of a socket, so the timeout then waits until an
   *   iteration reads nothing more.
   */
  constructor(
    private readonly expire: () => void,
    ms: number,
    private readonly countBytes: () => number = () => 0,
  ) {
    this.timer = setTimeout(
      () => this.readPending(performance.now() + MAX_READ_WAIT_MS),
      ms,
    );
  }

  /** Cancels the timeout; later calls have no effect. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private readPending(giveUpAt: number): void {
    const bytesBefore = this.countBytes();
    setImmediate(() => {
      if (this.isStopped) return;
      const hasMore = this.countBytes() > bytesBefore;
      if (hasMore && performance.now() < giveUpAt) this.readPending(giveUpAt);
      else this.expire();
    });
  }
}
