/**
 * Client of a plain service's `POST /v1/call`.
 */
import {request} from 'undici';
import {TargetClient, isNeverSent} from './target.js';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';
import type {ChunkSink} from './target.js';

/**
 * Time past a call's deadline after which its outcome is taken as unknown,
 * in ms: a call that has started runs on past it, for the caller's retry.
 */
const HANG_GRACE_MS = 30_000;

/** The status by which a service promises that it did not run a call. */
const NOT_RUN_STATUS = 429;

/** Statuses by which a service refuses the call itself, for good. */
const FINAL_REFUSALS: ReadonlySet<number> = new Set([
  400, 401, 403, 404, 405, 410, 413, 415, 422,
]);

/**
 * Runs `call` requests on a plain service.
 *
 * @example
 * const orders = new PlainTarget('http://127.0.0.1:7201');
 */
export class PlainTarget extends TargetClient {
  async run(
    job: DispatchRequest,
    _sink: ChunkSink,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    let response;
    try {
      response = await request(`${this.url}/v1/call`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({
          requestId: job.requestId,
          ledgerKey: job.ledgerKey,
          op: job.op,
          args: job.args ?? {},
        }),
        signal,
        // A service that hangs must not hold its slot in the lane for good.
        headersTimeout:
          Math.max(0, job.deadlineAt - Date.now()) + HANG_GRACE_MS,
      });
    } catch (error) {
      if (isNeverSent(error))
        return {status: 'not-run', reason: 'target_unreachable'};
      return {status: 'unknown', reason: 'target_failed'};
    }
    return readOutcome(response);
  }
}

/**
 * Reads what a service's answer says of the call. 429 promises that it did
 * not run. Another refusal of the call itself (no such item, bad arguments)
 * is the service's whole answer and goes to the caller. Anything else (a
 * 5xx, a timeout) leaves open whether it ran.
 */
async function readOutcome(response: {
  readonly statusCode: number;
  readonly body: {dump(): Promise<void>; json(): Promise<unknown>};
}): Promise<DispatchOutcome> {
  const {statusCode, body} = response;
  const isAnswer = statusCode < 300 || FINAL_REFUSALS.has(statusCode);
  try {
    if (!isAnswer) {
      await body.dump();
      return statusCode === NOT_RUN_STATUS
        ? {status: 'not-run', reason: 'target_rejected'}
        : {status: 'unknown', reason: 'target_failed'};
    }
    const answer = await body.json();
    return {
      status: 'done',
      chunks: 0,
      tokens: 0,
      cachedTokens: 0,
      body: answer,
      httpStatus: statusCode,
    };
  } catch {
    return {status: 'unknown', reason: 'target_stream_broken'};
  }
}
