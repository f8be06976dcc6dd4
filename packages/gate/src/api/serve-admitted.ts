/**
 * Serves one admitted request: reads its idempotency key and deadline, checks
 * the deadline against the estimate, dispatches the request, and sends the
 * answer.
 */
import {
  CLOCK_SKEW_MS,
  SHORT_MAX_TOKENS,
  countTokens,
  hashPrefixes,
  isNotRepeatable,
  readMintTime,
  sendJson,
  startSse,
  writeSse,
} from '@nutmeggauge/core';
import {estimateFinishMs} from '../admission/estimate.js';

import {createChunkStream} from '../streaming/reassembly.js';
import {readDeadlineMs} from './receive-caller-body.js';
import {renderError, renderStreamChunk} from './responses.js';
import {sendRefusal, sendResult} from './results.js';
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import type {Account, ConfigRecord} from '@nutmeggauge/core';
import type {Refusal} from '../admission/limits.js';
import type {DispatchJob} from '../dispatch/dispatcher.js';
import type {RouteRequest} from '../routing/router.js';
import type {HeldRequest} from '../stop/held-request.js';
import type {HandlerContext} from './handler-context.js';
import type {CallerRequest} from './requests.js';

/** An authenticated request within the limits of its client account. */
export interface AdmittedRequest {
  readonly requestId: string;
  readonly record: ConfigRecord;
  readonly account: Account;
  readonly headers: IncomingHttpHeaders;
  readonly request: CallerRequest;
  readonly held: HeldRequest;
}

/**
 * Whether a request may be repeated, and the ledger key that detects
 * duplicates.
 */
interface Idempotency {
  readonly notRepeatable: boolean;
  readonly keyed: boolean;
  readonly ledgerKey?: string;
  readonly keyMintedAt?: number;
}

/**
 * Serves an admitted request and sends its final answer.
 *
 * @example
 * await serveAdmitted(context, res, {requestId, record, account, headers: req.headers, request});
 */
export async function serveAdmitted(
  context: HandlerContext,
  res: ServerResponse,
  admitted: AdmittedRequest,
): Promise<void> {
  const {requestId, request, held} = admitted;
  const startedAt = Date.now();
  const idempotency = readIdempotency(admitted);
  if ((idempotency.keyMintedAt ?? 0) > startedAt + CLOCK_SKEW_MS) {
    // A restarted agent assumes that its ledger contains every key minted after
    // the restart. A key with a future timestamp would wrongly count as such a
    // key.
    sendJson(
      res,
      400,
      renderError('bad_request', 'idempotency_key_from_the_future', requestId),
    );
    return;
  }
  const deadlineMs = readDeadlineMs(admitted.headers, admitted.account);
  const route: RouteRequest = {
    promptTokens: countTokens(request.prompt),
    maxTokens: request.maxTokens,
    isLongPrompt: countTokens(request.prompt) > SHORT_MAX_TOKENS,
    prefixes: hashPrefixes(request.prompt),
  };
  const refusal = checkDeadline(context, request.pool, route, deadlineMs);
  if (refusal !== undefined) {
    context.counters.add(`admission.${refusal.reason}`);
    sendRefusal(res, refusal, requestId);
    return;
  }
  const deadlineAt = startedAt + deadlineMs;
  held.setPrediction(() =>
    Math.min(
      deadlineAt,
      Date.now() + estimateShortestMs(context, request.pool, route),
    ),
  );
  context.held.judge(held);

  const abort = new AbortController();
  res.on('close', () => {
    if (!res.writableFinished) abort.abort();
  });
  const chunks = createChunkStream();
  const texts: string[] = [];
  let hasFirstChunk = false;
  const streamEnd = chunks.observe(text => {
    if (!hasFirstChunk) context.ttft.recordMs(Date.now() - startedAt);
    hasFirstChunk = true;
    if (!request.stream) {
      texts.push(text);
      return;
    }
    if (!res.headersSent) startSse(res);
    writeSse(res, renderStreamChunk(request, requestId, text));
  });
  const job: DispatchJob = {
    request: buildDispatchRequest(admitted, idempotency, deadlineAt),
    route,
    resumable: findPool(admitted)?.resumable ?? false,
    chunks,
    signal: abort.signal,
    held,
  };
  const result = await context.dispatcher.run(job);
  chunks.end();
  await streamEnd;
  if (held.handedBack.aborted && result.status !== 'done')
    held.endedAs = result.status === 'not-run' ? 'refused' : 'cut';
  context.counters.add(`api.result.${result.status}`);
  sendResult(res, request, requestId, result, {
    text: texts.join(''),
    promptTokens: route.promptTokens,
  });
}

function findPool({record, request}: AdmittedRequest) {
  return record.pools.find(pool => pool.id === request.pool);
}

function readIdempotency(admitted: AdmittedRequest): Idempotency {
  const {record, account, request, requestId, headers} = admitted;
  const header = headers['idempotency-key'];
  const key = typeof header === 'string' && header !== '' ? header : undefined;
  if (key !== undefined) {
    return {
      notRepeatable: true,
      keyed: true,
      ledgerKey: `${account.id}:${key}`,
      keyMintedAt: readMintTime(key),
    };
  }
  const notRepeatable = isNotRepeatable(record, request.pool, request.op);
  return {
    notRepeatable,
    keyed: false,
    ledgerKey: notRepeatable ? `${account.id}:${requestId}` : undefined,
  };
}

/**
 * Returns a refusal if no usable target can finish the request before its
 * deadline.
 */
function checkDeadline(
  context: HandlerContext,
  pool: string,
  route: RouteRequest,
  deadlineMs: number,
): Refusal | undefined {
  if (context.membership.listUsable(pool).length === 0)
    return {status: 503, reason: 'no_target', retryAfterMs: 1000};
  if (!context.readFigures().refusesLate) return undefined;
  const shortestMs = estimateShortestMs(context, pool, route);
  if (shortestMs <= deadlineMs) return undefined;
  return {
    status: 503,
    reason: 'deadline_unreachable',
    retryAfterMs: shortestMs - deadlineMs,
  };
}

/**
 * Estimates the time until a usable target finishes a request, in ms; infinite
 * without one.
 */
function estimateShortestMs(
  context: HandlerContext,
  pool: string,
  route: RouteRequest,
): number {
  const figures = context.readFigures();
  return Math.min(
    ...context.membership
      .listUsable(pool)
      .map(c => estimateFinishMs(c, route, figures)),
  );
}

function buildDispatchRequest(
  admitted: AdmittedRequest,
  idempotency: Idempotency,
  deadlineAt: number,
): DispatchJob['request'] {
  const {requestId, record, account, request} = admitted;
  return {
    requestId,
    account: account.id,
    pool: request.pool,
    kind: request.api === 'call' ? 'call' : 'generate',
    prompt: request.prompt,
    maxTokens: request.maxTokens,
    op: request.op,
    args: request.args,
    deadlineAt,
    recordVersion: record.version,
    ...idempotency,
  };
}
