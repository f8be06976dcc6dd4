/** Expected loss of a stream by waiting, as a share of its worth. */

/** Share of its worth that a late answer loses. */
export const LATE_LOSS = 0.75;

/**
 * Share of an objective from which a miss is possible; at the objective it is
 * certain.
 */
const RISK_FROM = 0.65;

/**
 * Share of its worth that a stream loses between its objective and the time at
 * which callers leave. It keeps prompts that are late already from being left
 * to one engine.
 */
const ABANDON_LOSS = 0.5;

/** Error of a prediction. */
export interface PredictionError {
  /** Share of the objective from which a miss is possible. */
  readonly riskFrom: number;
  /** Constant part of the error, in ms. */
  readonly errorMs: number;
}

/**
 * Probability that a wait predicted as `ms` misses an objective of `limitMs`.
 *
 * @example
 * estimateRisk(150, 300, TTFT_ERROR); // 0
 */
export function estimateRisk(
  ms: number,
  limitMs: number,
  {riskFrom, errorMs}: PredictionError,
): number {
  if (limitMs <= 0) return 1;
  const from = Math.max(0, Math.min(limitMs * riskFrom, limitMs - errorMs));
  return Math.min(1, Math.max(0, (ms - from) / (limitMs - from)));
}

/**
 * Up to two iterations of a full engine: the one under way and the one that the
 * prompt joins.
 */
export const TTFT_ERROR: PredictionError = {
  riskFrom: RISK_FROM,
  errorMs: 150,
};

/**
 * What three more short prompts add to an iteration; it does not grow with the
 * latency itself.
 */
export const ITL_ERROR: PredictionError = {riskFrom: 0.9, errorMs: 90};

/** A latency objective, and when the caller leaves if it is missed. */
export interface Objective {
  /** Error of the predictions that are compared with it. */
  readonly error: PredictionError;
  /** Time until it is missed, in ms; negative once it is. */
  readonly leftMs: number;
  /** The whole objective, in ms. */
  readonly wholeMs: number;
  /** Multiple of the objective at which the caller leaves. */
  readonly abandonAfter: number;
}

/**
 * Expected loss of a stream by `ms` more waiting, as a share of its worth.
 *
 * @example
 * estimateLoss(400, {leftMs: 300, wholeMs: 300, abandonAfter: 4, error: TTFT_ERROR});
 */
export function estimateLoss(ms: number, objective: Objective): number {
  const {leftMs, wholeMs, abandonAfter, error} = objective;
  const overdue = Math.max(0, ms - leftMs) / (wholeMs * (abandonAfter - 1));
  return LATE_LOSS * estimateRisk(ms, leftMs, error) + ABANDON_LOSS * overdue;
}

/**
 * Loss of a stream whose next event comes `addedMs` later.
 *
 * @example
 * estimateAddedLoss(100, 300, objective);
 */
export function estimateAddedLoss(
  ms: number,
  addedMs: number,
  objective: Objective,
): number {
  return estimateLoss(ms + addedMs, objective) - estimateLoss(ms, objective);
}
