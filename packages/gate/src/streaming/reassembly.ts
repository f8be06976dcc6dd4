/**
 * Ordered reassembly of one request's chunks: early chunks are held, copies of
 * released ones dropped, so the caller gets each once and in order.
 */
import {EventEmitter} from 'node:events';
import * as most from 'most';
import type {ChunkNotice} from '@nutmeggauge/core';

interface ReorderState {
  readonly next: number;
  readonly held: ReadonlyMap<number, string>;
}

/**
 * Advances the reorder state by one chunk and returns the texts now due.
 *
 * @example
 * stepReorder({next: 0, held: new Map()}, {requestId: 'r', seq: 1, text: 'b'}); // nothing due yet
 */
export function stepReorder(
  state: ReorderState,
  notice: ChunkNotice,
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
 * The chunks of one request as a stream.
 *
 * @example
 * const chunks = createChunkStream();
 * const done = chunks.observe(text => res.write(text));
 * chunks.push(notice); chunks.end(); await done;
 */
export class ChunkStream {
  private readonly events = new EventEmitter();
  private readonly released: string[] = [];

  /** Pieces released in order so far; the next one has this number. */
  get releasedCount(): number {
    return this.released.length;
  }

  /** Text of the pieces released so far. */
  get releasedText(): string {
    return this.released.join('');
  }

  /** Offers one chunk, in any order. */
  push(notice: ChunkNotice): void {
    this.events.emit('chunk', notice);
  }

  /** Ends the stream; held chunks after a gap are not released. */
  end(): void {
    this.events.emit('end', true);
  }

  /** Runs `write` on each piece in order; resolves when the stream ends. */
  observe(write: (text: string) => void): Promise<void> {
    const ended = most.fromEvent<boolean>('end', this.events);
    return most
      .fromEvent<ChunkNotice>('chunk', this.events)
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
