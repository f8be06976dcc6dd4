/**
 * Judges a request: its kind, its worth, and the cause by which that was lost.
 */
import {resolveBucket} from '../load/workload.js';
import {findObjective} from './objectives.js';
import {estimateLost, estimateWorth} from './worth.js';
import type {Cause} from './causes.js';
import type {Objective, Objectives} from './objectives.js';
import type {
  PlacementRecord,
  RequestRecord,
  ClientAttempt,
  AttemptEnd,
} from './client-attempts.js';

/** Outcomes of requests that reached no target. */
const REFUSED_OUTCOMES: ReadonlySet<string> = new Set([
  'no_target',
  'not_run',
  'too_late',
  'overloaded',
]);

/** First status of a server failure (RFC 9110, 15.6). */
const MIN_FAILURE_STATUS = 500;

/** Name of a route or kind that no line gives. */
export const UNKNOWN = '?';

/** Predicted and actual time to first token. */
export interface TtftForecast {
  /** Predicted time from the arrival to the first token, in ms. */
  readonly predictedMs: number;
  readonly ttftMs: number;
  /** Age of the gate's facts at the placement, in ms. */
  readonly factsAgeMs: number;
}

/** One request as judged. */
export interface JudgedRequest {
  readonly requestId: string | undefined;
  readonly route: string;
  readonly kind: string;
  /** Size class of the prompt; `-` for a request without one. */
  readonly size: string;
  readonly tokens: number | undefined;
  /** Wall clock of the gate where it arrived first, in ms. */
  readonly arrivedAt: number;
  readonly worth: number;
  readonly cause: Cause | undefined;
  readonly lost: number;
  /** Its end is not in the log. */
  readonly isOpen: boolean;
  /** Its route has an objective. */
  readonly hasObjective: boolean;
  readonly forecast: TtftForecast | undefined;
  readonly attempt: ClientAttempt;
}

/**
 * Largest difference between a timestamp and a rounded duration of the same
 * clock, in ms.
 */
const TIMESTAMP_TOLERANCE_MS = 5;

/** Finds the placement that produced the first token. */
function findPlacement(
  attempt: ClientAttempt,
  ttftMs: number,
): PlacementRecord | undefined {
  const firstTokenAt = attempt.arrivedAt + ttftMs;
  // After a clock step the timestamps do not fit, and there is no forecast.
  return attempt.placements.findLast(
    ({t}) =>
      t >= attempt.arrivedAt - TIMESTAMP_TOLERANCE_MS && t <= firstTokenAt,
  );
}

function readForecast(attempt: ClientAttempt): TtftForecast | undefined {
  const ttftMs = attempt.end?.ttftMs;
  if (ttftMs === undefined) return undefined;
  const placement = findPlacement(attempt, ttftMs);
  if (placement === undefined) return undefined;
  const deferredMs = Math.max(0, placement.t - attempt.arrivedAt);
  return {
    predictedMs: deferredMs + placement.predictedTtftMs,
    ttftMs,
    factsAgeMs: placement.factsAgeMs,
  };
}

function judgeLatency(
  end: AttemptEnd,
  objective: Objective | undefined,
  forecast: TtftForecast | undefined,
): Cause | undefined {
  if (objective === undefined) return undefined;
  const {ttftMs, itlMs} = objective;
  if ((end.ttftMs ?? end.ms) > ttftMs) {
    if (forecast === undefined) return 'late-unpredicted';
    return forecast.predictedMs > ttftMs
      ? 'late-predicted'
      : 'late-mispredicted';
  }
  const isItlExceeded = itlMs !== undefined && (end.maxItlMs ?? 0) > itlMs;
  return isItlExceeded ? 'late-itl' : undefined;
}

function judgeAttempt(
  attempt: ClientAttempt,
  objective: Objective | undefined,
  forecast: TtftForecast | undefined,
): Cause | undefined {
  const {end} = attempt;
  if (end === undefined)
    return attempt.isLostWithGate ? 'gate-ended' : undefined;
  if (end.isRefusedBeforeRouting || REFUSED_OUTCOMES.has(end.outcome))
    return 'refused';
  if (end.outcome === 'caller_left') return 'caller-left';
  // A failure of the target is an answer, but no success.
  const isFailed = (end.status ?? 0) >= MIN_FAILURE_STATUS;
  if (end.outcome !== 'answered' || isFailed) return 'cut';
  return judgeLatency(end, objective, forecast);
}

/** Finds a value that any client attempt gives: early refusals lack most. */
function findAttemptValue<T>(
  attempts: readonly ClientAttempt[],
  read: (attempt: ClientAttempt) => T | undefined,
): T | undefined {
  for (const attempt of attempts) {
    const value = read(attempt);
    if (value !== undefined) return value;
  }
  return undefined;
}

/**
 * Judges a request by its answered client attempt, or else by its last one.
 *
 * @example
 * judgeRequest(record, objectives).cause; // 'late-itl'
 */
export function judgeRequest(
  {requestId, attempts, attempt}: RequestRecord,
  objectives: Objectives,
): JudgedRequest {
  const isStream = attempts.some(
    ({placements, deferredAt}) => placements.length + deferredAt.length > 0,
  );
  const route = findAttemptValue(attempts, ({end}) => end?.route) ?? UNKNOWN;
  const kind =
    findAttemptValue(attempts, ({end}) => end?.kind) ??
    (isStream ? 'stream' : UNKNOWN);
  const tokens = findAttemptValue(
    attempts,
    ({end, placements}) => end?.tokens ?? placements.at(0)?.tokens,
  );
  const objective = findObjective(objectives, route);
  const forecast = readForecast(attempt);
  const cause = judgeAttempt(attempt, objective, forecast);
  const worth = estimateWorth(tokens);
  return {
    requestId,
    route,
    kind,
    size: tokens === undefined ? '-' : resolveBucket(tokens),
    tokens,
    arrivedAt: attempts[0].arrivedAt,
    worth,
    cause,
    lost: estimateLost(worth, cause),
    isOpen: attempt.end === undefined && !attempt.isLostWithGate,
    hasObjective: objective !== undefined,
    forecast,
    attempt,
  };
}
