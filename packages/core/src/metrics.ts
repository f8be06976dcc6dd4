/**
 * Counters and latency histograms. Events are counted; log lines are written
 * only for changes of state. Histograms use hdr-histogram-js with microsecond
 * resolution.
 */
import * as hdr from 'hdr-histogram-js';

/** Number of samples of one histogram, and its percentiles in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** Highest latency that a histogram tracks, in microseconds: one hour. */
const HIGHEST_TRACKABLE_US = 3_600_000_000;

/**
 * A latency histogram recorded in milliseconds and stored in microseconds.
 *
 * @example
 * const ttft = createLatencyHistogram();
 * ttft.recordMs(12.5);
 * ttft.summarize().p95; // 12.5
 */
export class LatencyHistogram {
  private readonly histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_TRACKABLE_US,
    numberOfSignificantValueDigits: 3,
  });

  /**
   * Records one latency. Values below zero are recorded as zero, values over
   * one hour as one hour.
   */
  recordMs(ms: number): void {
    const us = Math.min(
      HIGHEST_TRACKABLE_US,
      Math.max(0, Math.round(ms * 1000)),
    );
    this.histogram.recordValue(us);
  }

  /** Returns the number of samples, and the percentiles in milliseconds. */
  summarize(): LatencySummary {
    const read = (percentile: number) =>
      this.histogram.getValueAtPercentile(percentile) / 1000;
    return {
      count: this.histogram.totalCount,
      p50: read(50),
      p95: read(95),
      p99: read(99),
      max: this.histogram.maxValue / 1000,
    };
  }
}

/**
 * Creates an empty latency histogram.
 *
 * @example
 * const latencies = createLatencyHistogram();
 */
export function createLatencyHistogram(): LatencyHistogram {
  return new LatencyHistogram();
}

/**
 * Named monotonic counters of one process, exposed at `/metrics` and read by
 * benchmarks.
 *
 * @example
 * const counters = createCounters();
 * counters.add('admission.refused');
 * counters.read()['admission.refused']; // 1
 */
export class Counters {
  private readonly values = new Map<string, number>();

  /** Adds `by` (default 1) to the counter `name`. */
  add(name: string, by = 1): void {
    this.values.set(name, (this.values.get(name) ?? 0) + by);
  }

  /** Returns a snapshot of every counter, sorted by name. */
  read(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this.values.entries()].sort(([a], [b]) => a.localeCompare(b)),
    );
  }
}

/**
 * Creates an empty set of counters.
 *
 * @example
 * const counters = createCounters();
 */
export function createCounters(): Counters {
  return new Counters();
}
