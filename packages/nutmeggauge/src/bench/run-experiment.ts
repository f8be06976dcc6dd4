/**
 * Runs an experiment. Each variant gets a fresh cluster, which first serves
 * only the short prompts as a baseline and then the mixed load with fault
 * injection. The seeded arrivals are the same for every variant.
 */
import {join} from 'node:path';
import {waitMs} from '@nutmeggauge/core';
import {startLocalCluster} from '../cluster/local-cluster.js';
import {formatExit} from '../cluster/owned-process.js';
import {buildDemoRecord} from '../defaults.js';
import {runFaults} from '../faults/schedule.js';
import {readExecutions} from '../load/executions.js';
import {runPlan} from '../load/run-plan.js';
import {summarizeRun} from '../load/summary.js';
import {LENGTH_BUCKETS, planWorkload} from '../load/workload.js';
import {buildAccounts, buildWorkload} from './experiment.js';
import {UsageSampler} from './usage-sampler.js';
import type {LatencySummary} from '@nutmeggauge/core';
import type {LocalCluster} from '../cluster/local-cluster.js';
import type {RunSummary} from '../load/summary.js';
import type {Experiment, LoadPhase, Variant} from './experiment.js';
import type {RoleUsage} from './usage-sampler.js';

/**
 * Ratio of the TTFT of short prompts under mixed load to their TTFT without
 * other load, at two percentiles.
 */
export interface HeadOfLineSlowdown {
  readonly p50: number;
  readonly p95: number;
}

/** Results of one variant. */
export interface VariantResult {
  readonly name: string;
  readonly alone: RunSummary;
  readonly mixed: RunSummary;
  /** Complete answers before their deadline, per second of mixed load. */
  readonly goodputPerSecond: number;
  /** Slowdown of all short prompts. */
  readonly headOfLine: HeadOfLineSlowdown;
  /** Slowdown of prompts of 1k to 8k tokens. */
  readonly headOfLineShortest: HeadOfLineSlowdown;
  /** CPU time and memory of the gates and agents under mixed load, by role. */
  readonly usage: Readonly<Record<string, RoleUsage>>;
}

/** Results of all variants of an experiment. */
export interface ExperimentResult {
  readonly experiment: Experiment;
  readonly startedAt: string;
  readonly variants: readonly VariantResult[];
}

/** Options for running an experiment. */
export interface RunExperimentOptions {
  /** Directory for the logs and settings of every variant's cluster. */
  readonly runDir: string;
  /** Prints one progress line. */
  readonly print: (line: string) => void;
}

const SHORTEST_BUCKET = LENGTH_BUCKETS[0].name;

/**
 * Pause between two phases on one cluster, which lets requests of the first
 * phase finish, in ms.
 */
const LOAD_GAP_MS = 500;

/** Number of results between two progress lines. */
const PROGRESS_INTERVAL = 500;

/**
 * Runs every variant of an experiment sequentially.
 *
 * @example
 * const result = await runExperiment(loadExperiment('experiments/hinokuni.yaml'), {runDir: 'runs/x', print: console.log});
 */
export async function runExperiment(
  experiment: Experiment,
  options: RunExperimentOptions,
): Promise<ExperimentResult> {
  const startedAt = new Date().toISOString();
  const variants: VariantResult[] = [];
  for (const [i, variant] of experiment.variants.entries()) {
    options.print(
      `[${i + 1}/${experiment.variants.length}] ${experiment.name}: ${variant.name}`,
    );
    variants.push(await runVariant(experiment, variant, options));
  }
  return {experiment, startedAt, variants};
}

function compareTtft(
  mixed: LatencySummary,
  alone: LatencySummary,
): HeadOfLineSlowdown {
  return {p50: mixed.p50 / alone.p50, p95: mixed.p95 / alone.p95};
}

async function runVariant(
  experiment: Experiment,
  variant: Variant,
  options: RunExperimentOptions,
): Promise<VariantResult> {
  const runDir = join(options.runDir, variant.name);
  const {engines, plainServices, gates, ...engine} = experiment.cluster;
  const cluster = await startLocalCluster({
    runDir,
    engines,
    plainServices,
    gates,
    engine,
    gateSettings: {
      ...variant.gate,
      estimate: {
        prefillTokensPerSecond: engine.prefillRate,
        ...(variant.gate.estimate as object | undefined),
      },
    },
    agentSettings: variant.agent,
  });
  try {
    const accounts = buildAccounts(experiment);
    await cluster.publish(buildDemoRecord(cluster.targets, accounts));
    await cluster.waitUntilReady();
    const load = (phase: LoadPhase) =>
      runLoad(experiment, cluster, phase, {...options, runDir});
    const alone = await load('short-alone');
    await waitMs(LOAD_GAP_MS);
    const sampler = new UsageSampler(cluster.listPids());
    await sampler.start();
    const [mixed] = await Promise.all([
      load('mixed'),
      runFaults(cluster, experiment.faults),
    ]);
    const usage = await sampler.finish();
    const seconds = experiment.load.durationSeconds;
    return {
      name: variant.name,
      alone,
      mixed,
      goodputPerSecond: mixed.answered / seconds,
      headOfLine: compareTtft(mixed.shortTtft, alone.shortTtft),
      headOfLineShortest: compareTtft(
        mixed.ttftByBucket[SHORTEST_BUCKET],
        alone.ttftByBucket[SHORTEST_BUCKET],
      ),
      usage,
    };
  } finally {
    await cluster.stop();
  }
}

async function runLoad(
  experiment: Experiment,
  cluster: LocalCluster,
  phase: LoadPhase,
  options: RunExperimentOptions,
): Promise<RunSummary> {
  const workload = buildWorkload(experiment, phase);
  const plan = planWorkload(workload);
  const results = await runPlan(plan, {
    gateUrls: cluster.gateUrls,
    deadlineMs: experiment.load.windowMs,
    sharedPrefixTokens: workload.sharedPrefixTokens,
    distanceMs: experiment.callers.distanceMs,
    onResult: (_result, done, total) => {
      if (done % PROGRESS_INTERVAL === 0 || done === total)
        options.print(`  ${phase}: ${done}/${total}`);
    },
  });
  const {unexpectedExits} = cluster;
  for (const exit of unexpectedExits)
    options.print(`  by itself, ${formatExit(exit)}`);
  const executions = readExecutions(options.runDir);
  return summarizeRun(plan, results, executions, unexpectedExits);
}
