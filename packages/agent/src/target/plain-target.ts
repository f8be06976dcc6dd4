/**
 * Client of a plain service's `POST /v1/call`.
 */
import {
  MAX_BODY_BYTES,
  OversizedBodyError,
  isEndedByClose,
  readBoundedText,
} from '@nutmeggauge/core';
import {request} from 'undici';
import {TargetClient, isConnectFailure} from './target.js';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';
import type {ChunkSink} from './target.js';

/**
 * Time after a call's deadline at which its outcome becomes unknown, in ms. A
 * started call runs on past its deadline, so that a caller's retry can get its
 * outcome.
 */
const HANG_GRACE_MS = 30_000;

/** HTTP status by which a service reports that it did not run the call. */
const NOT_RUN_STATUS = 429;

/**
 * HTTP statuses that reject the call itself, so that a retry cannot succeed.
 */
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
    dispatchRequest: DispatchRequest,
    _sink: ChunkSink,
    signal: AbortSignal,
  ): Promise<DispatchOutcome> {
    let response;
    try {
      response = await request(`${this.url}/v1/call`, {
        method: 'POST',
        // A kept connection may bring the late second answer to an earlier request.
        reset: true,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({
          requestId: dispatchRequest.requestId,
          ledgerKey: dispatchRequest.ledgerKey,
          op: dispatchRequest.op,
          args: dispatchRequest.args ?? {},
        }),
        signal,
        // A call to a hanging service must not hold its lane slot forever.
        headersTimeout:
          Math.max(0, dispatchRequest.deadlineAt - Date.now()) + HANG_GRACE_MS,
      });
    } catch (error) {
      if (isConnectFailure(error))
        return {status: 'not-run', reason: 'target_unreachable'};
      return {status: 'unknown', reason: 'target_failed'};
    }
    return readOutcome(response);
  }
}

/**
 * Reads the outcome of a call from the service's response. Status 429 means
 * that the call did not run. A rejection of the call itself (no such item, bad
 * arguments) is the service's answer and is passed on to the caller. After any
 * other error (a 5xx, a timeout) the call may have run.
 */
async function readOutcome(response: {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: AsyncIterable<Buffer> & {dump(): Promise<void>};
}): Promise<DispatchOutcome> {
  const {statusCode, headers, body} = response;
  const isFinalAnswer = statusCode < 300 || FINAL_REFUSALS.has(statusCode);
  try {
    if (!isFinalAnswer) {
      await body.dump();
      return statusCode === NOT_RUN_STATUS
        ? {status: 'not-run', reason: 'target_rejected'}
        : {status: 'unknown', reason: 'target_failed'};
    }
    const answer: unknown = JSON.parse(
      await readBoundedText(body, MAX_BODY_BYTES),
    );
    // A part of a number is a number, and the end of a connection, even by a reset,
    // ends a body without a length or chunks.
    if (typeof answer === 'number' && isEndedByClose(headers))
      return {status: 'unknown', reason: 'target_stream_broken'};
    return {
      status: 'done',
      chunks: 0,
      tokens: 0,
      cachedTokens: 0,
      body: answer,
      httpStatus: statusCode,
    };
  } catch (error) {
    const isOversized = error instanceof OversizedBodyError;
    return {
      status: 'unknown',
      reason: isOversized ? 'target_answer_oversized' : 'target_stream_broken',
    };
  }
}
