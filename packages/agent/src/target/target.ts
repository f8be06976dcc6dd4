/**
 * Client of the local target, with one subclass per kind of target (engine or
 * plain service). Clients distinguish a request that never reached the target
 * (outcome "not-run") from a request that may have run (outcome "unknown").
 */
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';

/** Callback that receives each chunk of a streamed answer. */
export interface ChunkSink {
  (seq: number, text: string): void;
}

/**
 * Client of one local target.
 *
 * @example
 * const outcome = await target.run(request, sink, signal);
 */
export abstract class TargetClient {
  constructor(protected readonly url: string) {}

  /** Runs one request; never throws, as every failure is an outcome. */
  abstract run(
    request: DispatchRequest,
    sink: ChunkSink,
    signal: AbortSignal,
  ): Promise<DispatchOutcome>;
}

/**
 * Checks whether an error from undici means that no connection was made, so
 * that no byte of the request reached the target.
 */
export function isConnectFailure(error: unknown): boolean {
  const code =
    (error as {code?: string})?.code ??
    (error as {cause?: {code?: string}})?.cause?.code;
  return (
    code === 'ECONNREFUSED' ||
    code === 'EHOSTUNREACH' ||
    code === 'ENOTFOUND' ||
    code === 'UND_ERR_CONNECT_TIMEOUT'
  );
}
