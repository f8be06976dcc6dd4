/**
 * The admission estimate: how long a request would take on a target, from
 * the target's last load report. A request whose estimate passes its
 * deadline is refused at once rather than failed late.
 */
import type {RouteRequest} from '../routing/router.js';
import type {TargetView} from '../membership/target-link.js';

/** Engine figures behind the estimate. */
export interface EstimateFigures {
  readonly prefillTokensPerSecond: number;
  readonly decodeStepMs: number;
}

/**
 * Estimates ms until a request finishes on `target`. Short prompts run in
 * the agent's short lane ahead of long prefills, so only their own prefill
 * counts; long prompts wait behind the target's pending prefill.
 *
 * @example
 * estimateFinishMs(target, {promptTokens: 1000, maxTokens: 64, isLong: false}, figures);
 */
export function estimateFinishMs(
  target: TargetView,
  request: Pick<RouteRequest, 'promptTokens' | 'maxTokens' | 'isLong'>,
  figures: EstimateFigures,
): number {
  const ahead = request.isLong ? (target.load?.pendingPrefillTokens ?? 0) : 0;
  const prefillMs =
    ((ahead + request.promptTokens) / figures.prefillTokensPerSecond) * 1000;
  return prefillMs + request.maxTokens * figures.decodeStepMs;
}
