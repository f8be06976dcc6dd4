/** Clock and timers under the control of a test; sockets stay real. */
import {syncBuiltinESMExports} from 'node:module';
import {mock} from 'node:test';
import timersPromises from 'node:timers/promises';

/** Default step of the clock, in ms. */
const STEP_MS = 10;

/** Event-loop turns after each step in which sockets are read. */
const TURNS_PER_STEP = 12;

/** Real time after which a condition that is not met fails the test, in ms. */
const WAIT_LIMIT_MS = 8000;

/** Time on the fake clock after which a condition fails the test, in ms. */
const ADVANCE_LIMIT_MS = 1500;

/** Timer that runs when the fake clock reaches `at`. */
class FakeTimer {
  isCleared = false;

  /** Timers of Node.js have these methods. */
  readonly ref = () => this;
  readonly unref = () => this;

  constructor(
    public at: number,
    readonly intervalMs: number | undefined,
    readonly run: () => void,
  ) {}
}

const realTimers = {
  setTimeout: globalThis.setTimeout,
  setInterval: globalThis.setInterval,
  clearTimeout: globalThis.clearTimeout,
  clearInterval: globalThis.clearInterval,
};
const realSleep = timersPromises.setTimeout;

/**
 * Sets `setTimeout` of `node:timers/promises`, also for modules that have
 * imported it by name.
 */
function setSleep(sleep: typeof realSleep): void {
  Object.defineProperty(timersPromises, 'setTimeout', {
    value: sleep,
    configurable: true,
    enumerable: true,
    writable: true,
  });
  syncBuiltinESMExports();
}

/**
 * Replaces the monotonic clock and the timers of this process, so that time
 * passes only when a test says so.
 *
 * @example
 * const clock = startFakeClock();
 * await clock.advance(1000);
 * clock.stop();
 */
export class FakeClock {
  now: number;
  private readonly timers = new Set<FakeTimer>();

  /**
   * @param stepMs - Step of the clock, in ms.
   * @param startsAt - Time at the start, in ms. A fixed one makes runs equal:
   *   times are rounded differently after each start.
   */
  constructor(
    private readonly stepMs: number,
    startsAt: number,
  ) {
    this.now = startsAt;
    mock.method(performance, 'now', () => this.now);
    const start = (run: () => void, ms = 0) => this.startTimer(run, ms, false);
    const startInterval = (run: () => void, ms = 0) =>
      this.startTimer(run, ms, true);
    const clear = (timer: unknown) => this.cancelTimer(timer);
    Object.assign(globalThis, {
      setTimeout: start,
      setInterval: startInterval,
      clearTimeout: clear,
      clearInterval: clear,
    });
    setSleep(
      <T>(ms?: number, value?: T) =>
        new Promise<T>(resolve => start(() => resolve(value as T), ms)),
    );
  }

  /** Lets time pass in small steps, with pending I/O handled in between. */
  async advance(ms: number): Promise<void> {
    const endsAt = this.now + ms;
    while (this.now < endsAt) {
      const step = Math.min(this.stepMs, endsAt - this.now);
      this.now += step;
      this.runDue();
      for (let i = 0; i < TURNS_PER_STEP; i++) await this.runTurn();
    }
  }

  /** Handles I/O, without time passing, until `check` returns true. */
  async waitUntil(check: () => boolean): Promise<void> {
    const startedAt = Date.now();
    while (!check()) {
      if (Date.now() - startedAt > WAIT_LIMIT_MS)
        throw new Error('condition not met');
      await this.runTurn();
    }
  }

  /** Lets time pass until `check` returns true. */
  async advanceUntil(check: () => boolean): Promise<void> {
    const endsAt = this.now + ADVANCE_LIMIT_MS;
    while (!check()) {
      if (this.now > endsAt) throw new Error('condition not met');
      await this.advance(this.stepMs);
    }
  }

  /** Restores the clock and the timers. */
  stop(): void {
    mock.restoreAll();
    Object.assign(globalThis, realTimers);
    setSleep(realSleep);
  }

  private startTimer(
    run: () => void,
    ms: number,
    isRepeated: boolean,
  ): FakeTimer {
    const intervalMs = isRepeated ? Math.max(1, ms) : undefined;
    const timer = new FakeTimer(this.now + ms, intervalMs, run);
    this.timers.add(timer);
    return timer;
  }

  private cancelTimer(timer: unknown): void {
    if (!(timer instanceof FakeTimer))
      return realTimers.clearTimeout(timer as NodeJS.Timeout);
    timer.isCleared = true;
    this.timers.delete(timer);
  }

  /** Runs the timers that are due, in the order of their time. */
  private runDue(): void {
    const due = [...this.timers]
      .filter(({at}) => at <= this.now)
      .sort((a, b) => a.at - b.at);
    for (const timer of due) {
      if (timer.isCleared) continue;
      if (timer.intervalMs === undefined) this.timers.delete(timer);
      else timer.at += timer.intervalMs;
      timer.run();
    }
  }

  private runTurn(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
  }
}

/**
 * Starts a fake clock.
 *
 * @param stepMs - Step of the clock, in ms.
 * @param startsAt - Time at the start, in ms; the present one unless given.
 */
export function startFakeClock(
  stepMs = STEP_MS,
  startsAt = performance.now(),
): FakeClock {
  return new FakeClock(stepMs, startsAt);
}
