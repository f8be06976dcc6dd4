/** Passes an engine's error on to the caller of a stream. */
import {HeldBytes} from '../buffers/held-bytes.js';
import {ExchangeError} from '../errors.js';
import {MAX_HELD_ANSWER_BYTES} from './call-result.js';
import {readAnswerBody} from './answer-body.js';
import {findFraming} from './exchange.js';
import type {AnswerSource} from './answer-body.js';
import type {ResponseHead} from './exchange.js';

/**
 * Reads an error of an engine and sends it to the caller.
 *
 * @param hasAlternative - Returns whether another attempt runs or may be started, or
 *   an event was sent.
 * @throws ExchangeError if there is an alternative, or if the body is truncated or
 *   too large.
 * @example
 * await forwardErrorAnswer(source, head, hasAlternative);
 */
export async function forwardErrorAnswer(
  source: AnswerSource,
  head: ResponseHead,
  hasAlternative: () => boolean,
): Promise<void> {
  const held = new HeldBytes({
    budget: source.context.heldBytes,
    maxBytes: MAX_HELD_ANSWER_BYTES,
  });
  const {status, message} = head;
  const {caller} = source.request;
  try {
    for await (const part of readAnswerBody(source, head))
      held.add(part, 'error-body');
    if (hasAlternative()) throw new ExchangeError('malformed', true);
  } catch (error) {
    held.release();
    throw error;
  }
  caller.onClose(() => held.release());
  const framing = findFraming(message);
  caller.sendComplete(status, message.rawHeaders, held.bytes, framing);
}
