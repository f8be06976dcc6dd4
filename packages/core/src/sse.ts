/**
 * Reading of server-sent events, used by the agent towards its engine and by
 * the load tool towards a gate.
 */

/** One parsed event. */
export interface SseEvent {
  readonly event: string;
  readonly data: string;
}

/**
 * Splits complete events off the front of `buffer`.
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
 * Reads a byte stream as events, one at a time.
 *
 * @throws Whatever `body` throws when it breaks.
 * @example
 * for await (const event of readSseEvents(response.body)) handle(event);
 */
export async function* readSseEvents(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<SseEvent> {
  // A multi-byte character may be split over two parts of the body.
  const decoder = new TextDecoder();
  let buffer = '';
  for await (const part of body) {
    const parsed = parseSseEvents(
      buffer + decoder.decode(part, {stream: true}),
    );
    buffer = parsed.rest;
    yield* parsed.events;
  }
}
