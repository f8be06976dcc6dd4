/**
 * Faults played on a local cluster while load runs: processes are killed or
 * stopped and started again, paused and woken, the machine is kept busy, and
 * the configuration service goes down or serves old records.
 */
import {createLogger, readClockMs, waitMs} from '@nutmeggauge/core';
import {request} from 'undici';
import {z} from 'zod';
import {startBusy} from './busy.js';
import type {LocalCluster} from '../cluster/local-cluster.js';

export const FaultSchema = z.object({
  /** When it begins, in ms from the start of the load. */
  atMs: z.number().min(0),
  /** How long it lasts, in ms. */
  forMs: z.number().positive(),
  /**
   * - `kill`: SIGKILL, then a new start.
   * - `stop`: SIGTERM, then a new start.
   * - `pause`: SIGSTOP, then SIGCONT.
   * - `busy`: a few processes spin, for 10 s at most.
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
  /** Process to kill, stop or pause, such as `agent-engine-01`. */
  process: z.string().optional(),
});

export type Fault = z.output<typeof FaultSchema>;

/** A fault as it was played; times in epoch ms. */
export interface InjectedClusterFault {
  readonly fault: Fault;
  readonly beganAt: number;
  readonly endedAt: number;
}

/**
 * Plays faults on a cluster; resolves when the last one has ended.
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
      return void setTimeout(startBusy(), fault.forMs);
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
