/**
 * Command `nutmeggauge standin <kind>`: runs one stand-in of the platform as a
 * separate process, so that the demo and the bench can kill or pause it.
 */
import {UnknownStandInError, setProcessName} from '@nutmeggauge/core';
import {
  startConfigServiceStandIn,
  startEngineStandIn,
  startHostListStandIn,
  startPlainServiceStandIn,
} from '@nutmeggauge/standins';
import type {FencingMode} from '@nutmeggauge/standins';

/** Flags of the `standin` command. */
export interface StandInFlags {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  readonly fencing: string;
  readonly lagMs: number;
  readonly latencyMs: number;
  readonly prefillRate: number;
  readonly chunkTokens: number;
}

/** Kinds of stand-ins that `nutmeggauge standin` can run. */
export const STAND_IN_KINDS = ['engine', 'config', 'hosts', 'plain'] as const;

/**
 * Starts the stand-in of `kind`, whose listener keeps the process alive.
 *
 * @throws UnknownStandInError when `kind` is unknown.
 * @example
 * await runStandIn('engine', {id: 'engine-1', host: '127.0.0.1', port: 7101, fencing: 'refuse', lagMs: 250, latencyMs: 20, prefillRate: 400000, chunkTokens: 16384});
 */
export async function runStandIn(
  kind: string,
  flags: StandInFlags,
): Promise<void> {
  setProcessName(flags.id);
  const {host} = flags;
  switch (kind) {
    case 'engine':
      await startEngineStandIn(
        {
          id: flags.id,
          fencing: flags.fencing as FencingMode,
          loadLagMs: flags.lagMs,
          prefillTokensPerSecond: flags.prefillRate,
          prefillChunkTokens: flags.chunkTokens,
        },
        host,
        flags.port,
      );
      return;
    case 'config':
      await startConfigServiceStandIn(host, flags.port);
      return;
    case 'hosts':
      await startHostListStandIn(host, flags.port, flags.lagMs);
      return;
    case 'plain':
      await startPlainServiceStandIn(host, flags.port, flags.latencyMs);
      return;
    default:
      throw new UnknownStandInError(
        {info: {kind}},
        `unknown stand-in kind ${kind}; expected one of ${STAND_IN_KINDS.join(', ')}`,
      );
  }
}
