/** Builds the whole analysis of `nutmeggauge losses`. */
import {estimateRates, listGaps} from './gate-gaps.js';
import {UNKNOWN, judgeRequest} from './judge-request.js';
import {summarizeEngines} from './summarize-engines.js';
import {summarizeForecasts} from './summarize-forecasts.js';
import {sumLost, sumWorth, summarizeKinds} from './summarize-kinds.js';
import {summarizeWindows} from './summarize-windows.js';
import {listClientAttempts, mergeClientAttempts} from './client-attempts.js';
import type {GateGap} from './gate-gaps.js';
import type {GateLogs} from './gate-incarnations.js';
import type {JudgedRequest} from './judge-request.js';
import type {Objectives} from './objectives.js';
import type {EngineLosses} from './summarize-engines.js';
import type {ForecastErrors} from './summarize-forecasts.js';
import type {KindLosses} from './summarize-kinds.js';
import type {LossWindow} from './summarize-windows.js';

/**
 * Extent of the logs, with counts of what is missing from them or was ignored.
 */
export interface LogCoverage {
  readonly files: readonly string[];
  readonly gates: number;
  readonly requests: number;
  /** Number of requests whose end is not in the logs. */
  readonly openRequests: number;
  /**
   * Number of requests with a first token but no forecast, because of dropped
   * lines or clock steps.
   */
  readonly withoutForecast: number;
  readonly malformedLines: number;
  readonly foreignLines: number;
  readonly repeatedLines: number;
  readonly droppedLines: number;
  readonly clockSteps: Readonly<Record<string, number>>;
  /**
   * Routes without a latency objective, whose late answers are not detected.
   */
  readonly routesWithoutObjective: readonly string[];
}

/** The whole analysis, as `--json` writes it. */
export interface LossAnalysis {
  readonly coverage: LogCoverage;
  readonly worth: number;
  readonly lost: number;
  /**
   * Estimated worth of requests that would have arrived in gaps between gate
   * incarnations.
   */
  readonly estimatedNoGate: number;
  readonly kinds: readonly KindLosses[];
  readonly forecasts: readonly ForecastErrors[];
  readonly gaps: readonly GateGap[];
  readonly windows: readonly LossWindow[];
  readonly engines: readonly EngineLosses[];
}

/**
 * Judges every request in the logs.
 *
 * @example
 * judgeRequests(readGateLogs(['all.log']), objectives);
 */
export function judgeRequests(
  logs: GateLogs,
  objectives: Objectives,
): readonly JudgedRequest[] {
  return mergeClientAttempts(listClientAttempts(logs.incarnations)).map(
    record => judgeRequest(record, objectives),
  );
}

function describeCoverage(
  logs: GateLogs,
  requests: readonly JudgedRequest[],
): LogCoverage {
  const {incarnations, files, malformedLines, foreignLines} = logs;
  const missingForecast = requests.filter(
    ({attempt, forecast}) =>
      attempt.end?.ttftMs !== undefined && forecast === undefined,
  );
  const withoutObjective = requests.filter(
    ({hasObjective, route}) => !hasObjective && route !== UNKNOWN,
  );
  return {
    files,
    gates: new Set(incarnations.map(({proc}) => proc)).size,
    requests: requests.length,
    openRequests: requests.filter(({isOpen}) => isOpen).length,
    withoutForecast: missingForecast.length,
    malformedLines,
    foreignLines,
    repeatedLines: logs.repeatedLines,
    droppedLines: logs.droppedLines,
    clockSteps: logs.clockSteps,
    routesWithoutObjective: [
      ...new Set(withoutObjective.map(({route}) => route)),
    ].sort(),
  };
}

/**
 * Summarizes the losses of judged requests.
 *
 * @example
 * summarizeLosses(logs, judgeRequests(logs, objectives)).lost;
 */
export function summarizeLosses(
  logs: GateLogs,
  judgedRequests: readonly JudgedRequest[],
): LossAnalysis {
  const requests = judgedRequests.filter(({isOpen}) => !isOpen);
  const gaps = listGaps(
    logs.incarnations,
    estimateRates(logs.incarnations, requests),
  );
  const estimatedNoGate = gaps.reduce(
    (sum, gap) => sum + gap.estimatedWorth,
    0,
  );
  return {
    coverage: describeCoverage(logs, judgedRequests),
    worth: sumWorth(requests),
    lost: sumLost(requests),
    estimatedNoGate,
    kinds: summarizeKinds(requests, estimatedNoGate),
    forecasts: summarizeForecasts(requests),
    gaps,
    windows: summarizeWindows(requests),
    engines: summarizeEngines(requests),
  };
}
