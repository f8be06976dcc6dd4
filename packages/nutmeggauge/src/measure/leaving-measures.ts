/**
 * Measures how long a gate keeps routing to a target whose agent drains,
 * freezes or is killed.
 */
import {findFreePorts} from '../cluster/ports.js';
import {HOST, buildRecord, startLocalStandIns} from './fixtures.js';
import {startGate} from './gate-measures.js';
import {measureUntil, startMeasuredProcess} from './measured-process.js';

/** Times until a gate stops routing to a target, in ms. */
export interface RemovalLatencies {
  /** Time after the target's agent starts to drain, in ms. */
  readonly drainMs: number;
  /** Time after the target's agent is paused (SIGSTOP), in ms. */
  readonly freezeMs: number;
  /** Time after the target's agent is killed (SIGKILL), in ms. */
  readonly killMs: number;
}

/** Measures the times until a gate stops routing to a target. */
export async function measureRemovalLatencies(
  runDir: string,
): Promise<RemovalLatencies> {
  const standIns = await startLocalStandIns();
  const ports = await findFreePorts(3);
  const agents = await Promise.all(
    ports.map((port, i) =>
      startMeasuredProcess('agent', runDir, {
        id: `t-${i}`,
        zone: 'az-1',
        listen: {host: HOST, port},
        target: {kind: 'plain', url: standIns.plainUrl},
        ledger: {bootstrap: true},
      }),
    ),
  );
  const targets = ports.map((port, i) => ({
    id: `t-${i}`,
    agent: `${HOST}:${port}`,
    zone: 'az-1',
  }));
  standIns.config.publish(buildRecord(1, targets));
  const gate = await startGate(runDir, standIns);
  const listUsable = async () =>
    (await gate.listTargets()).filter(t => t.usable).map(t => t.id);
  await measureUntil(async () => (await listUsable()).length === ports.length);
  const measure = (index: number, signal: NodeJS.Signals) => {
    agents[index].signal(signal);
    return measureUntil(
      async () => !(await listUsable()).includes(`t-${index}`),
    );
  };
  const bounds = {
    drainMs: await measure(0, 'SIGTERM'),
    freezeMs: await measure(1, 'SIGSTOP'),
    killMs: await measure(2, 'SIGKILL'),
  };
  await Promise.all(
    [...agents, gate].map(measuredProcess => measuredProcess.stop()),
  );
  await standIns.close();
  return bounds;
}
