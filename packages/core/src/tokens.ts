/**
 * Token counting shared by the gate, the agent and the stand-ins (simulated
 * engines and services). Stand-in engines derive token counts from characters,
 * so all processes agree on the length of a prompt without a tokenizer.
 */

/** Number of characters that count as one token. */
export const CHARS_PER_TOKEN = 4;

/**
 * Longest prompt, in tokens, that counts as short. Agents run short prompts in
 * a separate lane, ahead of long ones.
 */
export const SHORT_MAX_TOKENS = 32_768;

/**
 * Returns the number of tokens in a prompt, rounded up.
 *
 * @example
 * countTokens('x'.repeat(4000)); // 1000
 */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN);
}
