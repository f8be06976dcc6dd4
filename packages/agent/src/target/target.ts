/**
 * Clients of the local target. Behaviour differs by kind of target (engine
 * or plain service), so each kind is a subclass of TargetClient. Both tell
 * apart "never reached the target" (not run) from "may have run" (unknown).
 */
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';

/** Where a target client delivers the pieces of a streamed answer. */
export interface ChunkSink {
  (seq: number, text: string): void;
}

/**
 * A client of one local target.
 *
 * @example
 * const outcome = await target.run(request, sink, signal);
 */
export abstract class TargetClient {
  constructor(protected readonly url: string) {}

  /** Runs one request; never throws, every failure is an outcome. */
  abstract run(
    request: DispatchRequest,
    sink: ChunkSink,
    signal: AbortSignal,
  ): Promise<DispatchOutcome>;
}

/**
 * Tells whether an error from undici means no byte reached the target:
 * the connection itself was refused or could not be made.
 */
export function isNeverSent(error: unknown): boolean {
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
