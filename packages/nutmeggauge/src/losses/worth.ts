/** Worth of a request, and the part that is lost by how it ended. */
import type {Cause} from './causes.js';

/**
 * Prompt tokens worth as much as one short request, as in the gates' placement.
 */
const TOKENS_PER_WORTH = 10_000;

/** Share of its worth that a late answer loses, as in the gates' placement. */
export const LATE_LOSS = 0.75;

/**
 * Estimates a request's worth: 1 for a call or a short prompt, more for a
 * longer one.
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
 * True if the request was answered late.
 *
 * @example
 * isLate('late-itl'); // true
 */
export function isLate(cause: Cause | undefined): boolean {
  return cause !== undefined && LATE_CAUSES.has(cause);
}

/**
 * Estimates the worth that is lost by `cause`.
 *
 * @example
 * estimateLost(2, 'late-itl'); // 1.5
 */
export function estimateLost(worth: number, cause: Cause | undefined): number {
  if (cause === undefined) return 0;
  return isLate(cause) ? worth * LATE_LOSS : worth;
}
