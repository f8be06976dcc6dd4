/** Reads the answer to one attempt at a call, and records what it shows. */
import {ExchangeError} from '../errors.js';
import {findFraming} from './exchange.js';
import {readVerdict, recordAnswerFacts} from './judge-answer.js';
import type {Target} from '../types.js';
import type {ResponseFraming} from './caller-response.js';
import type {ForwardContext} from './context.js';
import type {Exchange} from './exchange.js';
import type {GateRequest} from './request.js';

/** A target's complete response. */
export interface CompleteResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly framing: ResponseFraming;
}

/** Result of one attempt at a call. */
export type CallResult =
  | {readonly kind: 'answer'; readonly answer: CompleteResponse}
  | {readonly kind: 'target-failure'; readonly answer: CompleteResponse}
  | {readonly kind: 'not-run'}
  | {readonly kind: 'failed'; readonly error: ExchangeError};

/**
 * Reads the whole answer of a target; resolves, not rejects, if it fails.
 *
 * @example
 * const result = await readCallResult(context, request, target, exchange);
 */
export async function readCallResult(
  context: ForwardContext,
  request: GateRequest,
  target: Target,
  exchange: Exchange,
): Promise<CallResult> {
  try {
    return await readAnswer(context, request, target, exchange);
  } catch (error) {
    if (error instanceof ExchangeError) return {kind: 'failed', error};
    throw error;
  }
}

async function readAnswer(
  context: ForwardContext,
  request: GateRequest,
  target: Target,
  exchange: Exchange,
): Promise<CallResult> {
  const head = await exchange.head;
  const {verdict, facts} = readVerdict(
    head,
    context.dialect,
    request.facts.requestId,
  );
  if (verdict === 'foreign') {
    exchange.cancel();
    throw new ExchangeError('foreign-answer', true);
  }
  recordAnswerFacts(context, target, head, facts);
  if (verdict === 'not-run') {
    exchange.cancel();
    return {kind: 'not-run'};
  }
  const body = await exchange.readWholeBody(head);
  const framing = findFraming(head.message);
  if (framing === 'by-close' && (await context.crashes.isCrashEnd(target)))
    throw new ExchangeError('truncated', true);
  const {status, message} = head;
  const answer = {status, headers: message.rawHeaders, body, framing};
  return {kind: verdict, answer};
}

/**
 * Records what the attempts at one call show about their targets.
 *
 * @example
 * new CallFaults(context, request).recordHealth(target, result);
 */
export class CallFaults {
  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
  ) {}

  /** Finds out whether the target has crashed that broke off an attempt. */
  async checkCrash(
    target: Target,
    exchange: Exchange,
    error: ExchangeError,
    sentAt: number,
  ): Promise<void> {
    const {crashes} = this.context;
    if (error.isRefusedConnection) return crashes.recordRefusal(target);
    if (!error.isConnectionEnd || exchange.isReplaced) return;
    await crashes.waitForVerdict({
      request: this.request,
      target,
      firstEventAt: undefined,
      sentAt,
    });
  }

  /** Records whether the target has answered. */
  recordHealth(target: Target, result: CallResult): void {
    const {health, readNow} = this.context;
    if (result.kind === 'answer') health.recordSuccess(target.id);
    else if (result.kind !== 'failed')
      health.recordFailure(target.id, readNow(), false);
    else if (result.error.isTargetFault)
      health.recordFailure(target.id, readNow(), !result.error.wasSent);
  }
}
