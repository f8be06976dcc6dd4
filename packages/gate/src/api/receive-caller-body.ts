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

/** Body of one request while it arrives. */
class ArrivingBody {
  private readonly claim: MemoryClaim;
  private readonly body: HeldBody;
  private readonly headBytes: number;
  private readonly timeout: ReadTimeout;
  private isRefused = false;

  constructor(
    private readonly context: HandlerContext,
    private readonly head: AuthenticatedHead,
  ) {
    const {req, res, account} = head;
    this.headBytes = measureHead(req.rawHeaders);
    this.claim = context.callerMemory.open(account.id, {
      onGiveUp: () => this.refuseForMemory(),
    });
    res.once('close', () => this.claim.release());
    this.body = new HeldBody({
      maxBytes: MAX_BODY_BYTES,
      announcedBytes: readAnnouncedBytes(req.headers),
      headBytes: this.headBytes,
      claim: this.claim,
    });
    this.timeout = new ReadTimeout(
      () => this.refuseUnavailable('body_too_late', LATE_RETRY_MS),
      readDeadlineMs(req.headers, account),
    );
  }

  /** Resolves with the whole body; undefined if the request was answered. */
  async receive(): Promise<Buffer | undefined> {
    const {req} = this.head;
    if (isBodyTooLarge(req)) this.refuseLarge();
    else if (!this.claim.setBytes(this.headBytes)) this.refuseForMemory();
    if (this.isRefused) return undefined;
    try {
      const {bytes, fault} = await receiveBody(req, this.body);
      if (fault === 'too_large') this.refuseLarge();
      if (fault === 'no_room') this.refuseForMemory();
      return this.isRefused ? undefined : bytes;
    } catch {
      // The caller disconnected while sending its body: nothing runs, and no
      // answer is sent.
      this.context.counters.add('api.caller_left');
      return undefined;
    } finally {
      this.timeout.stop();
    }
  }

  private refuseLarge(): void {
    const {res, requestId} = this.head;
    this.refuse(() => {
      this.context.counters.add('api.bad_request');
      const error = renderError('bad_request', 'body_too_large', requestId);
      sendJson(res, 413, error);
    });
  }

  private refuseForMemory(): void {
    const {callerMemory} = this.context;
    const {owner, isGivenUp} = this.claim;
    log.warn('memory_refused', {
      requestId: this.head.requestId,
      account: owner,
      isGivenUp,
      accountBytes: callerMemory.countHeld(owner),
      heldBytes: callerMemory.heldBytes,
      limitBytes: callerMemory.limitBytes,
    });
    this.refuseUnavailable('no_memory', NO_MEMORY_RETRY_MS);
  }

  private refuseUnavailable(
    reason: 'no_memory' | 'body_too_late',
    retryAfterMs: number,
  ): void {
    const {res, requestId} = this.head;
    this.refuse(() => {
      this.context.counters.add(`admission.${reason}`);
      sendRefusal(res, {status: 503, reason, retryAfterMs}, requestId);
    });
  }

  /** Sends an answer unless there is one, and drops what is held. */
  private refuse(send: () => void): void {
    const {req, res} = this.head;
    this.timeout.stop();
    this.body.drop();
    this.claim.release();
    if (this.isRefused || res.headersSent || res.destroyed) return;
    this.isRefused = true;
    send();
    dropHead(req);
  }
}

/**
 * Resolves with the whole body, which is charged until the answer has been sent;
 * undefined if the request was answered, or its caller has left.
 *
 * @example
 * const bytes = await receiveCallerBody(context, {req, res, requestId, account});
 */
export function receiveCallerBody(
  context: HandlerContext,
  head: AuthenticatedHead,
): Promise<Buffer | undefined> {
  return new ArrivingBody(context, head).receive();
}
