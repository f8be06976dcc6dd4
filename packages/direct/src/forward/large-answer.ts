/** Passes an answer that is too large to be held on to the caller as it arrives. */
import {ExchangeError, OversizedAnswerError} from '../errors.js';
import {findFraming} from './exchange.js';
import type {CallerResponse} from './caller-response.js';
import type {CallResult, LargeAnswer, LargeResult} from './call-types.js';
import type {Exchange} from './exchange.js';
import type {GateRequest} from './request.js';

/** Largest body that gives no length, in bytes: it may have no end. */
const MAX_UNSIZED_BYTES = 128 * 1024 * 1024;

/**
 * Passes an answer on, no faster than the caller reads. Its end is not sent.
 *
 * @returns `result`, or the error if the target breaks the answer off, or if a body
 *   without a length passes a bound; the caller has then got a part of it.
 * @example
 * await forwardLargeResult(request, exchange, result);
 */
export async function forwardLargeResult(
  {caller}: GateRequest,
  exchange: Exchange,
  result: LargeResult,
): Promise<CallResult> {
  try {
    await forwardLargeAnswer(caller, result.large);
    return result;
  } catch (error) {
    exchange.cancel();
    if (!(error instanceof ExchangeError)) throw error;
    return {kind: 'failed', error};
  } finally {
    result.large.held.release();
  }
}

async function forwardLargeAnswer(
  caller: CallerResponse,
  {head, held, nextPart, rest}: LargeAnswer,
): Promise<void> {
  const {status, message} = head;
  const framing = findFraming(message);
  // The caller is told no more of the end than the target tells.
  caller.start(status, message.rawHeaders, framing);
  let sentBytes = held.length;
  caller.write(held.removeAll());
  let part: Buffer | undefined = nextPart;
  while (part !== undefined) {
    sentBytes += part.length;
    if (framing !== 'length' && sentBytes > MAX_UNSIZED_BYTES)
      throw new OversizedAnswerError('body', MAX_UNSIZED_BYTES);
    caller.write(part);
    await caller.waitForRoom();
    const next = await rest.next();
    part = next.done === true ? undefined : next.value;
  }
}
