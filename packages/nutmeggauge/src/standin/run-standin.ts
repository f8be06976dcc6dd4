/**
 * `nutmeggauge standin <kind>`: runs one stand-in of the platform as its own
 * process, so the demo and the bench can kill or pause it.
 */
import {UnknownStandInError, setProcessName} from '@nutmeggauge/core';
import {
  startConfigServiceStandIn,
  startEngineStandIn,
  startHostListStandIn,
  startPlainServiceStandIn,
} from '@nutmeggauge/standins';
import type {FencingMode} from '@nutmeggauge/standins';

/** Flags of the standin subcommand. */
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

/** Kinds that `nutmeggauge standin` can run. */
export const STAND_IN_KINDS = ['engine', 'config', 'hosts', 'plain'] as const;

/**
 * Starts the stand-in of `kind` and keeps the process alive.
 *
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
        `unknown stand-in kind ${kind}; one of ${STAND_IN_KINDS.join(', ')}`,
      );
  }
}
