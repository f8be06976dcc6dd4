/**
 * The caller API: authenticates, admits, dispatches and answers one HTTP
 * request. Every answer is final when it is sent: a request given up on is
 * answered at once with Retry-After, never held back.
 */
import {randomBytes} from 'node:crypto';
import {
  isNotRepeatable,
  readJsonBody,
  sendJson,
  startSse,
  writeSse,
} from '@nutmeggauge/core';
import {estimateFinishMs} from '../admission/estimate.js';
import {createChunkStream} from '../streaming/reassembly.js';
import {CHARS_PER_TOKEN, parseCallerRequest} from './requests.js';
import {renderCompletion, renderError, renderStreamPiece} from './responses.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
  Account,
  ConfigRecord,
  Counters,
  LatencyHistogram,
} from '@nutmeggauge/core';
import type {AccountLimits, Refusal} from '../admission/limits.js';
import type {EstimateFigures} from '../admission/estimate.js';
import type {DispatchResult, Dispatcher} from '../dispatch/dispatcher.js';
import type {Membership} from '../membership/membership.js';
import type {CallerRequest} from './requests.js';

/** What the handler reads from the gate. */
export interface HandlerContext {
  readonly gateId: string;
  readonly counters: Counters;
  readonly limits: AccountLimits;
  readonly membership: Membership;
  readonly dispatcher: Dispatcher;
  readonly figures: EstimateFigures;
  /** Time to first piece at this gate, in ms. */
  readonly ttft: LatencyHistogram;
  readonly readRecord: () => ConfigRecord | undefined;
  readonly findAccount: (key: string) => Account | undefined;
  readonly isDraining: () => boolean;
}

let nextRequest = 1;

/** Seconds for a Retry-After header, at least 1. */
function toRetryAfter(ms: number): Record<string, string> {
  return {'retry-after': String(Math.max(1, Math.ceil(ms / 1000)))};
}

