/** How long calls take, so that a stop can tell which of them end in time. */

/** Shortest time for which an answer is remembered, in ms. */
const WINDOW_MS = 30_000;

/** Calls of one route that are open. */
type OpenCalls = Set<{readonly startedAt: number}>;

/** A call whose time is measured. */
export interface MeasuredCall {
  /** Ends the measurement of a call that has been answered. */
  readonly finish: () => void;
  /** Ends the measurement of a call without an answer; a repeated end is ignored. */
  readonly drop: () => void;
}

/**
 * Longest times of recent calls, by route.
 *
 * @example
 * const call = times.begin('orders');
 * call.finish();
 * times.readLongestMs('orders'); // 5800
 */
export class CallTimes {
  private readonly open = new Map<string, OpenCalls>();
  private recent = new Map<string, number>();
  private older = new Map<string, number>();
  private windowEndsAt = -Infinity;

  /** @param readNow - Reads the monotonic clock, in ms. */
  constructor(private readonly readNow: () => number) {}

  /** Begins to measure a call that is being sent to a target. */
  begin(route: string): MeasuredCall {
    const call = {startedAt: this.readNow()};
    const calls: OpenCalls = this.open.get(route) ?? new Set();
    this.open.set(route, calls.add(call));
    const drop = () => {
      calls.delete(call);
      if (calls.size === 0 && this.open.get(route) === calls)
        this.open.delete(route);
    };
    const finish = () => {
      this.record(route, this.readNow() - call.startedAt);
      drop();
    };
    return {finish, drop};
  }

  /**
   * Returns the longest time of a recent call, in ms; of one that is still open, the
   * time so far. 0 if there was none.
   */
  readLongestMs(route: string): number {
    this.advance();
    const [oldest] = this.open.get(route) ?? [];
    const openMs = oldest === undefined ? 0 : this.readNow() - oldest.startedAt;
    const {recent, older} = this;
    return Math.max(openMs, recent.get(route) ?? 0, older.get(route) ?? 0);
  }

  private record(route: string, ms: number): void {
    this.advance();
    this.recent.set(route, Math.max(ms, this.recent.get(route) ?? 0));
  }

  /** Forgets what is older than two windows. */
  private advance(): void {
    const now = this.readNow();
    if (now < this.windowEndsAt) return;
    const isOutdated = now >= this.windowEndsAt + WINDOW_MS;
    this.older = isOutdated ? new Map() : this.recent;
    this.recent = new Map();
    this.windowEndsAt = now + WINDOW_MS;
  }
}
