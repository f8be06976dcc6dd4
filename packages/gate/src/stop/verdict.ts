/** The wait for an agent's verdict on a request that a stop cuts. */
import {waitMs} from '@nutmeggauge/core';
import {waitAborted} from './held-request.js';
import type {DispatchOutcome} from '@nutmeggauge/core';
import type {HeldRequest} from './held-request.js';

/**
 * Waits for the outcome of a dispatched request. Once the request is cut and
 * cancelled, an agent that sends no verdict in time leaves the outcome unknown.
 *
 * @throws The error of `answer`.
 * @example
 * const outcome = await waitVerdict(target.dispatch(request, onChunk, bounds), held);
 */
export async function waitVerdict(
  answer: Promise<DispatchOutcome>,
  held: HeldRequest,
): Promise<DispatchOutcome> {
  // The answer may fail after the request has been given up.
  answer.catch(() => undefined);
  const ended = new AbortController();
  const silent = async (): Promise<DispatchOutcome> => {
    await waitAborted(held.cut);
    if (!ended.signal.aborted) await waitMs(held.verdictWaitMs);
    return {status: 'unknown', reason: 'gate_draining'};
  };
  try {
    return await Promise.race([answer, silent()]);
  } finally {
    ended.abort();
  }
}
