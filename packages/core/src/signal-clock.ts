/**
 * Tells how long a signal may have waited for its handler. A process handles
 * signals between two turns of its event loop only, and none while it is
 * suspended.
 */

/** Interval at which the event loop is observed, in ms. */
const OBSERVE_INTERVAL_MS = 50;

/**
 * Keeps a time before which every signal that has come has been handled.
 *
 * @example
 * const clock = new SignalClock(() => performance.now());
 * clock.start();
 * process.on('SIGTERM', () => stop(clock.readEarliest()));
 */
export class SignalClock {
  private handledUntil: number;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param readNow - Reads the time, in ms.
   * @param observedSince - Time before which no signal can have come, in ms.
   */
  constructor(
    private readonly readNow: () => number,
    observedSince = readNow(),
  ) {
    this.handledUntil = observedSince;
  }

  /** Starts to observe the event loop. */
  start(): void {
    setTimeout(() => this.recordTurn(), 0).unref();
    this.timer = setInterval(() => this.recordTurn(), OBSERVE_INTERVAL_MS);
    this.timer.unref();
  }

  /** Stops observing the event loop. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Returns the earliest time at which a signal that is handled now can have come,
   * in ms; {@link OBSERVE_INTERVAL_MS} before now at most while turns are short.
   */
  readEarliest(): number {
    return this.handledUntil;
  }

  /** Records a turn; must be called by a timer, before the turn's poll phase. */
  private recordTurn(): void {
    const now = this.readNow();
    // Runs after the poll phase, in which the signals until now are handled.
    setImmediate(() => {
      this.handledUntil = now;
    });
  }
}
