/**
 * What a stream is expected to lose by waiting, in shares of its worth.
 */

/** Part of its worth that a late answer loses: late is worth a quarter. */
export const LATE_LOSS = 0.75;

/**
 * Share of an objective from which on the estimate's error makes a miss
 * possible; at the whole objective it is taken as certain.
 */
const RISK_FROM = 0.65;

/**
 * Part of its worth that a stream is taken to lose on the way from its
 * objective to the time at which callers leave. Without it, a prompt that is
 * late anyway is left to one engine for many seconds, since nothing more can
 * be lost by it: it then blocks that engine, and its caller leaves.
 */
const OVERDUE_LOSS = 0.5;

/** How well a wait is predicted. */
export interface PredictionError {
  /** Share of the objective from which on it may be missed. */
  readonly riskFrom: number;
  /** Error that does not grow with the wait, in ms. */
  readonly errorMs: number;
}

/**
 * Chance that a wait predicted as `ms` misses an objective of `limitMs`.
 *
 * @example
 * estimateRisk(150, 300, FIRST_EVENT_ERROR); // 0
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
 * Error of a predicted first event: up to two passes of a full engine, the one
 * under way and the one that the prompt joins. With none counted, short
 * streams predicted at 120 to 195 ms of 300 came at 310 to 520.
 */
export const FIRST_EVENT_ERROR: PredictionError = {
  riskFrom: RISK_FROM,
  errorMs: 150,
};

/**
 * Error of a predicted pause: what three more short prompts add to a pass, 30
 * ms each. It does not grow with the pause; taken as a share of it, streams of
 * long prompts were kept from engines that suited them.
 */
export const PAUSE_ERROR: PredictionError = {riskFrom: 0.9, errorMs: 90};

/** An objective and when the caller leaves if it is missed by far. */
export interface Objective {
  /** Error of the predictions that are held against it. */
  readonly error: PredictionError;
  /** Time until it is missed, in ms; below zero once it is. */
  readonly leftMs: number;
  /** The whole objective, in ms. */
  readonly wholeMs: number;
  /** Objectives after which the caller leaves. */
  readonly leaveAfter: number;
}

/**
 * Share of its worth that a stream is expected to lose by `ms` more waiting:
 * the chance of missing the objective, and past it the way to the time at
 * which its caller leaves.
 *
 * @example
 * estimateLoss(400, {leftMs: 300, wholeMs: 300, leaveAfter: 4, error: FIRST_EVENT_ERROR});
 */
export function estimateLoss(ms: number, objective: Objective): number {
  const {leftMs, wholeMs, leaveAfter, error} = objective;
  const overdue = Math.max(0, ms - leftMs) / (wholeMs * (leaveAfter - 1));
  return LATE_LOSS * estimateRisk(ms, leftMs, error) + OVERDUE_LOSS * overdue;
}

/**
 * Loss of one stream when its next event comes `addedMs` later.
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
