/**
 * The engine's prefix cache: an LRU of prompt blocks keyed by a chained
 * hash, so a block matches only when every block before it matches too.
 */
import {createHash} from 'node:crypto';
import {CHARS_PER_TOKEN} from '@nutmeggauge/core';

/** A change of the cache, published to routers late and with gaps. */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'removed';
  readonly blocks: readonly string[];
  readonly at: number;
}

/**
 * Hashes the full blocks of a prompt, each hash covering all before it.
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
 * LRU of block hashes with an event log.
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

  /** Counts the leading blocks of a prompt that are cached, refreshing them. */
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

  /** Stores blocks after a prefill, evicting the least recently used. */
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

  /** Events with `seq` above `after` and older than `lagMs`. */
  readEvents(after: number, lagMs: number, now: number): readonly CacheEvent[] {
    return this.events.filter(
      event => event.seq > after && event.at <= now - lagMs,
    );
  }

  private record(kind: CacheEvent['kind'], blocks: readonly string[]): void {
    this.events.push({seq: this.nextSeq++, kind, blocks, at: Date.now()});
    // Only a bounded tail is kept: readers that fall behind see a gap.
    if (this.events.length > 10_000)
      this.events.splice(0, this.events.length - 10_000);
  }
}
