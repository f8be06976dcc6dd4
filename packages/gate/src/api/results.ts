/**
 * Sends final answers to callers: refusals, results and failures. A request
 * that did not run is answered at once with Retry-After instead of being held.
 */
import {sendJson, startSse, writeSse} from '@nutmeggauge/core';
import {renderCompletion, renderError} from './responses.js';
import type {ServerResponse} from 'node:http';
import type {Refusal} from '../admission/limits.js';
import type {DispatchResult} from '../dispatch/dispatcher.js';
import type {HeldRequest} from '../stop/held-request.js';
import type {CallerRequest} from './requests.js';

/**
 * Retry-After for a request whose deadline passed before it ran, or that a stop
 * hands back, in ms.
 */
const RETRY_AFTER_MS = 1000;

/** The collected text and the prompt length of a non-streamed answer. */
export interface CollectedAnswer {
  readonly text: string;
  readonly promptTokens: number;
}

/**
 * Renders a Retry-After header in whole seconds, rounded up, at least 1.
 *
 * @example
 * toRetryAfter(1500); // {'retry-after': '2'}
 */
export function toRetryAfter(ms: number): Record<string, string> {
  return {'retry-after': String(Math.max(1, Math.ceil(ms / 1000)))};
}

/**
 * Answers a request that was not admitted.
 *
 * @example
 * sendRefusal(res, {status: 429, reason: 'rate_limited', retryAfterMs: 200}, 'gate-1-7');
 */
export function sendRefusal(
  res: ServerResponse,
  refusal: Refusal,
  requestId: string,
): void {
  const type = refusal.reason === 'no_target' ? 'not_run' : 'refused';
  sendJson(
    res,
    refusal.status,
    renderError(type, refusal.reason, requestId),
    toRetryAfter(refusal.retryAfterMs),
  );
}

/**
 * Answers a request whose body is still arriving and that is handed back. The
 * response is complete for the caller, but must be ended after the body has
 * been read: closing a connection with unread data resets it.
 *
 * @example
 * sendHandBack(res, held);
 */
export function sendHandBack(res: ServerResponse, held: HeldRequest): void {
  held.endedAs = 'refused';
  const text = JSON.stringify(
    renderError('not_run', 'gate_draining', held.requestId),
  );
  res.writeHead(503, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    connection: 'close',
    ...toRetryAfter(RETRY_AFTER_MS),
  });
  res.write(text);
}

/**
 * Answers an admitted request with the result of its dispatch.
 *
 * @example
 * sendResult(res, request, 'gate-1-7', result, {text: '', promptTokens: 10});
 */
export function sendResult(
  res: ServerResponse,
  request: CallerRequest,
  requestId: string,
  result: DispatchResult,
  collected: CollectedAnswer,
): void {
  if (res.destroyed) return;
  if (result.status !== 'done') {
    sendFailure(res, result, requestId);
    return;
  }
  if (request.api === 'call') {
    const {httpStatus = 200, body} = result.outcome;
    sendJson(res, httpStatus, {request_id: requestId, result: body});
    return;
  }
  if (request.stream) {
    if (!res.headersSent) startSse(res);
    writeSse(res, '[DONE]');
    res.end();
    return;
  }
  const body = renderCompletion(
    request,
    requestId,
    collected.text,
    result.outcome.tokens,
    collected.promptTokens,
  );
  sendJson(res, 200, body);
}

function sendFailure(
  res: ServerResponse,
  result: Exclude<DispatchResult, {status: 'done'}>,
  requestId: string,
): void {
  const [status, body, headers] = describeFailure(result, requestId);
  if (!res.headersSent) {
    sendJson(res, status, body, headers);
    return;
  }
  // The stream has started, so the failure is sent as an SSE event. The missing
  // [DONE] tells the caller that the answer is incomplete.
  writeSse(res, body, 'error');
  res.end();
}

function describeFailure(
  result: Exclude<DispatchResult, {status: 'done'}>,
  requestId: string,
): [number, object, Record<string, string>] {
  if (result.status === 'not-run') {
    return [
      503,
      renderError('not_run', result.reason, requestId),
      toRetryAfter(result.retryAfterMs),
    ];
  }
  if (result.status === 'deadline') {
    const [reason, headers] = result.ran
      ? ['deadline_passed_may_have_run', {}]
      : ['deadline_passed_not_run', toRetryAfter(RETRY_AFTER_MS)];
    return [504, renderError('deadline_exceeded', reason, requestId), headers];
  }
  return [502, renderError('outcome_unknown', result.reason, requestId), {}];
}
