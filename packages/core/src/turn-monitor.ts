/**
 * Measures the turns of the event loop and what they are spent on. While a turn
 * runs, the process reads neither its sockets nor its timers.
 */
import {PerformanceObserver} from 'node:perf_hooks';
import {createLatencyHistogram} from './metrics.js';
import type {LatencySummary} from './metrics.js';

/** Length from which a turn is reported as slow, in ms. */
export const SLOW_TURN_MS = 100;

/** Shortest time between two reports of slow turns, in ms. */
const REPORT_INTERVAL_MS = 1000;

/** Work of one kind in one turn. */
export interface TurnWork {
  readonly cause: string;
  readonly count: number;
  /** Time without the work of other kinds that it contains, in ms. */
  readonly ms: number;
}

/** Turn that took at least {@link SLOW_TURN_MS}. */
export interface SlowTurn {
  readonly ms: number;
  /** Work of the turn, longest first. */
  readonly work: readonly TurnWork[];
  /** Slow turns since the previous report, including this one. */
  readonly turns: number;
}

/** Total work of one kind since the start. */
interface TotalWork {
  count: number;
  ms: number;
}

/** Dependencies of a turn monitor. */
export interface TurnMonitorOptions {
  readonly readNow: () => number;
  /** Called for a slow turn, at most once a second. */
  readonly onSlowTurn: (turn: SlowTurn) => void;
}

/**
 * Measures turns of the event loop from the first work that is run through it.
 *
 * @example
 * const monitor = new TurnMonitor({readNow, onSlowTurn: turn => log(turn)});
 * monitor.run('heartbeat', () => this.sendHeartbeats());
 */
export class TurnMonitor {
  private readonly lengths = createLatencyHistogram();
  private readonly totals = new Map<string, TotalWork>();
  private readonly turnWork = new Map<string, TotalWork>();
  /** Time of work within the work that runs, in ms. */
  private innerMs = 0;
  private turnStartedAt: number | undefined;
  private reportedAt = -Infinity;
  private unreportedTurns = 0;
  private gcObserver: PerformanceObserver | undefined;

  constructor(private readonly options: TurnMonitorOptions) {}

  /** Starts to measure garbage collection. */
  start(): void {
    this.gcObserver = new PerformanceObserver(list => {
      for (const {duration} of list.getEntries())
        addWork(this.totals, 'gc', duration);
    });
    this.gcObserver.observe({entryTypes: ['gc']});
  }

  /** Stops measuring garbage collection. */
  stop(): void {
    this.gcObserver?.disconnect();
  }

  /** Runs work and adds its time to `cause`. */
  run<T>(cause: string, work: () => T): T {
    const {readNow} = this.options;
    const startedAt = readNow();
    this.startTurn(startedAt);
    const outerInnerMs = this.innerMs;
    this.innerMs = 0;
    try {
      return work();
    } finally {
      const ms = readNow() - startedAt;
      const ownMs = Math.max(0, ms - this.innerMs);
      this.innerMs = outerInnerMs + ms;
      addWork(this.turnWork, cause, ownMs);
      addWork(this.totals, cause, ownMs);
    }
  }

  /**
   * Returns the time since the running turn began, in ms; 0 before its first
   * measured work.
   */
  readTurnAgeMs(): number {
    if (this.turnStartedAt === undefined) return 0;
    return this.options.readNow() - this.turnStartedAt;
  }

  /** Returns the lengths of the turns in which measured work ran. */
  summarizeLengths(): LatencySummary {
    return this.lengths.summarize();
  }

  /** Returns the total count and time of each kind of work, as counters. */
  readTotals(): Readonly<Record<string, number>> {
    const totals: Record<string, number> = {};
    for (const [cause, {count, ms}] of this.totals) {
      totals[`turn.${cause}`] = count;
      totals[`turn.${cause}_ms`] = Math.round(ms);
    }
    return totals;
  }

  private startTurn(now: number): void {
    if (this.turnStartedAt !== undefined) return;
    this.turnStartedAt = now;
    // Runs after the sockets have been read, at the end of this turn.
    setImmediate(() => this.endTurn());
  }

  private endTurn(): void {
    const now = this.options.readNow();
    const ms = now - (this.turnStartedAt ?? now);
    this.turnStartedAt = undefined;
    this.innerMs = 0;
    this.lengths.recordMs(ms);
    if (ms >= SLOW_TURN_MS) this.notifySlowTurn(ms, now);
    this.turnWork.clear();
  }

  private notifySlowTurn(ms: number, now: number): void {
    this.unreportedTurns++;
    if (now - this.reportedAt < REPORT_INTERVAL_MS) return;
    const work = [...this.turnWork]
      .map(([cause, {count, ms: workMs}]) => ({cause, count, ms: workMs}))
      .sort((a, b) => b.ms - a.ms);
    this.options.onSlowTurn({ms, work, turns: this.unreportedTurns});
    this.reportedAt = now;
    this.unreportedTurns = 0;
  }
}

function addWork(
  works: Map<string, TotalWork>,
  cause: string,
  ms: number,
): void {
  const work = works.get(cause);
  if (work === undefined) {
    works.set(cause, {count: 1, ms});
    return;
  }
  work.count++;
  work.ms += ms;
}
