/**
 * The admission estimate: how long a request would take on a target, from
 * the target's last load report. A request whose estimate passes its
 * deadline is refused at once rather than failed late.
 */
import {findLengthClass} from '@nutmeggauge/core';
import type {TargetView} from '../membership/target-link.js';
import type {RouteRequest} from '../routing/router.js';

/** Engine figures behind the estimate. */
export interface EstimateFigures {
  readonly prefillTokensPerSecond: number;
  readonly decodeStepMs: number;
  /** False admits whatever has a target, however long its queue. */
  readonly refusesLate: boolean;
}

/**
 * Estimates ms until a request finishes on `target`: engines prefill shorter
 * prompts first, so its own and shorter length classes count.
 *
 * @example
 * estimateFinishMs(target, {promptTokens: 1000, maxTokens: 64}, figures);
 */
export function estimateFinishMs(
  target: TargetView,
  request: Pick<RouteRequest, 'promptTokens' | 'maxTokens'>,
  figures: EstimateFigures,
): number {
  const own = findLengthClass(request.promptTokens);
  let tokens = request.promptTokens;
  for (let lengthClass = 0; lengthClass <= own; lengthClass++) {
    tokens +=
      (target.load?.pendingByClass[lengthClass] ?? 0) +
      target.unreportedByClass[lengthClass];
  }
  const prefillMs = (tokens / figures.prefillTokensPerSecond) * 1000;
  return prefillMs + request.maxTokens * figures.decodeStepMs;
}
