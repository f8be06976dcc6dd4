/**
 * Records which prompt prefixes were sent to which target and are therefore
 * likely in its prefix cache. The gate records its own requests because the
 * engines' cache events are late and incomplete (docs/design/0005-routing.md).
 */
import {LRUCache} from 'lru-cache';
import {MIN_PREFIX_TOKENS} from '@nutmeggauge/core';

/** Maximum number of prefixes that one gate keeps. */
const MAX_PREFIXES = 50_000;

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
