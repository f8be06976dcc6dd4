/**
 * Estimates the worth of a request relative to a short request, and the part of
 * it that the request loses by a cause.
 */
import type {Cause} from './causes.js';

/**
 * Number of prompt tokens that are worth as much as one short request; the
 * gate's placement uses the same number.
 */
const TOKENS_PER_WORTH = 10_000;

/**
 * Share of its worth that a late answer loses; the gate's placement uses the
 * same share.
 */
export const LATE_LOSS = 0.75;

/**
 * Estimates the worth of a request: 1 for a call or a short prompt, more for a
 * longer prompt.
 *
 * @example
 * estimateWorth(154_000); // 16.4
 */
export function estimateWorth(tokens: number | undefined): number {
  return 1 + (tokens ?? 0) / TOKENS_PER_WORTH;
}

const LATE_CAUSES: ReadonlySet<Cause> = new Set([
  'late-mispredicted',
  'late-predicted',
  'late-unpredicted',
  'late-itl',
]);

/**
 * Returns whether a cause is a late answer.
 *
 * @example
 * isLate('late-itl'); // true
 */
export function isLate(cause: Cause | undefined): boolean {
  return cause !== undefined && LATE_CAUSES.has(cause);
}

/**
 * Estimates the worth that a request loses by `cause`.
 *
 * @example
 * estimateLost(2, 'late-itl'); // 1.5
 */
export function estimateLost(worth: number, cause: Cause | undefined): number {
  if (cause === undefined) return 0;
  return isLate(cause) ? worth * LATE_LOSS : worth;
}
