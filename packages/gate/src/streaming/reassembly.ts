/**
 * Reassembles the chunks of one request in order. Chunks that arrive early are
 * held and duplicates are dropped, so that the caller gets each chunk once.
 */
import {EventEmitter} from 'node:events';
import * as most from 'most';
import type {ChunkNotification} from '@nutmeggauge/core';

interface ReorderState {
  readonly next: number;
  readonly held: ReadonlyMap<number, string>;
}

/**
 * Advances the reorder state by one chunk and returns the texts that can now be
 * released in order.
 *
 * @example
 * stepReorder({next: 0, held: new Map()}, {requestId: 'r', seq: 1, text: 'b'}); // value: [], since chunk 0 is missing
 */
export function stepReorder(
  state: ReorderState,
  notice: ChunkNotification,
): {readonly seed: ReorderState; readonly value: readonly string[]} {
  if (notice.seq < state.next || state.held.has(notice.seq))
    return {seed: state, value: []};
  const held = new Map(state.held).set(notice.seq, notice.text);
  const due: string[] = [];
  let next = state.next;
  while (held.has(next)) {
    due.push(held.get(next) as string);
    held.delete(next);
    next++;
  }
  return {seed: {next, held}, value: due};
}

/**
 * Streams the chunks of one request in order.
 *
 * @example
 * const chunks = createChunkStream();
 * const done = chunks.observe(text => res.write(text));
 * chunks.push(notice); chunks.end(); await done;
 */
export class ChunkStream {
  private readonly events = new EventEmitter();
  private readonly released: string[] = [];

  /**
   * Number of chunks released so far, which is the sequence number of the next
   * chunk.
   */
  get releasedCount(): number {
    return this.released.length;
  }

  /** Text of the chunks released so far. */
  get releasedText(): string {
    return this.released.join('');
  }

  /** Adds one chunk; chunks may arrive in any order. */
  push(notice: ChunkNotification): void {
    this.events.emit('chunk', notice);
  }

  /** Ends the stream; chunks after a missing one are not released. */
  end(): void {
    this.events.emit('end', true);
  }

  /**
   * Calls `write` with the text of each chunk in order; resolves when the
   * stream ends.
   */
  observe(write: (text: string) => void): Promise<void> {
    const ended = most.fromEvent<boolean>('end', this.events);
    return most
      .fromEvent<ChunkNotification>('chunk', this.events)
      .until(ended)
      .loop(stepReorder, {
        next: 0,
        held: new Map<number, string>(),
      } as ReorderState)
      .tap(due => this.released.push(...due))
      .concatMap(due => most.from(due))
      .observe(write);
  }
}

/**
 * Creates an empty chunk stream.
 *
 * @example
 * const chunks = createChunkStream();
 */
export function createChunkStream(): ChunkStream {
  return new ChunkStream();
}
