/**
 * Receives the bodies of callers' requests, and refuses those that are too large, that
 * there is no memory for, or that have not arrived at their deadline.
 */
import {
  HeldBody,
  MAX_BODY_BYTES,
  ReadTimeout,
  createLogger,
  dropHead,
  measureHead,
  readAnnouncedBytes,
  receiveBody,
  sendJson,
} from '@nutmeggauge/core';
import {renderError} from './responses.js';
import {sendRefusal} from './results.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Account, MemoryClaim} from '@nutmeggauge/core';
import type {Refusal} from '../admission/limits.js';
import type {HandlerContext} from './handler-context.js';

const log = createLogger('api');

/** Retry-After of a request that another gate may have room for, in ms. */
const NO_MEMORY_RETRY_MS = 1000;

/** Retry-After of a request whose body came too late, in ms. */
const LATE_RETRY_MS = 1000;

/** A request whose caller is known. */
export interface AuthenticatedHead {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly requestId: string;
  readonly account: Account;
}

/**
 * Returns whether the head of a request announces a larger body than is accepted.
 *
 * @example
 * if (!isBodyTooLarge(req)) res.writeContinue();
 */
export function isBodyTooLarge({headers}: IncomingMessage): boolean {
  return (readAnnouncedBytes(headers) ?? 0) > MAX_BODY_BYTES;
}

/**
 * Reads how long the caller waits for its answer, in ms.
 *
 * @example
 * readDeadlineMs({'x-deadline-ms': '1500'}, account); // 1500
 */
export function readDeadlineMs(
  headers: IncomingMessage['headers'],
  account: Account,
): number {
  const requestedMs = Number(headers['x-deadline-ms']);
  return Number.isInteger(requestedMs) && requestedMs > 0
    ? requestedMs
    : account.deadlineMs;
}

/**
 * Resolves with the whole body, which is charged until the answer has been sent;
 * undefined if the request was answered, or its caller has left.
 *
 * @example
 * const bytes = await receiveCallerBody(context, {req, res, requestId, account});
 */
export async function receiveCallerBody(
  context: HandlerContext,
  head: AuthenticatedHead,
): Promise<Buffer | undefined> {
  const {req, res, requestId, account} = head;
  let isRefused = false;
  const refuse = (send: () => void) => {
    timeout.stop();
    body.drop();
    claim.release();
    if (isRefused || res.headersSent || res.destroyed) return;
    isRefused = true;
    send();
    dropHead(req);
  };
  const refuseLarge = () => {
    context.counters.add('api.bad_request');
    const error = renderError('bad_request', 'body_too_large', requestId);
    sendJson(res, 413, error);
  };
  const sendUnavailable = (refusal: Refusal) => {
    context.counters.add(`admission.${refusal.reason}`);
    sendRefusal(res, refusal, requestId);
  };
  const refuseForMemory = () => {
    recordNoMemory(context, requestId, claim);
    const retryAfterMs = NO_MEMORY_RETRY_MS;
    sendUnavailable({status: 503, reason: 'no_memory', retryAfterMs});
  };
  const refuseLate = () =>
    sendUnavailable({
      status: 503,
      reason: 'body_too_late',
      retryAfterMs: LATE_RETRY_MS,
    });
  const claim: MemoryClaim = context.callerMemory.open(account.id, {
    onGiveUp: () => refuse(refuseForMemory),
  });
  res.once('close', () => claim.release());
  const headBytes = measureHead(req.rawHeaders);
  const body = new HeldBody({
    maxBytes: MAX_BODY_BYTES,
    announcedBytes: readAnnouncedBytes(req.headers),
    headBytes,
    claim,
  });
  const timeout = new ReadTimeout(
    () => refuse(refuseLate),
    readDeadlineMs(req.headers, account),
  );
  if (isBodyTooLarge(req)) refuse(refuseLarge);
  else if (!claim.setBytes(headBytes)) refuse(refuseForMemory);
  if (isRefused) return undefined;
  try {
    const {bytes, fault} = await receiveBody(req, body);
    if (isRefused) return undefined;
    if (fault !== undefined)
      refuse(fault === 'too_large' ? refuseLarge : refuseForMemory);
    return bytes;
  } catch {
    // The caller disconnected while sending its body: nothing runs, and no
    // answer is sent.
    context.counters.add('api.caller_left');
    return undefined;
  } finally {
    timeout.stop();
  }
}

function recordNoMemory(
  {callerMemory}: HandlerContext,
  requestId: string,
  claim: MemoryClaim,
): void {
  log.warn('memory_refused', {
    requestId,
    account: claim.owner,
    isGivenUp: claim.isGivenUp,
    accountBytes: callerMemory.countHeld(claim.owner),
    heldBytes: callerMemory.heldBytes,
    limitBytes: callerMemory.limitBytes,
  });
}
