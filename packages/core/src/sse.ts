/**
 * Parser for server-sent events (SSE). The agent uses it to read from its
 * engine, the load generator to read from a gate.
 */

import {OversizedBodyError} from './errors.js';

/** Largest event, in characters: it may have no end. */
const MAX_EVENT_LENGTH = 1024 * 1024;

/** One parsed server-sent event. */
export interface SseEvent {
  readonly event: string;
  readonly data: string;
}

/**
 * Parses the complete events at the start of `buffer`; `rest` is the text after
 * them.
 *
 * @example
 * parseSseEvents('data: 1\n\nda'); // {events: [{event: 'message', data: '1'}], rest: 'da'}
 */
export function parseSseEvents(buffer: string): {
  readonly events: readonly SseEvent[];
  readonly rest: string;
} {
  const blocks = buffer.split('\n\n');
  const rest = blocks.pop() ?? '';
  return {events: blocks.map(parseBlock), rest};
}

function parseBlock(block: string): SseEvent {
  let event = 'message';
  let data = '';
  for (const line of block.split('\n')) {
    if (line.startsWith('event: ')) event = line.slice(7);
    if (line.startsWith('data: ')) data += line.slice(6);
  }
  return {event, data};
}

/**
 * Reads a byte stream and yields its events one at a time.
 *
 * @throws OversizedBodyError when an event passes `MAX_EVENT_LENGTH`, or the error
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
    const parsed = parseSseEvents(
      buffer + decoder.decode(part, {stream: true}),
    );
    buffer = parsed.rest;
    if (buffer.length > MAX_EVENT_LENGTH)
      throw new OversizedBodyError('event', MAX_EVENT_LENGTH);
    yield* parsed.events;
  }
}
