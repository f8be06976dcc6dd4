/**
 * Records which prompt prefixes were sent to which target and are therefore
 * likely in its prefix cache. The gate records its own requests because the
 * engines' cache events are late and incomplete (docs/design/0005-routing.md).
 */
import {createHash} from 'node:crypto';
import {LRUCache} from 'lru-cache';
import {CHARS_PER_TOKEN} from '@nutmeggauge/core';

/** Length of the shortest recorded prefix, in tokens. */
export const MIN_PREFIX_TOKENS = 512;

/** Number of recorded prefix lengths: 512, 1024 … tokens. */
const PREFIX_LENGTH_COUNT = 7;

/** Maximum number of prefixes that one gate keeps. */
const MAX_PREFIXES = 50_000;

/**
 * Hashes the prefixes of `prompt` with 512, 1024 … 32,768 tokens.
 *
 * @example
 * hashPrefixes('a'.repeat(4096)).length; // 2: 512 and 1024 tokens
 */
export function hashPrefixes(prompt: string): string[] {
  const hash = createHash('sha1');
  const hashes: string[] = [];
  let done = 0;
  for (let step = 0; step < PREFIX_LENGTH_COUNT; step++) {
    const end = MIN_PREFIX_TOKENS * CHARS_PER_TOKEN * 2 ** step;
    if (end > prompt.length) break;
    hash.update(prompt.slice(done, end));
    done = end;
    hashes.push(hash.copy().digest('base64url'));
  }
  return hashes;
}

/**
 * Maps each prompt prefix to the targets that one gate sent it to.
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

  /** Records that a prompt with these prefix hashes was sent to `targetId`. */
  record(targetId: string, prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      const targets = this.targetsByPrefix.get(prefix) ?? new Set<string>();
      targets.add(targetId);
      this.targetsByPrefix.set(prefix, targets);
    }
  }

  /**
   * Returns the length in tokens of the longest prefix sent to `targetId`
   * before.
   */
  countOverlap(targetId: string, prefixes: readonly string[]): number {
    for (let i = prefixes.length - 1; i >= 0; i--) {
      if (this.targetsByPrefix.get(prefixes[i])?.has(targetId))
        return MIN_PREFIX_TOKENS * 2 ** i;
    }
    return 0;
  }
}
