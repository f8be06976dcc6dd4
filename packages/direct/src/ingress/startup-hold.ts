/** Lets the first requests of a gate wait for its first facts. */
import type {FleetState} from '../fleet/fleet-state.js';

/**
 * Time after the gate starts to listen in which requests wait for the first
 * configuration and targets, in ms; a few answers of the store.
 */
const HOLD_MS = 500;

/**
 * Holds requests that arrive before a gate knows its configuration. Callers that
 * were cut off by the loss of all gates return at once and would be refused by
 * gates that need only some ms more.
 *
 * @example
 * hold.start();
 * if (!hold.isOver) await hold.wait();
 */
export class StartupHold {
  private endsAt = -Infinity;

  constructor(
    private readonly state: FleetState,
    private readonly readNow: () => number,
  ) {}

  /** Begins the time in which requests may wait. */
  start(): void {
    this.endsAt = this.readNow() + HOLD_MS;
  }

  /** Whether requests are served or refused at once. */
  get isOver(): boolean {
    return this.state.isServing || this.readNow() >= this.endsAt;
  }

  /** Resolves when the facts are known, or when requests wait no longer. */
  wait(): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(finish, this.endsAt - this.readNow());
      const stopListening = this.state.onChange(() => {
        if (this.state.isServing) finish();
      });
      function finish(): void {
        clearTimeout(timer);
        stopListening();
        resolve();
      }
    });
  }
}
