/**
 * Renders counters, gauges and latency quantiles as text, one value per line.
 */
import type {LatencySummary} from '@nutmeggauge/core';

const PREFIX = 'nutmeggauge_';

/** Values of all metrics of one process. */
export interface MetricValues {
  readonly counters: Readonly<Record<string, number>>;
  readonly gauges: Readonly<Record<string, number>>;
  readonly latencies: Readonly<Record<string, LatencySummary>>;
}

function toMetricName(name: string): string {
  return PREFIX + name.replace(/[^a-zA-Z0-9]/g, '_');
}

/**
 * Renders metrics in the Prometheus text format. Names of latencies end with
 * `_ms`; their quantiles are computed by the histograms.
 *
 * @example
 * renderMetrics({counters: {'call.answered': 3}, gauges: {}, latencies: {}});
 */
export function renderMetrics(values: MetricValues): string {
  const lines: string[] = [];
  for (const [name, value] of Object.entries(values.counters))
    lines.push(`${toMetricName(name)}_total ${value}`);
  for (const [name, value] of Object.entries(values.gauges))
    lines.push(`${toMetricName(name)} ${value}`);
  for (const [name, latency] of Object.entries(values.latencies)) {
    const metric = `${toMetricName(name)}_ms`;
    lines.push(`${metric}{quantile="0.5"} ${latency.p50}`);
    lines.push(`${metric}{quantile="0.95"} ${latency.p95}`);
    lines.push(`${metric}{quantile="0.99"} ${latency.p99}`);
    lines.push(`${metric}_count ${latency.count}`);
  }
  return lines.join('\n') + '\n';
}
