/**
 * Timeouts on data from others. A resumed process runs its timers before it
 * reads, so data that arrived in time may still be unread.
 */

/**
 * A timeout that expires only after a round of reading.
 *
 * @example
 * const timeout = new ReadTimeout(() => giveUp(), 1000);
 * link.handle('accepted', () => timeout.stop());
 */
export class ReadTimeout {
  private isStopped = false;
  private readonly timer: NodeJS.Timeout;

  /**
   * @param expire - Called once, unless stopped before.
   * @param ms - Shortest time until then.
   */
  constructor(expire: () => void, ms: number) {
    this.timer = setTimeout(
      () => setImmediate(() => this.isStopped || expire()),
      ms,
    );
  }

  /** Ends the wait; further calls change nothing. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }
}
