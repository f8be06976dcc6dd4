/**
 * Admission estimate: the time that a request would take on a target, computed
 * from the target's last load report. The gate refuses a request that would
 * miss its deadline at once, instead of failing it after the deadline.
 */
import {findLengthClass} from '@nutmeggauge/core';
import type {TargetView} from '../membership/target-link.js';
import type {RouteRequest} from '../routing/router.js';

/**
 * Engine speeds for the estimate, and whether admission refuses requests by the
 * estimate.
 */
export interface EstimateFigures {
  readonly prefillTokensPerSecond: number;
  readonly decodeStepMs: number;
  /**
   * False admits every request that has a usable target, whatever the estimate.
   */
  readonly refusesLate: boolean;
}

/**
 * Estimates the time until a request finishes on `target`, in ms. Engines
 * prefill shorter prompts first, so only pending prompts of the request's own
 * and shorter length classes count.
 *
 * @example
 * estimateFinishMs(target, {promptTokens: 1000, maxTokens: 64}, figures);
 */
export function estimateFinishMs(
  target: TargetView,
  request: Pick<RouteRequest, 'promptTokens' | 'maxTokens'>,
  figures: EstimateFigures,
): number {
  const ownClass = findLengthClass(request.promptTokens);
  let tokens = request.promptTokens;
  for (let lengthClass = 0; lengthClass <= ownClass; lengthClass++) {
    tokens +=
      (target.load?.pendingByClass[lengthClass] ?? 0) +
      target.unreportedByClass[lengthClass];
  }
  const prefillMs = (tokens / figures.prefillTokensPerSecond) * 1000;
  return prefillMs + request.maxTokens * figures.decodeStepMs;
}
