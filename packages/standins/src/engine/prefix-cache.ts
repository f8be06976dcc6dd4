/**
 * Prefix cache of the engine stand-in: an LRU cache of prompt blocks keyed by a
 * chained hash, so a block matches only if every preceding block matches.
 */
import {createHash} from 'node:crypto';
import {CHARS_PER_TOKEN} from '@nutmeggauge/core';

/**
 * A change of the prefix cache. Events reach routers with a delay, and readers
 * that fall behind miss some.
 */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'removed';
  readonly blocks: readonly string[];
  readonly at: number;
}

/**
 * Hashes the full blocks of a prompt; each hash covers all preceding blocks.
 *
 * @example
 * hashPromptBlocks('a'.repeat(4096), 512).length; // 2
 */
export function hashPromptBlocks(
  prompt: string,
  blockTokens: number,
): string[] {
  const blockChars = blockTokens * CHARS_PER_TOKEN;
  const hashes: string[] = [];
  let previous = '';
  for (
    let start = 0;
    start + blockChars <= prompt.length;
    start += blockChars
  ) {
    previous = createHash('sha1')
      .update(previous)
      .update(prompt.slice(start, start + blockChars))
      .digest('hex');
    hashes.push(previous.slice(0, 16));
  }
  return hashes;
}

/**
 * LRU cache of block hashes with an event log.
 *
 * @example
 * const cache = new PrefixCache(1024);
 * cache.store(['a1', 'b2']);
 * cache.countLeadingHits(['a1', 'c3']); // 1
 */
export class PrefixCache {
  private readonly blocks = new Map<string, true>();
  private readonly events: CacheEvent[] = [];
  private nextSeq = 1;

  constructor(private readonly capacityBlocks: number) {}

  /** Counts the leading cached blocks of a prompt and marks them as used. */
  countLeadingHits(hashes: readonly string[]): number {
    let hits = 0;
    for (const hash of hashes) {
      if (!this.blocks.has(hash)) break;
      this.blocks.delete(hash);
      this.blocks.set(hash, true);
      hits++;
    }
    return hits;
  }

  /** Stores blocks after a prefill and evicts the least recently used ones. */
  store(hashes: readonly string[]): void {
    const added = hashes.filter(hash => !this.blocks.has(hash));
    for (const hash of hashes) {
      this.blocks.delete(hash);
      this.blocks.set(hash, true);
    }
    const removed: string[] = [];
    while (this.blocks.size > this.capacityBlocks) {
      const oldest = this.blocks.keys().next().value as string;
      this.blocks.delete(oldest);
      removed.push(oldest);
    }
    if (added.length > 0) this.record('stored', added);
    if (removed.length > 0) this.record('removed', removed);
  }

  /** Returns events with `seq` above `after` that are at least `lagMs` old. */
  readEvents(after: number, lagMs: number, now: number): readonly CacheEvent[] {
    return this.events.filter(
      event => event.seq > after && event.at <= now - lagMs,
    );
  }

  private record(kind: CacheEvent['kind'], blocks: readonly string[]): void {
    this.events.push({seq: this.nextSeq++, kind, blocks, at: Date.now()});
    // The log is bounded, so readers that fall behind miss old events.
    if (this.events.length > 10_000)
      this.events.splice(0, this.events.length - 10_000);
  }
}
