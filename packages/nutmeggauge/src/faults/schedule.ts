/**
 * Injects faults into a local cluster under load: kills or stops processes and
 * restarts them, suspends and resumes them, keeps the machine busy, and makes
 * the configuration service refuse reads or serve an old record.
 */
import {createLogger, readClockMs, waitMs} from '@nutmeggauge/core';
import {request} from 'undici';
import {z} from 'zod';
import {startCpuLoad} from './busy.js';
import type {LocalCluster} from '../cluster/local-cluster.js';

export const FaultSchema = z.object({
  /** Start of the fault, in ms after the start of the load. */
  atMs: z.number().min(0),
  /** Duration of the fault, in ms. */
  forMs: z.number().positive(),
  /**
   * - `kill`: SIGKILL, then a restart.
   * - `stop`: SIGTERM, then a restart.
   * - `pause`: SIGSTOP, then SIGCONT.
   * - `busy`: a few processes busy-loop, for 10 s at most.
   * - `config-down`, `config-stale`: the configuration service refuses every
   *   read, or answers with its oldest record.
   */
  kind: z.enum([
    'kill',
    'stop',
    'pause',
    'busy',
    'config-down',
    'config-stale',
  ]),
  /**
   * Name of the process to kill, stop or suspend, such as `agent-engine-01`.
   */
  process: z.string().optional(),
});

export type Fault = z.output<typeof FaultSchema>;

/** A fault that was injected, with its start and end in ms since the epoch. */
export interface InjectedClusterFault {
  readonly fault: Fault;
  readonly beganAt: number;
  readonly endedAt: number;
}

/**
 * Injects faults into a cluster; resolves once the last fault has ended.
 *
 * @example
 * await runFaults(cluster, [{atMs: 1000, forMs: 500, kind: 'kill', process: 'engine-01'}]);
 */
export async function runFaults(
  cluster: LocalCluster,
  faults: readonly Fault[],
): Promise<readonly InjectedClusterFault[]> {
  const log = createLogger('faults');
  return Promise.all(
    faults.map(async fault => {
      await waitMs(fault.atMs);
      log.info('fault_began', {...fault});
      const beganAt = readClockMs();
      await beginFault(cluster, fault);
      await waitMs(fault.forMs);
      await endFault(cluster, fault);
      log.info('fault_ended', {...fault});
      return {fault, beganAt, endedAt: readClockMs()};
    }),
  );
}

async function beginFault(cluster: LocalCluster, fault: Fault): Promise<void> {
  const name = fault.process ?? '';
  switch (fault.kind) {
    case 'kill':
      return cluster.kill(name);
    case 'stop':
      return cluster.signal(name, 'SIGTERM');
    case 'pause':
      return cluster.signal(name, 'SIGSTOP');
    case 'busy':
      return void setTimeout(startCpuLoad(), fault.forMs);
    case 'config-down':
      return setConfigMode(cluster, 'down');
    case 'config-stale':
      return setConfigMode(cluster, 'stale');
  }
}

async function endFault(cluster: LocalCluster, fault: Fault): Promise<void> {
  const name = fault.process ?? '';
  switch (fault.kind) {
    case 'kill':
    case 'stop':
      return cluster.restart(name);
    case 'pause':
      return cluster.signal(name, 'SIGCONT');
    case 'busy':
      return;
    case 'config-down':
    case 'config-stale':
      return setConfigMode(cluster, 'up');
  }
}

async function setConfigMode(
  cluster: LocalCluster,
  mode: 'up' | 'down' | 'stale',
): Promise<void> {
  const response = await request(`${cluster.configUrl}/admin/mode`, {
    method: 'POST',
    body: JSON.stringify({mode}),
  });
  await response.body.dump();
}
