/** Watches for an engine that has gone silent. */

/** Time in which another answer of an engine shows that it lives, in ms. */
export const HEARD_MS = 600;

/** What to do about a stall. */
export type StallVerdict = 'stop' | 'wait' | 'ignore';

/**
 * A timer that is set anew with each sign of life.
 *
 * @example
 * const stall = new StallTimer(() => 'stop');
 * stall.restart(1000);
 */
export class StallTimer {
  /** True once a stall has ended the attempt. */
  hasFired = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly judge: () => StallVerdict) {}

  /** Sets the time until the next sign of life is overdue. */
  restart(ms: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.handleExpiry(), ms);
  }

  /** Ends the watch. */
  stop(): void {
    clearTimeout(this.timer);
  }

  private handleExpiry(): void {
    const verdict = this.judge();
    this.hasFired = verdict === 'stop';
    if (verdict === 'wait') this.restart(HEARD_MS);
  }
}
