/**
 * Summarizes caller results and target executions: outcome counts (answered,
 * refused, unknown, lost), duplicate executions, false "not run" answers, time
 * to first token by prompt length, and inter-token latency.
 */
import {createLatencyHistogram} from '@nutmeggauge/core';
import {formatExit} from '../cluster/owned-process.js';
import {LENGTH_BUCKETS, resolveBucket} from './workload.js';
import type {LatencyHistogram, LatencySummary} from '@nutmeggauge/core';
import type {ProcessExit} from '../cluster/owned-process.js';
import type {CallerResult, Verdict} from './client.js';
import type {ExecutionRecord} from './executions.js';
import type {PlannedRequest} from './workload.js';

/** Summary of one run. */
export interface RunSummary {
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly refusedByReason: Readonly<Record<string, number>>;
  readonly unknown: number;
  /**
   * Number of requests that got neither a complete answer nor an error report.
   */
  readonly lost: number;
  /** Description of each lost request as its caller observed it. */
  readonly losses: readonly string[];
  /** Number of idempotency keys with more than one execution. */
  readonly doubled: number;
  /**
   * Number of requests that a gate reported as not executed although a target
   * ran them.
   */
  readonly falseNotRun: number;
  /** Number of orders whose sends returned different slip numbers. */
  readonly repeatMismatches: number;
  /** Processes that ended although the run did not end them. */
  readonly unexpectedExits: readonly ProcessExit[];
  readonly ttftByBucket: Readonly<Record<string, LatencySummary>>;
  /** TTFT of prompts of up to 32k tokens, which run in the short lane. */
  readonly shortTtft: LatencySummary;
  /** Inter-token latency of streamed answers. */
  readonly gaps: LatencySummary;
}

/** Prompt-length buckets that run in the short lane. */
const SHORT_BUCKETS: ReadonlySet<string> = new Set(['1k-8k', '8k-32k']);

/**
 * Summarizes one run.
 *
 * @param executions - Executions of all targets, read from their logs.
 * @example
 * const summary = summarizeRun(plan, results, readExecutions(runDir), cluster.unexpectedExits);
 */
export function summarizeRun(
  plan: readonly PlannedRequest[],
  results: readonly CallerResult[],
  executions: readonly ExecutionRecord[],
  unexpectedExits: readonly ProcessExit[],
): RunSummary {
  const byIndex = new Map(plan.map(p => [p.index, p]));
  const count = (verdict: Verdict) =>
    results.filter(result => result.verdict === verdict).length;
  return {
    sent: results.length,
    answered: count('answered'),
    refused: count('refused'),
    refusedByReason: countRefusalReasons(results),
    unknown: count('unknown'),
    lost: count('broken') + (plan.length - results.length),
    losses: results
      .filter(({verdict}) => verdict === 'broken')
      .map(({kind, index, brokenBy}) => `${kind} ${index}: ${brokenBy}`),
    doubled: countDuplicates(executions),
    falseNotRun: countFalseNotRun(results, executions),
    repeatMismatches: countRepeatMismatches(byIndex, results),
    unexpectedExits,
    ...summarizeLatencies(byIndex, results),
  };
}

function countRefusalReasons(
  results: readonly CallerResult[],
): Readonly<Record<string, number>> {
  const reasons: Record<string, number> = {};
  for (const {verdict, errorType, reason} of results) {
    if (verdict !== 'refused') continue;
    const name = `${errorType}:${reason}`;
    reasons[name] = (reasons[name] ?? 0) + 1;
  }
  return reasons;
}

function countDuplicates(executions: readonly ExecutionRecord[]): number {
  const runs = new Map<string, number>();
  for (const {ledgerKey} of executions) {
    if (ledgerKey !== undefined)
      runs.set(ledgerKey, (runs.get(ledgerKey) ?? 0) + 1);
  }
  return [...runs.values()].filter(n => n > 1).length;
}

function countFalseNotRun(
  results: readonly CallerResult[],
  executions: readonly ExecutionRecord[],
): number {
  const executedIds = new Set(executions.map(execution => execution.requestId));
  return results.filter(
    ({verdict, requestId}) =>
      verdict === 'refused' &&
      requestId !== undefined &&
      executedIds.has(requestId),
  ).length;
}

function countRepeatMismatches(
  byIndex: ReadonlyMap<number, PlannedRequest>,
  results: readonly CallerResult[],
): number {
  const slips = new Map<string, Set<number>>();
  for (const {index, slip} of results) {
    const planned = byIndex.get(index);
    if (planned?.kind !== 'order' || slip === undefined) continue;
    const held = slips.get(planned.orderName) ?? new Set<number>();
    slips.set(planned.orderName, held.add(slip));
  }
  return [...slips.values()].filter(held => held.size > 1).length;
}

function summarizeLatencies(
  byIndex: ReadonlyMap<number, PlannedRequest>,
  results: readonly CallerResult[],
): Pick<RunSummary, 'ttftByBucket' | 'shortTtft' | 'gaps'> {
  const byBucket = new Map<string, LatencyHistogram>(
    LENGTH_BUCKETS.map(bucket => [bucket.name, createLatencyHistogram()]),
  );
  const short = createLatencyHistogram();
  const gaps = createLatencyHistogram();
  for (const {index, verdict, ttftMs, gapsMs} of results) {
    const planned = byIndex.get(index);
    if (planned?.kind !== 'generate' || verdict !== 'answered') continue;
    if (ttftMs === undefined) continue;
    const bucket = resolveBucket(planned.promptTokens);
    byBucket.get(bucket)?.recordMs(ttftMs);
    if (SHORT_BUCKETS.has(bucket)) short.recordMs(ttftMs);
    for (const gap of gapsMs) gaps.recordMs(gap);
  }
  return {
    ttftByBucket: Object.fromEntries(
      [...byBucket].map(([name, histogram]) => [name, histogram.summarize()]),
    ),
    shortTtft: short.summarize(),
    gaps: gaps.summarize(),
  };
}

/**
 * Returns true if the run had no lost request, no duplicate execution, no
 * false "not run" answer, no repeated order with a different slip number and no
 * process that ended by itself.
 */
export function isClean(summary: RunSummary): boolean {
  return (
    summary.lost === 0 &&
    summary.doubled === 0 &&
    summary.falseNotRun === 0 &&
    summary.repeatMismatches === 0 &&
    summary.unexpectedExits.length === 0
  );
}

/**
 * Formats a summary as text lines for the terminal.
 *
 * @example
 * console.log(formatSummary(summary));
 */
export function formatSummary(summary: RunSummary): string {
  const lines = [
    `sent ${summary.sent}  answered ${summary.answered}  refused ${summary.refused}  unknown ${summary.unknown}  lost ${summary.lost}  doubled ${summary.doubled}  false-not-run ${summary.falseNotRun}`,
  ];
  for (const [reason, n] of Object.entries(summary.refusedByReason))
    lines.push(`  refused ${reason}: ${n}`);
  for (const loss of summary.losses) lines.push(`  lost ${loss}`);
  for (const exit of summary.unexpectedExits)
    lines.push(`  by itself, ${formatExit(exit)}`);
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
