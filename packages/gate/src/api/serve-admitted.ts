/**
 * The way of one admitted request: its facts, the check against its
 * deadline, the dispatch, and the answer.
 */
import {
  CLOCK_SKEW_MS,
  SHORT_MAX_TOKENS,
  countTokens,
  isNotRepeatable,
  readMintTime,
  sendJson,
  startSse,
  writeSse,
} from '@nutmeggauge/core';
import {estimateFinishMs} from '../admission/estimate.js';
import {hashPrefixes} from '../routing/prefix-memory.js';
import {createChunkStream} from '../streaming/reassembly.js';
import {renderError, renderStreamPiece} from './responses.js';
import {sendRefusal, sendResult} from './results.js';
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import type {Account, ConfigRecord} from '@nutmeggauge/core';
import type {Refusal} from '../admission/limits.js';
import type {DispatchJob} from '../dispatch/dispatcher.js';
import type {RouteRequest} from '../routing/router.js';
import type {HandlerContext} from './handler-context.js';
import type {CallerRequest} from './requests.js';

/** An authenticated request within its account's limits. */
export interface AdmittedRequest {
  readonly requestId: string;
  readonly record: ConfigRecord;
  readonly account: Account;
  readonly headers: IncomingHttpHeaders;
  readonly request: CallerRequest;
}

/** What the caller's headers say of repeats. */
interface RepeatFacts {
  readonly notRepeatable: boolean;
  readonly keyed: boolean;
  readonly ledgerKey?: string;
  readonly keyMintedAt?: number;
}

/**
 * Serves an admitted request to its final answer.
 *
 * @example
 * await serveAdmitted(context, res, {requestId, record, account, headers: req.headers, request});
 */
export async function serveAdmitted(
  context: HandlerContext,
  res: ServerResponse,
  admitted: AdmittedRequest,
): Promise<void> {
  const {requestId, request} = admitted;
  const startedAt = Date.now();
  const repeat = readRepeatFacts(admitted);
  if ((repeat.keyMintedAt ?? 0) > startedAt + CLOCK_SKEW_MS) {
    // A key dated ahead would pass for one that a restarted agent's ledger must
    // know.
    sendJson(
      res,
      400,
      renderError('bad_request', 'idempotency_key_from_the_future', requestId),
    );
    return;
  }
  const deadlineMs = readDeadlineMs(admitted);
  const route: RouteRequest = {
    promptTokens: countTokens(request.prompt),
    maxTokens: request.maxTokens,
    isLong: countTokens(request.prompt) > SHORT_MAX_TOKENS,
    prefixes: hashPrefixes(request.prompt),
  };
  const refusal = checkDeadline(context, request.pool, route, deadlineMs);
  if (refusal !== undefined) {
    context.counters.add(`admission.${refusal.reason}`);
    sendRefusal(res, refusal, requestId);
    return;
  }

  const abort = new AbortController();
  res.on('close', () => {
    if (!res.writableFinished) abort.abort();
  });
  const chunks = createChunkStream();
  const pieces: string[] = [];
  let hasPiece = false;
  const observed = chunks.observe(text => {
    if (!hasPiece) context.ttft.recordMs(Date.now() - startedAt);
    hasPiece = true;
    if (!request.stream) {
      pieces.push(text);
      return;
    }
    if (!res.headersSent) startSse(res);
    writeSse(res, renderStreamPiece(request, requestId, text));
  });
  const job: DispatchJob = {
    request: buildDispatch(admitted, repeat, startedAt + deadlineMs),
    route,
    resumable: findPool(admitted)?.resumable ?? false,
    chunks,
    signal: abort.signal,
  };
  const result = await context.dispatcher.run(job);
  chunks.end();
  await observed;
  context.counters.add(`api.result.${result.status}`);
  sendResult(res, request, requestId, result, {
    text: pieces.join(''),
    promptTokens: route.promptTokens,
  });
}

function findPool({record, request}: AdmittedRequest) {
  return record.pools.find(pool => pool.id === request.pool);
}

function readDeadlineMs({headers, account}: AdmittedRequest): number {
  const asked = Number(headers['x-deadline-ms']);
  return Number.isInteger(asked) && asked > 0 ? asked : account.deadlineMs;
}

function readRepeatFacts(admitted: AdmittedRequest): RepeatFacts {
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

/** Refuses what no usable target can finish in time. */
function checkDeadline(
  context: HandlerContext,
  pool: string,
  route: RouteRequest,
  deadlineMs: number,
): Refusal | undefined {
  const candidates = context.membership.listUsable(pool);
  if (candidates.length === 0)
    return {status: 503, reason: 'no_target', retryAfterMs: 1000};
  if (!context.figures.refusesLate) return undefined;
  const bestMs = Math.min(
    ...candidates.map(c => estimateFinishMs(c, route, context.figures)),
  );
  if (bestMs <= deadlineMs) return undefined;
  return {
    status: 503,
    reason: 'deadline_unreachable',
    retryAfterMs: bestMs - deadlineMs,
  };
}

function buildDispatch(
  admitted: AdmittedRequest,
  repeat: RepeatFacts,
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
    ...repeat,
  };
}
