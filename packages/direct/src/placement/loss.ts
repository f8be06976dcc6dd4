/** Expected loss of streams through waiting and through long iterations. */

/** Multiple of the inter-token latency objective at which callers cancel. */
const ABANDON_ITL_OBJECTIVES = 8;

/** Multiple of the time-to-first-token objective at which callers cancel. */
export const ABANDON_TTFT_OBJECTIVES = 4;

/** Share of its value that an answer loses by missing its objective. */
const LATE_LOSS = 0.75;

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

/**
 * Loss through a caller that cancels a begun stream, in units of the value of a
 * short stream: more than the value of a prompt of a million tokens.
 */
export const BROKEN_STREAM_LOSS = 150;

/** Shortest pause after which callers cancel, in ms. */
const MIN_PATIENCE_MS = 2000;

/** Error model of a latency prediction. */
export interface PredictionError {
  /** Share of the objective from which on a miss is possible. */
  readonly riskStartShare: number;
  /** Constant error of the prediction, in ms. */
  readonly errorMs: number;
}

/**
 * Estimates the probability that a wait predicted as `ms` exceeds `limitMs`.
 */
function estimateMissProbability(
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
const ITL_ERROR: PredictionError = {riskStartShare: 0.9, errorMs: 90};

/**
 * Error of predicted iterations that are close to the patience of callers: an
 * engine may be slower than reported for up to one polling interval.
 */
const PATIENCE_ERROR: PredictionError = {riskStartShare: 0.9, errorMs: 200};

/** Latency objectives of a stream, in ms. */
export interface StreamObjectives {
  /** Objective for the time to first token, in ms. */
  readonly objectiveMs: number;
  readonly itlObjectiveMs: number;
}

/**
 * Estimates the time without an event after which the caller of a stream
 * cancels, in ms.
 *
 * @example
 * estimatePatienceMs({objectiveMs: 300, itlObjectiveMs: 250}); // 2000
 */
export function estimatePatienceMs(objectives: StreamObjectives): number {
  return Math.max(
    MIN_PATIENCE_MS,
    ABANDON_TTFT_OBJECTIVES * objectives.objectiveMs,
    ABANDON_ITL_OBJECTIVES * objectives.itlObjectiveMs,
  );
}

/**
 * Estimates the probability that the caller of a begun stream cancels because
 * an iteration predicted as `iterationMs` outlasts its patience.
 *
 * @example
 * estimateBreakProbability(1950, 2000); // 0.75
 */
export function estimateBreakProbability(
  iterationMs: number,
  patienceMs: number,
): number {
  return estimateMissProbability(iterationMs, patienceMs, PATIENCE_ERROR);
}

/**
 * Estimates the loss of a decoded stream whose iteration may be too long for its
 * objective, as a share of its value.
 *
 * @example
 * estimateLateIterationLoss(200, 250); // 0.33
 */
export function estimateLateIterationLoss(
  iterationMs: number,
  itlObjectiveMs: number,
): number {
  return estimateLoss(iterationMs, {
    remainingMs: itlObjectiveMs,
    wholeMs: itlObjectiveMs,
    abandonMultiple: ABANDON_ITL_OBJECTIVES,
    error: ITL_ERROR,
  });
}

/**
 * Estimates the loss of a decoded stream through an iteration, in units of the
 * value of a short stream.
 *
 * @example
 * estimateIterationLoss(200, {value: 1.5, objectiveMs: 300, itlObjectiveMs: 250}); // 0
 */
export function estimateIterationLoss(
  iterationMs: number,
  stream: StreamObjectives & {readonly value: number},
): number {
  const lateLoss = estimateLateIterationLoss(
    iterationMs,
    stream.itlObjectiveMs,
  );
  const patienceMs = estimatePatienceMs(stream);
  return (
    lateLoss * stream.value +
    BROKEN_STREAM_LOSS * estimateBreakProbability(iterationMs, patienceMs)
  );
}

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
