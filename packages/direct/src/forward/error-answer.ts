/** Passes an engine's error on to the caller of a stream. */
import {HeldBytes} from '../buffers/held-bytes.js';
import {ExchangeError} from '../errors.js';
import {MAX_HELD_ANSWER_BYTES} from './call-result.js';
import {findFraming} from './exchange.js';
import type {ForwardContext} from './context.js';
import type {Exchange, ResponseHead} from './exchange.js';
import type {GateRequest} from './request.js';

/** Dependencies of {@link forwardErrorAnswer}. */
export interface ErrorAnswerOptions {
  readonly context: ForwardContext;
  readonly request: GateRequest;
  /** Whether another attempt runs or may be started, or an event was sent. */
  readonly hasAlternative: () => boolean;
}

/**
 * Reads an error of an engine and sends it to the caller.
 *
 * @throws ExchangeError if there is an alternative, or if the body is truncated or
 *   too large.
 * @example
 * await forwardErrorAnswer(options, exchange, head);
 */
export async function forwardErrorAnswer(
  {context, request, hasAlternative}: ErrorAnswerOptions,
  exchange: Exchange,
  head: ResponseHead,
): Promise<void> {
  const held = new HeldBytes({
    budget: context.heldBytes,
    maxBytes: MAX_HELD_ANSWER_BYTES,
  });
  const {status, message} = head;
  const {caller} = request;
  try {
    await exchange.readWholeBody(head, held);
    if (hasAlternative()) throw new ExchangeError('malformed', true);
  } catch (error) {
    held.release();
    throw error;
  }
  caller.onClose(() => held.release());
  const framing = findFraming(message);
  caller.sendComplete(status, message.rawHeaders, held.bytes, framing);
}
