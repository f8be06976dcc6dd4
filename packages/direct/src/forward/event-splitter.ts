/**
 * Splits a byte stream into server-sent events. Only complete events are
 * forwarded, so that another target can resume the stream after the last one.
 */

/** One complete event. */
export interface StreamEvent {
  /** Bytes of the event, including the blank line that ends it. */
  readonly bytes: Buffer;
  /** Value of the `id` field; absent if the event has none. */
  readonly id: string | undefined;
}

const BOUNDARY = '\n\n';

/**
 * Splits bytes into complete events and buffers incomplete ones.
 *
 * @example
 * splitter.push(Buffer.from('id: 1\ndata: a\n\nid')); // one event
 */
export class EventSplitter {
  private remainder: Buffer = Buffer.alloc(0);

  /** True if bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.remainder.length > 0;
  }

  /** Adds bytes and returns the events completed by them. */
  push(bytes: Buffer): readonly StreamEvent[] {
    let buffer =
      this.remainder.length === 0
        ? bytes
        : Buffer.concat([this.remainder, bytes]);
    const events: StreamEvent[] = [];
    let end = buffer.indexOf(BOUNDARY);
    while (end >= 0) {
      const event = buffer.subarray(0, end + BOUNDARY.length);
      events.push({bytes: event, id: parseEventId(event)});
      buffer = buffer.subarray(end + BOUNDARY.length);
      end = buffer.indexOf(BOUNDARY);
    }
    this.remainder = buffer;
    return events;
  }
}

function parseEventId(event: Buffer): string | undefined {
  const match = /(?:^|\n)id: ?([^\r\n]*)/.exec(event.toString('latin1'));
  return match?.[1];
}

/**
 * Creates a splitter for one stream.
 *
 * @example
 * const splitter = createEventSplitter();
 */
export function createEventSplitter(): EventSplitter {
  return new EventSplitter();
}
