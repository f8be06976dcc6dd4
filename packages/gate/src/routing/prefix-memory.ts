/**
 * Which prompt prefixes were sent to which target, and so are likely in its
 * cache. The gate's own sends replace the engines' cache events, which are late
 * and incomplete (docs/design/0005-routing.md).
 */
import {createHash} from 'node:crypto';
import {LRUCache} from 'lru-cache';
import {CHARS_PER_TOKEN} from '@nutmeggauge/core';

/** Length of the shortest beginning that is remembered, in tokens. */
export const PREFIX_UNIT_TOKENS = 512;

/** Beginnings of 512, 1024 … tokens are remembered, this many lengths. */
const PREFIX_LENGTHS = 7;

/** Most beginnings remembered by one gate. */
const MAX_PREFIXES = 50_000;

/**
 * Hashes the beginnings of `prompt` of 512, 1024 … 32,768 tokens.
 *
 * @example
 * hashPrefixes('a'.repeat(4096)).length; // 2: 512 and 1024 tokens
 */
export function hashPrefixes(prompt: string): string[] {
  const hash = createHash('sha1');
  const hashes: string[] = [];
  let done = 0;
  for (let step = 0; step < PREFIX_LENGTHS; step++) {
    const end = PREFIX_UNIT_TOKENS * CHARS_PER_TOKEN * 2 ** step;
    if (end > prompt.length) break;
    hash.update(prompt.slice(done, end));
    done = end;
    hashes.push(hash.copy().digest('base64url'));
  }
  return hashes;
}

/**
 * Sends of one gate, by beginning.
 *
 * @example
 * const memory = new PrefixMemory();
 * memory.record('engine-1', hashes);
 * memory.countOverlap('engine-1', hashes); // tokens the engine likely holds
 */
export class PrefixMemory {
  private readonly targetsByPrefix = new LRUCache<string, Set<string>>({
    max: MAX_PREFIXES,
  });

  /** Records that a prompt with these beginnings was sent to `targetId`. */
  record(targetId: string, prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      const targets = this.targetsByPrefix.get(prefix) ?? new Set<string>();
      targets.add(targetId);
      this.targetsByPrefix.set(prefix, targets);
    }
  }

  /** Tokens at the prompt's beginning that `targetId` was sent before. */
  countOverlap(targetId: string, prefixes: readonly string[]): number {
    for (let i = prefixes.length - 1; i >= 0; i--) {
      if (this.targetsByPrefix.get(prefixes[i])?.has(targetId))
        return PREFIX_UNIT_TOKENS * 2 ** i;
    }
    return 0;
  }
}
