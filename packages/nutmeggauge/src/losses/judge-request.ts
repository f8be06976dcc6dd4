/**
 * Judges one request: what it was, what it was worth, and by which cause that
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
  Visit,
  VisitEnd,
} from './visits.js';

/** Outcomes by which a request ends without having reached a target. */
const REFUSALS: ReadonlySet<string> = new Set([
  'no_target',
  'not_run',
  'too_late',
  'overloaded',
]);

/** Statuses from here on tell of a failure of the server (RFC 9110, 15.6). */
const FAILURE_STATUS = 500;

/** Name of a route or kind that no line tells. */
export const UNKNOWN = '?';

/** The forecast of a first event and what came. */
export interface FirstEventForecast {
  /** Forecast time from the arrival to the first event, in ms. */
  readonly predictedMs: number;
  readonly firstMs: number;
  /** Age of what the gate knew as it chose, in ms. */
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
  /** Its end is not in the log: nothing is said of it. */
  readonly isOpen: boolean;
  /** Its route has an objective. */
  readonly hasObjective: boolean;
  readonly forecast: FirstEventForecast | undefined;
  readonly visit: Visit;
}

/**
 * By how much a stamp and a rounded duration of one clock differ, in ms: both
 * are rounded, and the line is written after the duration was taken.
 */
const STAMP_ERROR_MS = 5;

/** Finds the placement that brought the first event. */
function findPlacement(
  visit: Visit,
  firstMs: number,
): PlacementRecord | undefined {
  const firstAt = visit.arrivedAt + firstMs;
  // A gate whose clock stepped meanwhile gives stamps that do not fit: then
  // nothing is said of the forecast.
  return visit.placements.findLast(
    ({t}) => t >= visit.arrivedAt - STAMP_ERROR_MS && t <= firstAt,
  );
}

function readForecast(visit: Visit): FirstEventForecast | undefined {
  const firstMs = visit.end?.firstMs;
  if (firstMs === undefined) return undefined;
  const placement = findPlacement(visit, firstMs);
  if (placement === undefined) return undefined;
  const keptMs = Math.max(0, placement.t - visit.arrivedAt);
  return {
    predictedMs: keptMs + placement.predictedFirstMs,
    firstMs,
    factsAgeMs: placement.factsAgeMs,
  };
}

function judgeLate(
  end: VisitEnd,
  objective: Objective | undefined,
  forecast: FirstEventForecast | undefined,
): Cause | undefined {
  if (objective === undefined) return undefined;
  const {firstMs, pauseMs} = objective;
  if ((end.firstMs ?? end.ms) > firstMs) {
    if (forecast === undefined) return 'late-unpredicted';
    return forecast.predictedMs > firstMs ? 'late-predicted' : 'late-surprise';
  }
  const isPaused = pauseMs !== undefined && (end.gapMs ?? 0) > pauseMs;
  return isPaused ? 'late-pause' : undefined;
}

function judgeVisit(
  visit: Visit,
  objective: Objective | undefined,
  forecast: FirstEventForecast | undefined,
): Cause | undefined {
  const {end} = visit;
  if (end === undefined) return visit.isGateGone ? 'gate-ended' : undefined;
  if (end.isEarly || REFUSALS.has(end.outcome)) return 'refused';
  if (end.outcome === 'caller_left') return 'caller-left';
  // A target's own failure, passed on, is an answer but no success.
  const isFailed = (end.status ?? 0) >= FAILURE_STATUS;
  if (end.outcome !== 'answered' || isFailed) return 'cut';
  return judgeLate(end, objective, forecast);
}

/** Finds what any visit tells: a gate that refuses early knows no route. */
function findFact<T>(
  visits: readonly Visit[],
  read: (visit: Visit) => T | undefined,
): T | undefined {
  for (const visit of visits) {
    const value = read(visit);
    if (value !== undefined) return value;
  }
  return undefined;
}

/**
 * Judges one request by its answered visit, else by its last one.
 *
 * @example
 * judgeRequest(record, objectives).cause; // 'late-pause'
 */
export function judgeRequest(
  {requestId, visits, visit}: RequestRecord,
  objectives: Objectives,
): JudgedRequest {
  const isStream = visits.some(
    ({placements, keptAt}) => placements.length + keptAt.length > 0,
  );
  const route = findFact(visits, ({end}) => end?.route) ?? UNKNOWN;
  const kind =
    findFact(visits, ({end}) => end?.kind) ?? (isStream ? 'stream' : UNKNOWN);
  const tokens = findFact(
    visits,
    ({end, placements}) => end?.tokens ?? placements.at(0)?.tokens,
  );
  const objective = findObjective(objectives, route);
  const forecast = readForecast(visit);
  const cause = judgeVisit(visit, objective, forecast);
  const worth = estimateWorth(tokens);
  return {
    requestId,
    route,
    kind,
    size: tokens === undefined ? '-' : resolveBucket(tokens),
    tokens,
    arrivedAt: visits[0].arrivedAt,
    worth,
    cause,
    lost: estimateLost(worth, cause),
    isOpen: visit.end === undefined && !visit.isGateGone,
    hasObjective: objective !== undefined,
    forecast,
    visit,
  };
}
