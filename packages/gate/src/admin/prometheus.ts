/**
 * Renders the gate's metrics in the Prometheus text format with prom-client.
 */
import {Counter, Gauge, Registry} from 'prom-client';
import type {LatencySummary} from '@nutmeggauge/core';

const PREFIX = 'nutmeggauge_';

function toMetricName(name: string): string {
  return `${PREFIX}${name.replace(/[^a-zA-Z0-9]/g, '_')}_total`;
}

/**
 * Renders the counters and the percentiles of the time to first token.
 *
 * @example
 * await renderPrometheus({'api.requests': 3}, ttft.summarize());
 */
export async function renderPrometheus(
  counters: Readonly<Record<string, number>>,
  ttft: LatencySummary,
): Promise<string> {
  const registers = [new Registry()];
  for (const [name, value] of Object.entries(counters))
    new Counter({name: toMetricName(name), help: name, registers}).inc(value);
  const gauge = new Gauge({
    name: `${PREFIX}ttft_ms`,
    help: 'Time to first piece at this gate, ms',
    labelNames: ['quantile'],
    registers,
  });
  for (const [quantile, value] of [
    ['0.5', ttft.p50],
    ['0.95', ttft.p95],
    ['0.99', ttft.p99],
  ] as const)
    gauge.set({quantile}, value);
  return registers[0].metrics();
}
