/** Expected loss of a stream through waiting, as a share of its value. */

/** Share of its value that an answer loses by missing its objective. */
export const LATE_LOSS = 0.75;

/**
 * Share of the TTFT objective from which on a miss has a probability above 0;
 * the probability is 1 at the objective itself.
 */
const RISK_START_SHARE = 0.65;

/**
 * Share of its value that a stream loses between its objective and the time at
 * which callers cancel. Without this loss, a prompt that is already late would
 * be placed on a single engine.
 */
const ABANDON_LOSS = 0.5;

/** Error model of a latency prediction. */
export interface PredictionError {
  /** Share of the objective from which on a miss is possible. */
  readonly riskStartShare: number;
  /** Constant error of the prediction, in ms. */
  readonly errorMs: number;
}

/**
 * Estimates the probability that a wait predicted as `ms` exceeds `limitMs`.
 *
 * @example
 * estimateMissProbability(150, 300, TTFT_ERROR); // 0
 */
export function estimateMissProbability(
  ms: number,
  limitMs: number,
  {riskStartShare, errorMs}: PredictionError,
): number {
  if (limitMs <= 0) return 1;
  const from = Math.max(
    0,
    Math.min(limitMs * riskStartShare, limitMs - errorMs),
  );
  return Math.min(1, Math.max(0, (ms - from) / (limitMs - from)));
}

/**
 * Error of predicted time to first token: up to two iterations of an engine
 * without a free slot, the running one and the one that the prompt joins.
 */
export const TTFT_ERROR: PredictionError = {
  riskStartShare: RISK_START_SHARE,
  errorMs: 150,
};

/**
 * Error of predicted inter-token latency: the time that three more short
 * prompts add to an iteration, independent of the latency itself.
 */
export const ITL_ERROR: PredictionError = {riskStartShare: 0.9, errorMs: 90};

/** A latency objective, and when the caller cancels if it is missed. */
export interface Objective {
  /** Error of the predictions that are compared with this objective. */
  readonly error: PredictionError;
  /** Time left until the objective is missed, in ms; negative after that. */
  readonly remainingMs: number;
  /** The full objective, in ms. */
  readonly wholeMs: number;
  /** Multiple of the objective at which the caller cancels. */
  readonly abandonMultiple: number;
}

/**
 * Estimates the loss of a stream that waits `ms` more, as a share of its value.
 *
 * @example
 * estimateLoss(400, {remainingMs: 300, wholeMs: 300, abandonMultiple: 4, error: TTFT_ERROR});
 */
export function estimateLoss(ms: number, objective: Objective): number {
  const {remainingMs, wholeMs, abandonMultiple, error} = objective;
  const overdueShare =
    Math.max(0, ms - remainingMs) / (wholeMs * (abandonMultiple - 1));
  return (
    LATE_LOSS * estimateMissProbability(ms, remainingMs, error) +
    ABANDON_LOSS * overdueShare
  );
}

/**
 * Estimates the additional loss of a stream whose predicted wait of `ms` grows
 * by `addedMs`, as a share of its value.
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
