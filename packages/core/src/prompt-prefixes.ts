/** Hashes the prefixes that prompts may share. */
import {createHash} from 'node:crypto';
import {CHARS_PER_TOKEN} from './tokens.js';

/** Length of the shortest hashed prefix, in tokens. */
export const MIN_PREFIX_TOKENS = 512;

/** Number of hashed prefix lengths: 512, 1024 … tokens. */
const PREFIX_LENGTH_COUNT = 7;

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
