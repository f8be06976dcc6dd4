/**
 * Command `nutmeggauge demo`: starts a complete deployment on loopback, sends
 * the default workload through the gates, and prints a summary of the results.
 */
import {startLocalCluster} from './cluster/local-cluster.js';
import {
  DEMO_FAULTS,
  DEMO_WORKLOAD,
  FAULT_WORKLOAD,
  buildDemoRecord,
} from './defaults.js';
import {runFaults} from './faults/schedule.js';
import {readExecutions} from './load/executions.js';
import {runPlan} from './load/run-plan.js';
import {formatSummary, summarizeRun} from './load/summary.js';
import {planWorkload} from './load/workload.js';
import type {CallerResult} from './load/client.js';
import type {RunSummary} from './load/summary.js';

/** Options of the demo. */
export interface DemoOptions {
  /** Folder for the settings files and logs of this run only. */
  readonly runDir: string;
  readonly seed: number;
  /** Routing policy of the gates. */
  readonly routing: string;
  /** Whether faults are injected while the load runs. */
  readonly faults: boolean;
}

/** Time from the start of a request to its deadline, in ms. */
const DEADLINE_MS = 30_000;

/** Number of finished requests between two progress lines. */
const REQUESTS_PER_PROGRESS_LINE = 50;

/**
 * Runs the demo, stops all of its processes, and returns the summary.
 *
 * @example
 * const summary = await runDemo({runDir: 'runs/demo-1', seed: 7, routing: 'least-outstanding', faults: false});
 */
export async function runDemo(options: DemoOptions): Promise<RunSummary> {
  const print = (line: string) => process.stdout.write(line + '\n');
  print(
    `nutmeggauge demo: starting stand-ins, agents and gates on loopback (logs in ${options.runDir})`,
  );
  const cluster = await startLocalCluster({
    runDir: options.runDir,
    engines: 3,
    plainServices: 1,
    gates: options.faults ? 2 : 1,
    gateSettings: {routing: {policy: options.routing}},
  });
  const base = options.faults ? FAULT_WORKLOAD : DEMO_WORKLOAD;
  const workload = {...base, seed: options.seed};
  const plan = planWorkload(workload);
  let results: readonly CallerResult[];
  try {
    await cluster.publish(buildDemoRecord(cluster.targets));
    await cluster.waitUntilReady();
    print(
      `sending ${plan.length} requests (${workload.requests} completions, ${workload.orders} orders, ${workload.repeatedOrders} repeated)`,
    );
    const faults = options.faults ? DEMO_FAULTS : [];
    for (const {atMs, forMs, kind, process: name = ''} of faults)
      print(`  at ${atMs} ms for ${forMs} ms: ${kind} ${name}`);
    [results] = await Promise.all([
      runPlan(plan, {
        gateUrls: cluster.gateUrls,
        deadlineMs: DEADLINE_MS,
        sharedPrefixTokens: workload.sharedPrefixTokens,
        onResult: (_result, done, total) => {
          if (done % REQUESTS_PER_PROGRESS_LINE === 0 || done === total)
            print(`  ${done}/${total} answered or refused`);
        },
      }),
      runFaults(cluster, faults),
    ]);
  } finally {
    await cluster.stop();
  }
  const summary = summarizeRun(
    plan,
    results,
    readExecutions(options.runDir),
    cluster.unexpectedExits,
  );
  print(formatSummary(summary));
  print(
    `to merge the logs of all processes, run: nutmeggauge timeline ${options.runDir}`,
  );
  return summary;
}
