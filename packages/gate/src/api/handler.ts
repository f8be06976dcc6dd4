/**
 * HTTP handler of the caller API: authenticates a request, validates it, checks
 * what its client account may use, and passes it on to be served.
 */
import {randomBytes} from 'node:crypto';
import {createLogger, parseJson, readPath, sendJson} from '@nutmeggauge/core';
import {receiveCallerBody} from './receive-caller-body.js';
import {parseCallerRequest} from './requests.js';
import {observeRequest} from './request-log.js';
import {renderError} from './responses.js';
import {sendHandBack, sendRefusal, toRetryAfter} from './results.js';
import {serveAdmitted} from './serve-admitted.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {HandlerContext} from './handler-context.js';
import type {CallerErrorType} from './responses.js';

const log = createLogger('api');

let nextRequestNumber = 1;

/**
 * Handles one caller request on `/v1/completions`, `/v1/chat/completions` or
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
  const requestId = `${context.gateId}-${nextRequestNumber++}-${randomBytes(3).toString('hex')}`;
  const sendError = (status: number, type: CallerErrorType, reason: string) => {
    context.counters.add(`api.${type}`);
    sendJson(res, status, renderError(type, reason, requestId));
  };
  context.counters.add('api.requests');
  observeRequest(log, requestId, req, res);
  if (context.isClosed()) {
    const body = renderError('shutting_down', 'gate_draining', requestId);
    sendJson(res, 503, body, {...toRetryAfter(1000), connection: 'close'});
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
    const reason = key === undefined ? 'missing_key' : 'unknown_key';
    sendError(401, 'unauthorized', reason);
    return;
  }
  const held = context.held.add(requestId, res);
  const handBack = () => sendHandBack(res, held);
  held.handedBack.addEventListener('abort', handBack, {once: true});
  const bytes = await receiveCallerBody(context, {
    req,
    res,
    requestId,
    account,
  });
  held.handedBack.removeEventListener('abort', handBack);
  if (held.handedBack.aborted) {
    res.end();
    return;
  }
  if (bytes === undefined) return;
  held.setPlace('gate');
  const body = parseJson(bytes);
  if (body === undefined && bytes.length > 0) {
    sendError(400, 'bad_request', 'body_not_json');
    return;
  }
  const request = parseCallerRequest(readPath(req) ?? '', body);
  if ('error' in request) {
    sendError(400, 'bad_request', request.error);
    return;
  }
  if (!account.pools.includes(request.pool)) {
    sendError(403, 'forbidden', `account may not use ${request.pool}`);
    return;
  }
  const refusal = context.limits.enter(account);
  if (refusal !== undefined) {
    context.counters.add(`admission.${refusal.reason}`);
    sendRefusal(res, refusal, requestId);
    return;
  }
  try {
    await serveAdmitted(context, res, {
      requestId,
      record,
      account,
      headers: req.headers,
      request,
      held,
    });
  } finally {
    context.limits.leave(account.id);
  }
}
