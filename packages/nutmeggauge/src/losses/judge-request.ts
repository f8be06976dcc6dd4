/**
 * Judges a request: resolves its kind and worth, and the cause by which worth
 * was lost.
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

/** Outcomes of requests that no target executed. */
const REFUSED_OUTCOMES: ReadonlySet<string> = new Set([
  'no_target',
  'not_run',
  'too_late',
  'overloaded',
]);

/** Lowest HTTP status code of a server error (RFC 9110, 15.6). */
const MIN_FAILURE_STATUS = 500;

/** Placeholder for a route or kind that no log line contains. */
export const UNKNOWN = '?';

/** Predicted and actual time to first token of a request. */
export interface TtftForecast {
  /** Predicted time from the arrival to the first token, in ms. */
  readonly predictedMs: number;
  readonly ttftMs: number;
  /** Age of the gate's copy of the fleet state at the placement, in ms. */
  readonly factsAgeMs: number;
}

/** A request with its worth, and the cause by which it lost worth. */
export interface JudgedRequest {
  readonly requestId: string | undefined;
  readonly route: string;
  readonly kind: string;
  /** Length bucket of the prompt; `-` for a request without a prompt. */
  readonly size: string;
  readonly tokens: number | undefined;
  /**
   * Arrival of the first client attempt, as wall-clock time of its gate, in ms.
   */
  readonly arrivedAt: number;
  readonly worth: number;
  readonly cause: Cause | undefined;
  readonly lost: number;
  /**
   * Whether the end of the request is missing from the logs although the
   * request was not lost with its gate process.
   */
  readonly isOpen: boolean;
  /** Whether the route of the request has a latency objective. */
  readonly hasObjective: boolean;
  readonly forecast: TtftForecast | undefined;
  readonly attempt: ClientAttempt;
}

/**
 * Largest difference that rounding causes between a logged timestamp and a
 * logged duration of the same clock, in ms.
 */
const TIMESTAMP_TOLERANCE_MS = 5;

/** Finds the placement that produced the first token. */
function findPlacement(
  attempt: ClientAttempt,
  ttftMs: number,
): PlacementRecord | undefined {
  const firstTokenAt = attempt.arrivedAt + ttftMs;
  // After a clock step during the request, the placement is outside this range,
  // and there is no forecast.
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
  // A server error of the target is logged as `answered`, but is no success.
  const isFailed = (end.status ?? 0) >= MIN_FAILURE_STATUS;
  if (end.outcome !== 'answered' || isFailed) return 'cut';
  return judgeLatency(end, objective, forecast);
}

/**
 * Returns the first value that a client attempt has: attempts refused before
 * routing lack most values.
 */
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
