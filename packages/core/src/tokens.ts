/**
 * Token counting shared by gate, agent and stand-ins. The stand-in engines
 * count characters, so every process agrees on a prompt's length without a
 * tokenizer.
 */

/** Characters counted as one token. */
export const CHARS_PER_TOKEN = 4;

/**
 * Prompts up to this many tokens are short: they run in the agents' short
 * lane, ahead of long prompts.
 */
export const SHORT_MAX_TOKENS = 32_768;

/**
 * Counts the tokens of a prompt.
 *
 * @example
 * countTokens('x'.repeat(4000)); // 1000
 */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN);
}
