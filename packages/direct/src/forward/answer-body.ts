/** Reads the body of a target's answer, whatever marks its end. */
import {HeadScanner} from '@nutmeggauge/core';
import {ExchangeError} from '../errors.js';
import {findFraming} from './exchange.js';
import type {ScannedBytes} from '@nutmeggauge/core';
import type {ExchangeFault} from '../errors.js';
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

/** How a body ended whose end its connection marks. */
type UnframedEnd = 'closed' | ExchangeFault;

/**
 * Yields the body in parts. A body whose end its connection marks is whole only if
 * the target closed the connection in order, still accepts connections, and sent no
 * second answer.
 *
 * @throws ExchangeError if the target breaks the answer off, or another one follows.
 * @example
 * for await (const part of readAnswerBody(source, head)) held.add(part, 'error-body');
 */
export async function* readAnswerBody(
  source: AnswerSource,
  head: ResponseHead,
): AsyncGenerator<Buffer> {
  const {context, target, exchange} = source;
  if (findFraming(head.message) !== 'by-close') {
    yield* exchange.readBody(head);
    return;
  }
  let bytes = 0;
  let end: UnframedEnd = 'cancelled';
  try {
    for await (const part of readFirstAnswer(source, head)) {
      bytes += part.length;
      yield part;
    }
    if (await context.crashes.isCrashEnd(target))
      throw new ExchangeError('truncated', true);
    end = 'closed';
  } catch (error) {
    if (error instanceof ExchangeError) end = error.fault;
    throw error;
  } finally {
    recordUnframedEnd(source, head, end, bytes);
  }
}

/**
 * Yields the body of an answer without a length or chunks, behind which a faulty
 * target may send another answer.
 *
 * @throws ExchangeError if another answer follows.
 */
async function* readFirstAnswer(
  {context, exchange}: AnswerSource,
  head: ResponseHead,
): AsyncGenerator<Buffer> {
  const scanner = new HeadScanner(
    fields => context.dialect.parseAnswer(fields).requestId !== undefined,
  );
  for await (const part of exchange.readBody(head))
    yield* listBody(scanner.push(part));
  yield* listBody(scanner.finish());
}

/** @throws ExchangeError if the head of another answer follows. */
function* listBody({body, hasHead}: ScannedBytes): Generator<Buffer> {
  if (body.length > 0) yield body;
  if (hasHead) throw new ExchangeError('second-answer', true);
}

function recordUnframedEnd(
  {context, request, target}: AnswerSource,
  {status}: ResponseHead,
  end: UnframedEnd,
  bytes: number,
): void {
  context.counters.add(`answer.unframed_${end}`);
  context.log.info('unframed_answer_ended', {
    requestId: request.facts.requestId,
    target: target.id,
    status,
    end,
    bytes,
  });
}
