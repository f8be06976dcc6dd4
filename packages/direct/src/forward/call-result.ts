/** Reads the answer to one attempt at a call, and records what it shows. */
import {HeldBytes} from '../buffers/held-bytes.js';
import {ExchangeError, OversizedAnswerError} from '../errors.js';
import {readAnswerBody} from './answer-body.js';
import {findFraming} from './exchange.js';
import {readVerdict, recordAnswerFacts} from './judge-answer.js';
import type {Target} from '../types.js';
import type {CallResult, LargeAnswer} from './call-types.js';
import type {ForwardContext} from './context.js';
import type {Exchange, ResponseHead} from './exchange.js';
import type {GateRequest} from './request.js';

/**
 * Largest answer that is held until it is complete, in bytes, so that another
 * target can be tried if it is broken off.
 */
export const MAX_HELD_ANSWER_BYTES = 1024 * 1024;

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
  const held = new HeldBytes({
    budget: context.heldBytes,
    maxBytes: MAX_HELD_ANSWER_BYTES,
  });
  try {
    const source = {context, request, target, exchange};
    const large = await holdBody(readAnswerBody(source, head), head, held);
    if (large === undefined) {
      const {status, message} = head;
      const framing = findFraming(message);
      const headers = message.rawHeaders;
      return {kind: verdict, answer: {status, headers, held, framing}};
    }
    if (verdict === 'answer' || request.route.kind !== 'safe')
      return {kind: 'large', large};
    exchange.cancel();
    if (held.length + large.nextPart.length <= MAX_HELD_ANSWER_BYTES)
      throw new ExchangeError('no-buffer', true);
    throw new OversizedAnswerError('error-body', MAX_HELD_ANSWER_BYTES);
  } catch (error) {
    held.release();
    throw error;
  }
}

/** Holds the body; returns what is left if it doesn't fit. */
async function holdBody(
  rest: AsyncGenerator<Buffer>,
  head: ResponseHead,
  held: HeldBytes,
): Promise<LargeAnswer | undefined> {
  for (;;) {
    const {done, value} = await rest.next();
    if (done === true) return undefined;
    if (held.offer(value) !== undefined)
      return {head, held, nextPart: value, rest};
  }
}

/**
 * Drops what an answer holds that is not sent.
 *
 * @example
 * releaseResult(result);
 */
export function releaseResult(result: CallResult): void {
  if (result.kind === 'large') result.large.held.release();
  if (result.kind === 'answer' || result.kind === 'target-failure')
    result.answer.held.release();
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
    const isAnswer = result.kind === 'answer' || result.kind === 'large';
    if (isAnswer) health.recordSuccess(target.id);
    else if (result.kind !== 'failed')
      health.recordFailure(target.id, readNow(), false);
    else if (result.error.isTargetFault)
      health.recordFailure(target.id, readNow(), !result.error.wasSent);
  }
}
