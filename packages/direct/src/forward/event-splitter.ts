/**
 * Splits a stream of server-sent events. Only whole events are forwarded, so
 * that another target can continue after the last one.
 */

/** One whole event with its terminating bytes. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of its `id` field; absent when it has none. */
  readonly id: string | undefined;
}

const BOUNDARY = '\n\n';

/**
 * Buffers bytes and returns whole events.
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

  /** Adds bytes and returns the events that they complete. */
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
 * Creates a splitter.
 *
 * @example
 * const splitter = createEventSplitter();
 */
export function createEventSplitter(): EventSplitter {
  return new EventSplitter();
}
