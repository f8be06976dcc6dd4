/**
 * The deployment of the demo, with links between its processes that stop before
 * a chosen message until a fault has begun.
 */
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {waitMs} from '@nutmeggauge/core';
import {parse as parseYaml, stringify as stringifyYaml} from 'yaml';
import {planLaunches} from '../cluster/launch-plan.js';
import {LocalCluster} from '../cluster/local-cluster.js';
import {findFreePorts} from '../cluster/ports.js';
import {buildDemoRecord} from '../defaults.js';
import {AgentLink, TargetLink} from './message-link.js';
import type {ClusterSpec, ClusterTarget} from '../cluster/cluster-spec.js';
import type {Launch} from '../cluster/launch-plan.js';
import type {MessageLink, PathProcess} from './message-link.js';

/** Duration of a pause, in ms: longer than gates wait for an agent's ack. */
const PAUSE_MS = 500;

/** Time for which gates wait for an agent's ack, in ms. */
const ACCEPT_TIMEOUT_MS = 300;

/** Retries that gates start with, so that faults do not use them up. */
const RETRY_BURST = 1000;

/** Numbers of ports of the platform's stand-ins, of a target and of a gate. */
const PLATFORM_PORTS = 2;
const TARGET_PORTS = 2;
const GATE_PORTS = 3;

const SIZE = {engines: 3, plainServices: 1, gates: 2};

/** A fault of one of the processes on the path of a request. */
export interface StepFault {
  readonly kind: 'kill' | 'pause';
  /** The gate that serves the request, its agent or the agent's target. */
  readonly process: PathProcess;
}

/** A fault that begins before a message of the next request is forwarded. */
export interface Step {
  readonly message: string;
  readonly fault: StepFault;
  /** Target of the next request; absent until the request is dispatched. */
  target?: string;
  hasBegun: boolean;
}

/**
 * A local cluster whose links stop before chosen messages.
 *
 * @example
 * const cluster = await startSteppedCluster();
 * cluster.planFault('outcome', {kind: 'kill', process: 'agent'});
 * await cluster.endFaults();
 * await cluster.close();
 */
export class SteppedCluster {
  private step: Step | undefined;
  /** Restarts the processes that faults have ended or suspended. */
  private pendingEnds: Array<() => Promise<void>> = [];

  constructor(
    readonly runDir: string,
    private readonly cluster: LocalCluster,
    private readonly links: readonly MessageLink[],
  ) {}

  /** URL of the gate that serves the requests of a test. */
  get gateUrl(): string {
    return this.cluster.gateUrls[0];
  }

  get unexpectedExits(): LocalCluster['unexpectedExits'] {
    return this.cluster.unexpectedExits;
  }

  /**
   * Starts a fault in the gap before the first message with this name of the
   * next request.
   */
  planFault(message: string, fault: StepFault): Readonly<Step> {
    this.step = {message, fault, hasBegun: false};
    return this.step;
  }

  /**
   * Starts the planned fault if it is due before a message of this target.
   *
   * @returns The process that the fault has killed, if any.
   */
  handleMessage(
    message: string,
    target: string,
  ): Promise<PathProcess | undefined> | undefined {
    const {step} = this;
    if (step === undefined) return undefined;
    if (message === 'dispatch') step.target ??= target;
    if (step.target !== target || step.message !== message) return undefined;
    this.step = undefined;
    return this.beginFault(step, target);
  }

  /** Ends all faults and waits until every gate can use every target. */
  async endFaults(): Promise<void> {
    this.step = undefined;
    for (const endFault of this.pendingEnds.splice(0)) await endFault();
    await this.cluster.waitUntilReady();
  }

  /** Stops all processes and removes their logs. */
  async close(): Promise<void> {
    await this.cluster.stop();
    for (const link of this.links) link.stop();
    rmSync(this.runDir, {recursive: true});
  }

  private async beginFault(
    step: Step,
    target: string,
  ): Promise<PathProcess | undefined> {
    const {fault} = step;
    const names = {gate: 'gate-1', agent: `agent-${target}`, target};
    const name = names[fault.process];
    if (fault.kind === 'kill') {
      await this.cluster.kill(name);
      this.pendingEnds.push(() => this.cluster.restart(name));
    } else {
      this.cluster.signal(name, 'SIGSTOP');
      const isOver = waitMs(PAUSE_MS);
      void isOver.then(() => this.cluster.signal(name, 'SIGCONT'));
      this.pendingEnds.push(() => isOver);
    }
    step.hasBegun = true;
    return fault.kind === 'kill' ? fault.process : undefined;
  }
}

/** Makes the settings file of an agent name the link to its target. */
function replaceTargetUrl(
  launch: Launch,
  runDir: string,
  urls: ReadonlyMap<string, string>,
): Launch {
  const url = urls.get(launch.name);
  const {writeSettings} = launch;
  if (url === undefined || writeSettings === undefined) return launch;
  const file = join(runDir, `${launch.name}.yaml`);
  return {
    ...launch,
    writeSettings: start => {
      writeSettings(start);
      const settings = parseYaml(readFileSync(file, 'utf8')) as {
        readonly target: object;
      };
      const target = {...settings.target, url};
      writeFileSync(file, stringifyYaml({...settings, target}));
    },
  };
}

/** Starts the deployment of the demo with a link at each agent and target. */
export async function startSteppedCluster(): Promise<SteppedCluster> {
  const runDir = mkdtempSync(join(tmpdir(), 'nutmeggauge-steps-'));
  const spec: ClusterSpec = {
    ...SIZE,
    runDir,
    gateSettings: {
      routing: {acceptTimeoutMs: ACCEPT_TIMEOUT_MS},
      retryBudget: {burst: RETRY_BURST},
    },
  };
  const targetCount = SIZE.engines + SIZE.plainServices;
  const portCount =
    PLATFORM_PORTS + targetCount * TARGET_PORTS + SIZE.gates * GATE_PORTS;
  const layout = planLaunches(spec, await findFreePorts(portCount));
  const links: MessageLink[] = [];
  const targets: ClusterTarget[] = [];
  const targetUrls = new Map<string, string>();
  for (const target of layout.targets) {
    const listener = (message: string) =>
      stepped.handleMessage(message, target.id);
    const agentLink = new AgentLink(target.agent, listener);
    const targetLink = new TargetLink(new URL(target.url).host, listener);
    links.push(agentLink, targetLink);
    targets.push({...target, agent: await agentLink.start()});
    targetUrls.set(`agent-${target.id}`, `http://${await targetLink.start()}`);
  }
  const launches = layout.launches.map(launch =>
    replaceTargetUrl(launch, runDir, targetUrls),
  );
  const cluster = new LocalCluster(spec, {...layout, launches});
  const stepped = new SteppedCluster(runDir, cluster, links);
  try {
    await cluster.start();
    await cluster.publish(buildDemoRecord(targets));
    await cluster.waitUntilReady();
  } catch (error) {
    await stepped.close();
    throw error;
  }
  return stepped;
}
