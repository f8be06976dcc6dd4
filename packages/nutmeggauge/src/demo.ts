/**
 * `nutmeggauge demo`: starts a whole deployment on loopback, sends the
 * default mix of requests through the gate, and prints what callers saw.
 */
import {join} from 'node:path';
import {request} from 'undici';
import {startLocalCluster} from './cluster/local-cluster.js';
import {DEMO_WORKLOAD, buildDemoRecord} from './defaults.js';
import {runPlan} from './load/run-plan.js';
import {formatSummary, summarizeRun} from './load/summary.js';
import {planWorkload} from './load/workload.js';
import type {ExecutionRecord, RunSummary} from './load/summary.js';

/** Options of the demo. */
export interface DemoOptions {
  /** Folder for settings and logs; one per run. */
  readonly runDir: string;
  readonly seed: number;
  /** Routing policy of the gate. */
  readonly routing: string;
}

/**
 * Runs the demo and returns its summary; stops every process before it returns.
 *
 * @example
 * const summary = await runDemo({runDir: 'runs/demo-1', seed: 7, routing: 'least-outstanding'});
 */
export async function runDemo(options: DemoOptions): Promise<RunSummary> {
  const print = (line: string) => process.stdout.write(line + '\n');
  print(
    `nutmeggauge demo: starting stand-ins, agents and a gate on loopback (logs in ${options.runDir})`,
  );
  const cluster = await startLocalCluster({
    runDir: options.runDir,
    engines: 3,
    plainServices: 1,
    gates: 1,
    routing: options.routing,
  });
  try {
    await cluster.publish(buildDemoRecord(cluster.targets));
    await cluster.waitUntilReady();
    const workload = {...DEMO_WORKLOAD, seed: options.seed};
    const plan = planWorkload(workload);
    print(
      `sending ${plan.length} requests (${workload.requests} completions, ${workload.orders} orders, ${workload.repeatedOrders} repeated)`,
    );
    const results = await runPlan(plan, {
      gateUrls: cluster.gateUrls,
      deadlineMs: 30_000,
      sharedPrefixTokens: workload.sharedPrefixTokens,
      onResult: (_result, done, total) => {
        if (done % 50 === 0 || done === total)
          print(`  ${done}/${total} answered or refused`);
      },
    });
    const executions = await readExecutions(
      cluster.targets.filter(t => t.kind === 'plain').map(t => t.url),
    );
    const summary = summarizeRun(plan, results, executions);
    print(formatSummary(summary));
    print(
      `time line of all processes: nutmeggauge timeline ${join(options.runDir)}`,
    );
    return summary;
  } finally {
    await cluster.stop();
  }
}

async function readExecutions(
  urls: readonly string[],
): Promise<ExecutionRecord[]> {
  const all: ExecutionRecord[] = [];
  for (const url of urls) {
    const response = await request(`${url}/admin/executions`);
    all.push(
      ...((await response.body.json()) as {executions: ExecutionRecord[]})
        .executions,
    );
  }
  return all;
}
