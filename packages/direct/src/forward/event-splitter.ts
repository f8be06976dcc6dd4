/**
 * Splits a byte stream into server-sent events. Only complete events are
 * forwarded, so that another target can resume the stream after the last one.
 */
import {ByteBudget} from '../buffers/byte-budget.js';
import {HeldBytes} from '../buffers/held-bytes.js';

/** One complete event. */
export interface StreamEvent {
  /** Bytes of the event, including the blank line that ends it. */
  readonly bytes: Buffer;
  /** Value of the `id` field; absent if the event has none. */
  readonly id: string | undefined;
}

const LINE_END = '\n'.charCodeAt(0);
const BOUNDARY = '\n\n';
const ID_FIELD = 'id:';

/** Largest event, in bytes. */
export const MAX_EVENT_BYTES = 1024 * 1024;

/**
 * Splits bytes into complete events and holds incomplete ones. Each byte is
 * searched once and copied a bounded number of times.
 *
 * @example
 * splitter.push(Buffer.from('id: 1\ndata: a\n\nid')); // one event
 */
export class EventSplitter {
  private readonly held: HeldBytes;
  /** Whether the incomplete event ends with a line end. */
  private hasLineEnd = false;

  /** @param budget - Bytes that incomplete events of all streams may hold. */
  constructor(budget: ByteBudget) {
    this.held = new HeldBytes({budget, maxBytes: MAX_EVENT_BYTES});
  }

  /** True if bytes of an incomplete event are held. */
  get hasPartialEvent(): boolean {
    return this.held.length > 0;
  }

  /**
   * Adds bytes and returns the events completed by them.
   *
   * @throws ExchangeError if an event is larger than `MAX_EVENT_BYTES`, or if the
   *   budget is spent.
   */
  push(bytes: Buffer): readonly StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    let end = this.findFirstEnd(bytes);
    while (end >= 0) {
      events.push(this.finishEvent(bytes.subarray(start, end)));
      start = end;
      end = findEnd(bytes, start);
    }
    if (start < bytes.length)
      this.held.add(start === 0 ? bytes : bytes.subarray(start), 'event');
    this.hasLineEnd = start < bytes.length && bytes.at(-1) === LINE_END;
    return events;
  }

  /** Drops an incomplete event. */
  close(): void {
    this.held.release();
  }

  /** Finds the end of the first event, whose boundary may have begun before. */
  private findFirstEnd(bytes: Buffer): number {
    return this.hasLineEnd && bytes[0] === LINE_END ? 1 : findEnd(bytes, 0);
  }

  private finishEvent(last: Buffer): StreamEvent {
    if (this.held.length === 0) return {bytes: last, id: parseEventId(last)};
    this.held.add(last, 'event');
    const bytes = this.held.removeAll();
    return {bytes, id: parseEventId(bytes)};
  }
}

/** Returns the index after the next boundary; -1 if there is none. */
function findEnd(bytes: Buffer, start: number): number {
  const index = bytes.indexOf(BOUNDARY, start);
  return index < 0 ? -1 : index + BOUNDARY.length;
}

function parseEventId(event: Buffer): string | undefined {
  if (!event.includes(ID_FIELD)) return undefined;
  const match = /(?:^|\n)id: ?([^\r\n]*)/.exec(event.toString('latin1'));
  return match?.[1];
}

/**
 * Creates a splitter for one stream.
 *
 * @param budget - Bytes that incomplete events of all streams may hold; by
 *   default those of one event.
 * @example
 * const splitter = createEventSplitter();
 */
export function createEventSplitter(
  budget = new ByteBudget(MAX_EVENT_BYTES),
): EventSplitter {
  return new EventSplitter(budget);
}
