/** Greets gates that have not been heard from, more often at first. */

/** Delay until a gate that has not answered is greeted again, in ms. */
const FIRST_DELAY_MS = 50;

/** Factor by which the delay grows with each greeting. */
const DELAY_FACTOR = 2;

/** Dependencies of the greetings. */
export interface JoinRetryOptions {
  /** Lists the hosts of known gates that have not been heard from. */
  readonly listUnheard: () => readonly string[];
  /** Asks these hosts for a heartbeat. */
  readonly greet: (hosts: readonly string[]) => void;
  /**
   * Delay at which regular heartbeats do as well, in ms; the greetings then end.
   */
  readonly maxDelayMs: number;
}

/**
 * Repeats the greeting of gates that may still be starting. A gate that has not
 * heard from its peers takes the engines that they use for idle ones.
 *
 * @example
 * const joins = new JoinRetry({listUnheard, greet, maxDelayMs: 1000});
 * joins.start();
 */
export class JoinRetry {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: JoinRetryOptions) {}

  /** Starts with the shortest delay, also if greetings are under way. */
  start(): void {
    this.stop();
    this.schedule(FIRST_DELAY_MS);
  }

  /** Ends the greetings. */
  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private schedule(delayMs: number): void {
    if (delayMs >= this.options.maxDelayMs) return;
    this.timer = setTimeout(() => {
      const hosts = this.options.listUnheard();
      if (hosts.length === 0) return;
      this.options.greet(hosts);
      this.schedule(delayMs * DELAY_FACTOR);
    }, delayMs);
  }
}
