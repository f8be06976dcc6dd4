/**
 * Client of a plain service's `POST /v1/call`.
 */
import {request} from 'undici';
import {TargetClient, isNeverSent} from './target.js';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';
import type {ChunkSink, Lane} from './target.js';

/**
 * Time past a call's deadline after which its outcome is taken as unknown,
 * in ms: a call that has started runs on past it, for the caller's retry.
 */
const HANG_GRACE_MS = 30_000;

/**
 * Runs `call` requests on a plain service.
 *
 * @example
 * const orders = new PlainTarget('http://127.0.0.1:7201');
 */
export class PlainTarget extends TargetClient {
  async run(
    job: DispatchRequest,
    _lane: Lane,
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
    if (response.statusCode >= 400 && response.statusCode < 500) {
      await response.body.dump();
      return {status: 'not-run', reason: 'target_rejected'};
    }
    try {
      if (response.statusCode !== 200) {
        await response.body.dump();
        return {status: 'unknown', reason: 'target_failed'};
      }
      const body = await response.body.json();
      return {status: 'done', chunks: 0, tokens: 0, cachedTokens: 0, body};
    } catch {
      return {status: 'unknown', reason: 'target_stream_broken'};
    }
  }
}
