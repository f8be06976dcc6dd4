/**
 * Runs an experiment: for each variant a fresh cluster, the short prompts
 * alone, then the mixed load with its faults, on the same seeded arrivals.
 */
import {join} from 'node:path';
import {waitMs} from '@nutmeggauge/core';
import {startLocalCluster} from '../cluster/local-cluster.js';
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

/** TTFT under mixed load over TTFT alone, at two percentiles. */
export interface HeadOfLineSlowdown {
  readonly p50: number;
  readonly p95: number;
}

/** Figures of one variant. */
export interface VariantResult {
  readonly name: string;
  readonly alone: RunSummary;
  readonly mixed: RunSummary;
  /** Whole answers within their window, a second of mixed load. */
  readonly goodputPerSecond: number;
  /** TTFT of short prompts under mixed load over the same alone. */
  readonly headOfLine: HeadOfLineSlowdown;
  /** The same for prompts of 1k to 8k tokens only. */
  readonly headOfLineShortest: HeadOfLineSlowdown;
  /** Processor time and memory of the gates and agents under mixed load. */
  readonly usage: Readonly<Record<string, RoleUsage>>;
}

/** All figures of an experiment. */
export interface ExperimentResult {
  readonly experiment: Experiment;
  readonly startedAt: string;
  readonly variants: readonly VariantResult[];
}

/** Options of a run. */
export interface RunExperimentOptions {
  /** Folder for the logs and settings of every variant's cluster. */
  readonly runDir: string;
  /** Prints one line of progress. */
  readonly print: (line: string) => void;
}

const SHORTEST_BUCKET = LENGTH_BUCKETS[0].name;

/** Pause between two loads on one cluster, so that the first one's end is over, in ms. */
const LOAD_GAP_MS = 500;

/** Requests between two lines of progress. */
const PROGRESS_INTERVAL = 500;

/**
 * Runs every variant of an experiment, one after the other.
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
  return summarizeRun(plan, results, readExecutions(options.runDir));
}
