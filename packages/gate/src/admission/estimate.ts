/**
 * The admission estimate: how long a request would take on a target, from
 * the target's last load report. A request whose estimate passes its
 * deadline is refused at once rather than failed late.
 */
import type {TargetView} from '../membership/agent-connection.js';

/** Engine figures behind the estimate. */
export interface EstimateFigures {
  readonly prefillTokensPerSecond: number;
  readonly decodeStepMs: number;
  /** Prompts up to this many tokens run ahead of long ones at the agent. */
  readonly shortMaxTokens: number;
}

/**
 * Estimates ms until a request finishes on `target`. Short prompts run in
 * the agent's short lane ahead of long prefills, so only their own prefill
 * counts; long prompts wait behind the target's pending prefill.
 *
 * @example
 * estimateFinishMs(target, {promptTokens: 1000, maxTokens: 64}, figures);
 */
export function estimateFinishMs(
  target: TargetView,
  request: {readonly promptTokens: number; readonly maxTokens: number},
  figures: EstimateFigures,
): number {
  const ahead =
    request.promptTokens <= figures.shortMaxTokens
      ? 0
      : (target.load?.pendingPrefillTokens ?? 0);
  const prefillMs =
    ((ahead + request.promptTokens) / figures.prefillTokensPerSecond) * 1000;
  return prefillMs + request.maxTokens * figures.decodeStepMs;
}
