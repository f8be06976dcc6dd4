/**
 * What a request is worth, and what is lost of it by how it ended.
 */
import type {Cause} from './causes.js';

/**
 * Prompt tokens that add the worth of one more short request: the figure by
 * which gates weigh streams against each other.
 */
const TOKENS_PER_WORTH = 10_000;

/** Part of its worth that a late answer loses, as gates reckon it. */
export const LATE_LOSS = 0.75;

/**
 * Estimates a request's worth: 1 for a call or a short prompt, more with the
 * prompt's length.
 *
 * @example
 * estimateWorth(154_000); // 16.4
 */
export function estimateWorth(tokens: number | undefined): number {
  return 1 + (tokens ?? 0) / TOKENS_PER_WORTH;
}

const LATE_CAUSES: ReadonlySet<Cause> = new Set([
  'late-surprise',
  'late-predicted',
  'late-unpredicted',
  'late-pause',
]);

/**
 * True when the request was answered, but late.
 *
 * @example
 * isLate('late-pause'); // true
 */
export function isLate(cause: Cause | undefined): boolean {
  return cause !== undefined && LATE_CAUSES.has(cause);
}

/**
 * Estimates what is lost of `worth` by `cause`.
 *
 * @example
 * estimateLost(2, 'late-pause'); // 1.5
 */
export function estimateLost(worth: number, cause: Cause | undefined): number {
  if (cause === undefined) return 0;
  return isLate(cause) ? worth * LATE_LOSS : worth;
}
