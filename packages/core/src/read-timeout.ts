/**
 * Timeouts for data expected from a peer. A process that resumes after a
 * suspension runs its timers before it reads its sockets, so data that arrived
 * in time may still be unread when a plain timer fires.
 */

/**
 * A timeout that expires only after the event loop has read pending data once.
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
   */
  constructor(expire: () => void, ms: number) {
    this.timer = setTimeout(
      () => setImmediate(() => this.isStopped || expire()),
      ms,
    );
  }

  /** Cancels the timeout; later calls have no effect. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }
}
