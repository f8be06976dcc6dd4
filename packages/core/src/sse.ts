/**
 * Parser for server-sent events (SSE). The agent uses it to read from its
 * engine, the load generator to read from a gate.
 */

import {isAnsweredAgain} from './answer-head.js';
import {OversizedBodyError, SecondAnswerError} from './errors.js';

/** Largest event, in characters: it may have no end. */
const MAX_EVENT_LENGTH = 1024 * 1024;

/** One parsed server-sent event. */
export interface SseEvent {
  readonly event: string;
  readonly data: string;
}

/**
 * Parses one event.
 *
 * @throws SecondAnswerError
 */
function parseBlock(block: string): SseEvent {
  // The head of an answer without fields ends with the event.
  if (isAnsweredAgain(`${block}\n`))
    throw new SecondAnswerError({}, 'the stream holds a second answer');
  let event = 'message';
  let data = '';
  for (const line of block.split('\n')) {
    if (line.startsWith('event: ')) event = line.slice(7);
    if (line.startsWith('data: ')) data += line.slice(6);
  }
  return {event, data};
}

/**
 * Reads a byte stream and yields its events one at a time; their data is JSON.
 *
 * @throws OversizedBodyError when an event passes `MAX_EVENT_LENGTH`,
 *   SecondAnswerError when an event holds the head of another answer, or the error
 *   of `body` when the stream fails.
 * @example
 * for await (const event of readSseEvents(response.body)) handle(event);
 */
export async function* readSseEvents(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<SseEvent> {
  // A multi-byte character may be split across two parts of the body.
  const decoder = new TextDecoder();
  let buffer = '';
  for await (const part of body) {
    const text = buffer + decoder.decode(part, {stream: true});
    const blocks = text.split('\n\n');
    buffer = blocks.pop() ?? '';
    if (buffer.length > MAX_EVENT_LENGTH)
      throw new OversizedBodyError('event', MAX_EVENT_LENGTH);
    for (const block of blocks) yield parseBlock(block);
  }
}
