/**
 * Fault soak of gates with agents: runs a local cluster under random faults and
 * checks the answers that callers received.
 */
import {join} from 'node:path';
import {writeFileSync} from 'node:fs';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Agent} from 'undici';
import {buildLoopbackHost} from '@nutmeggauge/core';
import {startLocalCluster} from '../cluster/local-cluster.js';
import {FAULT_WORKLOAD, buildDemoRecord} from '../defaults.js';
import {buildRandomFaults} from '../faults/random-faults.js';
import {runFaults} from '../faults/schedule.js';
import {readExecutions} from '../load/executions.js';
import {runPlan} from '../load/run-plan.js';
import {summarizeRun} from '../load/summary.js';
import {planWorkload} from '../load/workload.js';
import {findClusterViolations} from './cluster-check.js';
import type {LocalCluster} from '../cluster/local-cluster.js';
import type {InjectedClusterFault} from '../faults/schedule.js';
import type {CallerResult} from '../load/client.js';
import type {PlannedRequest, WorkloadSpec} from '../load/workload.js';
import type {ClusterViolation} from './cluster-check.js';

/** Options of a soak run of gates with agents. */
export interface ClusterSoakOptions {
  readonly seed: number;
  readonly gates: number;
  /** Length of the load, in ms. */
  readonly lengthMs: number;
  /** Folder for the settings and logs of the cluster. */
  readonly runDir: string;
}

/** Result of a soak run of gates with agents. */
export interface ClusterSoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly faults: number;
  readonly violations: readonly ClusterViolation[];
}

/** Requests, results and faults of a run. */
interface ClusterRun {
  readonly plan: readonly PlannedRequest[];
  readonly results: readonly CallerResult[];
  readonly faults: readonly InjectedClusterFault[];
}

const ENGINE_COUNT = 3;
const PLAIN_SERVICE_COUNT = 1;

/** Deadline of every request, in ms after the request is sent. */
const DEADLINE_MS = 10_000;

/** Maximum number of requests in one burst. */
const MAX_BURST_REQUESTS = 60;

/**
 * Longest gap without requests between two bursts, in ms: above the idle
 * timeout of a gate's connections.
 */
const MAX_BURST_GAP_MS = 6500;

/** Requests per second within a burst. */
const BURST_RATE = 60;

/**
 * Limit on the idle time of a caller's connection, in ms: so high that the
 * timeout that the gate announces applies.
 */
const MAX_CALLER_IDLE_MS = 600_000;

/**
 * Runs the soak with one seed and returns the violated invariants.
 *
 * @example
 * const {violations} = await runClusterSoak({seed: 7, gates: 2, lengthMs: 30_000, runDir: 'runs/soak-7'});
 */
export async function runClusterSoak(
  options: ClusterSoakOptions,
): Promise<ClusterSoakResult> {
  const {runDir, gates} = options;
  const cluster = await startLocalCluster({
    runDir,
    // A separate loopback host, so that no other run can take the ports of a
    // stopped process.
    host: buildLoopbackHost(0),
    engines: ENGINE_COUNT,
    plainServices: PLAIN_SERVICE_COUNT,
    gates,
  });
  let run: ClusterRun;
  try {
    await cluster.publish(buildDemoRecord(cluster.targets));
    await cluster.waitUntilReady();
    run = await runLoad(cluster, options);
  } finally {
    await cluster.stop();
  }
  return judgeRun(cluster, run, options);
}

async function runLoad(
  cluster: LocalCluster,
  {seed, lengthMs}: ClusterSoakOptions,
): Promise<ClusterRun> {
  const plan = planBursts(seed, lengthMs);
  const gateNames = cluster.gateUrls.map((_, i) => `gate-${i + 1}`);
  const schedule = buildRandomFaults({
    seed,
    lengthMs,
    gates: gateNames,
    backends: cluster.targets.flatMap(({id}) => [id, `agent-${id}`]),
  });
  const dispatcher = new Agent({
    keepAliveTimeout: MAX_CALLER_IDLE_MS,
    keepAliveMaxTimeout: MAX_CALLER_IDLE_MS,
    keepAliveTimeoutThreshold: 0,
  });
  const [results, faults] = await Promise.all([
    runPlan(plan, {
      gateUrls: cluster.gateUrls,
      // A load balancer knows of planned stops and sends no requests to a
      // stopping gate.
      isInRotation: url =>
        cluster.isActive(gateNames[cluster.gateUrls.indexOf(url)]),
      deadlineMs: DEADLINE_MS,
      sharedPrefixTokens: FAULT_WORKLOAD.sharedPrefixTokens,
      dispatcher,
    }),
    runFaults(cluster, schedule),
  ]);
  await dispatcher.destroy();
  return {plan, results, faults};
}

function judgeRun(
  cluster: LocalCluster,
  {plan, results, faults}: ClusterRun,
  {seed, runDir}: ClusterSoakOptions,
): ClusterSoakResult {
  const summary = summarizeRun(
    plan,
    results,
    readExecutions(runDir),
    cluster.unexpectedExits,
  );
  const violations = findClusterViolations({
    summary,
    results,
    faults,
    gateUrls: cluster.gateUrls,
  });
  const history = {violations, faults, results};
  writeFileSync(join(runDir, 'history.json'), JSON.stringify(history, null, 1));
  return {
    seed,
    requests: summary.sent,
    served: summary.answered,
    faults: faults.length,
    violations,
  };
}

/** Plans bursts of requests with gaps between them, determined by the seed. */
function planBursts(seed: number, lengthMs: number): readonly PlannedRequest[] {
  const random = xoroshiro128plus(seed);
  const plan: PlannedRequest[] = [];
  let startMs = 0;
  for (let burst = 0; startMs < lengthMs; burst++) {
    const requests = uniformInt(random, 2, MAX_BURST_REQUESTS);
    const spec: WorkloadSpec = {
      ...FAULT_WORKLOAD,
      seed: seed + burst,
      requests,
      ratePerSecond: BURST_RATE,
      orders: Math.ceil(requests / 4),
      repeatedOrders: Math.ceil(requests / 8),
    };
    const firstIndex = plan.length;
    const planned = planWorkload(spec).map(request => ({
      ...request,
      index: firstIndex + request.index,
      atMs: startMs + request.atMs,
      ...('orderName' in request
        ? {orderName: `${burst}-${request.orderName}`}
        : {}),
    }));
    plan.push(...planned);
    const lastMs = Math.max(...planned.map(({atMs}) => atMs));
    startMs = lastMs + uniformInt(random, 0, MAX_BURST_GAP_MS);
  }
  return plan;
}
