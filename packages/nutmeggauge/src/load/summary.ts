/**
 * Turns caller results into the figures the users measure: answered,
 * refused, unknown, lost, doubled, and TTFT by prompt-length bucket.
 */
import {createLatencyHistogram} from '@nutmeggauge/core';
import {LENGTH_BUCKETS, resolveBucket} from './workload.js';
import type {LatencySummary} from '@nutmeggauge/core';
import type {CallerResult} from './client.js';
import type {PlannedRequest} from './workload.js';

/** One execution the plain service recorded. */
export interface ExecutionRecord {
  readonly requestId: string;
  readonly ledgerKey?: string;
}

/** Figures of one run. */
export interface RunSummary {
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly refusedByReason: Readonly<Record<string, number>>;
  readonly unknown: number;
  /** Requests with neither a whole answer nor an honest final word. */
  readonly lost: number;
  /** Not-repeatable keys that ran more than once. */
  readonly doubled: number;
  /** Order calls whose repeat got a different slip than the first. */
  readonly repeatMismatches: number;
  readonly ttftByBucket: Readonly<Record<string, LatencySummary>>;
}

/**
 * Summarises one run.
 *
 * @example
 * const summary = summarizeRun(plan, results, executions);
 */
export function summarizeRun(
  plan: readonly PlannedRequest[],
  results: readonly CallerResult[],
  executions: readonly ExecutionRecord[],
): RunSummary {
  const byIndex = new Map(plan.map(p => [p.index, p]));
  const histograms = new Map<string, ReturnType<typeof createLatencyHistogram>>(
    LENGTH_BUCKETS.map(b => [b.name, createLatencyHistogram()]),
  );
  const refusedByReason: Record<string, number> = {};
  for (const result of results) {
    const planned = byIndex.get(result.index);
    if (result.verdict === 'refused') {
      const reason = `${result.errorType}:${result.reason}`;
      refusedByReason[reason] = (refusedByReason[reason] ?? 0) + 1;
    }
    if (
      planned?.kind !== 'generate' ||
      result.verdict !== 'answered' ||
      result.ttftMs === undefined
    )
      continue;
    histograms
      .get(resolveBucket(planned.promptTokens))
      ?.recordMs(result.ttftMs);
  }
  const runsByKey = new Map<string, number>();
  for (const execution of executions) {
    const key = execution.ledgerKey ?? execution.requestId;
    runsByKey.set(key, (runsByKey.get(key) ?? 0) + 1);
  }
  const slips = new Map<string, Set<number>>();
  for (const result of results) {
    const planned = byIndex.get(result.index);
    if (planned?.kind !== 'order' || result.slip === undefined) continue;
    const set = slips.get(planned.idempotencyKey) ?? new Set<number>();
    set.add(result.slip);
    slips.set(planned.idempotencyKey, set);
  }
  const count = (verdict: CallerResult['verdict']) =>
    results.filter(r => r.verdict === verdict).length;
  return {
    sent: results.length,
    answered: count('answered'),
    refused: count('refused'),
    refusedByReason,
    unknown: count('unknown'),
    lost: count('broken') + (plan.length - results.length),
    doubled: [...runsByKey.values()].filter(n => n > 1).length,
    repeatMismatches: [...slips.values()].filter(s => s.size > 1).length,
    ttftByBucket: Object.fromEntries(
      [...histograms].map(([name, h]) => [name, h.summarize()]),
    ),
  };
}

/**
 * Renders a summary as the lines the demo prints.
 *
 * @example
 * console.log(formatSummary(summary));
 */
export function formatSummary(summary: RunSummary): string {
  const lines = [
    `sent ${summary.sent}  answered ${summary.answered}  refused ${summary.refused}  unknown ${summary.unknown}  lost ${summary.lost}  doubled ${summary.doubled}`,
  ];
  for (const [reason, n] of Object.entries(summary.refusedByReason))
    lines.push(`  refused ${reason}: ${n}`);
  lines.push('TTFT ms by prompt length   count     p50      p95      p99');
  for (const [bucket, s] of Object.entries(summary.ttftByBucket)) {
    const cell = (v: number) =>
      (s.count === 0 ? '-' : v.toFixed(1)).padStart(8);
    lines.push(
      `  ${bucket.padEnd(24)}${String(s.count).padStart(6)} ${cell(s.p50)} ${cell(s.p95)} ${cell(s.p99)}`,
    );
  }
  return lines.join('\n');
}