function sendRefusal(
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
 * Serves one caller request on `/v1/completions`, `/v1/chat/completions` or
 * `/v1/services/{service}/{op}`.
 *
 * @example
 * server.on('request', (req, res) => void handleCallerRequest(context, req, res));
 */
export async function handleCallerRequest(
  context: HandlerContext,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const requestId = `${context.gateId}-${nextRequest++}-${randomBytes(3).toString('hex')}`;
  const path = new URL(req.url ?? '/', 'http://gate').pathname;
  context.counters.add('api.requests');
  if (context.isDraining()) {
    sendJson(
      res,
      503,
      renderError('shutting_down', 'gate_draining', requestId),
      {...toRetryAfter(1000), connection: 'close'},
    );
    return;
  }
  const record = context.readRecord();
  if (record === undefined) {
    sendRefusal(
      res,
      {status: 503, reason: 'not_configured', retryAfterMs: 1000},
      requestId,
    );
    return;
  }
  const key = /^Bearer (.+)$/.exec(req.headers.authorization ?? '')?.[1];
  const account = key === undefined ? undefined : context.findAccount(key);
  if (account === undefined) {
    context.counters.add('api.unauthorized');
    sendJson(
      res,
      401,
      renderError(
        'unauthorized',
        key === undefined ? 'missing_key' : 'unknown_key',
        requestId,
      ),
    );
    return;
  }
  const parsed = parseCallerRequest(path, await readJsonBody(req));
  if ('error' in parsed) {
    sendJson(res, 400, renderError('bad_request', parsed.error, requestId));
    return;
  }
  if (!account.pools.includes(parsed.pool)) {
    context.counters.add('api.forbidden');
    sendJson(
      res,
      403,
      renderError('forbidden', `account may not use ${parsed.pool}`, requestId),
    );
    return;
  }
  const refusal = context.limits.enter(account);
  if (refusal !== undefined) {
    context.counters.add(`admission.${refusal.reason}`);
    sendRefusal(res, refusal, requestId);
    return;
  }
  try {
    await serveAdmitted(context, req, res, {
      requestId,
      record,
      account,
      request: parsed,
    });
  } finally {
    context.limits.leave(account.id);
  }
}

interface Admitted {
  readonly requestId: string;
  readonly record: ConfigRecord;
  readonly account: Account;
  readonly request: CallerRequest;
}

async function serveAdmitted(
  context: HandlerContext,
  req: IncomingMessage,
  res: ServerResponse,
  admitted: Admitted,
): Promise<void> {
  const {requestId, record, account, request} = admitted;
  const startedAt = Date.now();
  const deadlineHeader = Number(req.headers['x-deadline-ms']);
  const deadlineMs =
    Number.isInteger(deadlineHeader) && deadlineHeader > 0
      ? deadlineHeader
      : account.deadlineMs;
  const idempotencyKey = req.headers['idempotency-key'];
  const keyText =
    typeof idempotencyKey === 'string' && idempotencyKey.length > 0
      ? idempotencyKey
      : undefined;
  const notRepeatable =
    keyText !== undefined || isNotRepeatable(record, request.pool, request.op);
  const ledgerKey = notRepeatable
    ? `${account.id}:${keyText ?? requestId}`
    : undefined;
  const promptTokens = Math.ceil(request.prompt.length / CHARS_PER_TOKEN);
  const route = {
    promptTokens,
    maxTokens: request.maxTokens,
    affinityKey: keyText === undefined ? undefined : ledgerKey,
  };

  const candidates = context.membership.listUsable(request.pool);
  if (candidates.length === 0) {
    context.counters.add('admission.no_target');
    sendRefusal(
      res,
      {status: 503, reason: 'no_target', retryAfterMs: 1000},
      requestId,
    );
    return;
  }
  const bestMs = Math.min(
    ...candidates.map(c => estimateFinishMs(c, route, context.figures)),
  );
  if (bestMs > deadlineMs) {
    context.counters.add('admission.deadline_unreachable');
    sendRefusal(
      res,
      {
        status: 503,
        reason: 'deadline_unreachable',
        retryAfterMs: bestMs - deadlineMs,
      },
      requestId,
    );
    return;
  }

  const abort = new AbortController();
  res.on('close', () => {
    if (!res.writableFinished) abort.abort();
  });
  const chunks = createChunkStream();
  const pieces: string[] = [];
  let firstPieceAt: number | undefined;
  const observed = chunks.observe(text => {
    if (firstPieceAt === undefined) {
      firstPieceAt = Date.now();
      context.ttft.recordMs(firstPieceAt - startedAt);
    }
    if (!request.stream) {
      pieces.push(text);
      return;
    }
    if (!res.headersSent) startSse(res);
    writeSse(res, renderStreamPiece(request, requestId, text));
  });
  const result = await context.dispatcher.run({
    request: {
      requestId,
      account: account.id,
      pool: request.pool,
      kind: request.api === 'call' ? 'call' : 'generate',
      prompt: request.prompt,
      maxTokens: request.maxTokens,
      op: request.op,
      args: request.args,
      deadlineAt: startedAt + deadlineMs,
      notRepeatable,
      ledgerKey,
    },
    route,
    chunks,
    signal: abort.signal,
  });
  chunks.end();
  await observed;
  context.counters.add(`api.result.${result.status}`);
  sendResult(res, admitted, result, {text: pieces.join(''), promptTokens});
}

function sendResult(
  res: ServerResponse,
  admitted: Admitted,
  result: DispatchResult,
  collected: {readonly text: string; readonly promptTokens: number},
): void {
  const {requestId, request} = admitted;
  if (res.destroyed) return;
  if (result.status === 'done') {
    if (request.api === 'call') {
      sendJson(res, 200, {request_id: requestId, result: result.outcome.body});
      return;
    }
    if (request.stream) {
      if (!res.headersSent) startSse(res);
      writeSse(res, '[DONE]');
      res.end();
      return;
    }
    sendJson(
      res,
      200,
      renderCompletion(
        request,
        requestId,
        collected.text,
        result.outcome.tokens,
        collected.promptTokens,
      ),
    );
    return;
  }
  const [status, body, headers] = describeFailure(result, requestId);
  if (res.headersSent) {
    // The stream already started: the failure goes in-band, and the missing
    // [DONE] tells the caller the answer is not whole.
    writeSse(res, body, 'error');
    res.end();
    return;
  }
  sendJson(res, status, body, headers);
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
    const reason = result.ran
      ? 'deadline_passed_may_have_run'
      : 'deadline_passed_not_run';
    return [504, renderError('deadline_exceeded', reason, requestId), {}];
  }
  return [502, renderError('outcome_unknown', result.reason, requestId), {}];
}
