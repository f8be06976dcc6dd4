/** Reads the body of a target's answer, whatever marks its end. */
import {findFraming} from './exchange.js';
import type {Target} from '../types.js';
import type {ForwardContext} from './context.js';
import type {Exchange, ResponseHead} from './exchange.js';
import type {GateRequest} from './request.js';

/** Answer to one attempt. */
export interface AnswerSource {
  readonly context: ForwardContext;
  readonly request: GateRequest;
  readonly target: Target;
  readonly exchange: Exchange;
}

/**
 * Yields the body in parts.
 *
 * @throws ExchangeError if the target breaks the answer off.
 * @example
 * for await (const part of readAnswerBody(source, head)) held.add(part, 'error-body');
 */
export async function* readAnswerBody(
  source: AnswerSource,
  head: ResponseHead,
): AsyncGenerator<Buffer> {
  const {exchange} = source;
  if (findFraming(head.message) !== 'by-close') {
    yield* exchange.readBody(head);
    return;
  }
  let bytes = 0;
  for await (const part of exchange.readBody(head)) {
    bytes += part.length;
    yield part;
  }
  await recordUnframedEnd(source, head, bytes);
}

/** Records how the end of the connection marked the end of a body. */
async function recordUnframedEnd(
  {context, request, target, exchange}: AnswerSource,
  {status}: ResponseHead,
  bytes: number,
): Promise<void> {
  const end = await exchange.end;
  context.counters.add(`answer.unframed_${end}`);
  context.log.info('unframed_answer_ended', {
    requestId: request.facts.requestId,
    target: target.id,
    status,
    end,
    bytes,
  });
}
