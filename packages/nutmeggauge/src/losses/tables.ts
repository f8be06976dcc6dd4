/** Builds the tables of the analysis for the terminal and the HTML page. */
import {CAUSES, CAUSE_NAMES} from './causes.js';
import {WINDOW_MS} from './summarize-windows.js';
import type {TextTable} from '../bench/page.js';
import type {GateGap} from './gate-gaps.js';
import type {EngineLosses} from './summarize-engines.js';
import type {ForecastErrors} from './summarize-forecasts.js';
import type {KindLosses} from './summarize-kinds.js';
import type {LogCoverage, LossAnalysis} from './summarize-losses.js';
import type {LossWindow} from './summarize-windows.js';

/** A table with its title. */
export interface TitledTable extends TextTable {
  readonly title: string;
}

/** Default limit of rows shown in a table; `--json` contains all rows. */
const MAX_ROWS = 15;

type Column<T> = readonly [title: string, read: (row: T) => string];

function buildTable<T>(
  title: string,
  columns: ReadonlyArray<Column<T>>,
  rows: readonly T[],
  maxRows = MAX_ROWS,
): TitledTable {
  const shown = rows.slice(0, maxRows);
  const note = rows.length > maxRows ? ` (${maxRows} of ${rows.length})` : '';
  return {
    title: title + note,
    head: columns.map(([head]) => head),
    rows: shown.map(row => columns.map(([, read]) => read(row))),
  };
}

const formatWorth = (worth: number) => worth.toFixed(1);
const formatTime = (t: number) => new Date(t).toISOString();

const KIND_COLUMNS: ReadonlyArray<Column<KindLosses>> = [
  ['route', k => k.route],
  ['kind', k => k.kind],
  ['prompt', k => k.size],
  ['requests', k => String(k.requests)],
  ['worth', k => formatWorth(k.worth)],
  ['lost', k => formatWorth(k.lost)],
  ...CAUSES.map(
    cause =>
      [
        CAUSE_NAMES[cause],
        (k: KindLosses) => {
          const {requests, worth} = k.byCause[cause];
          return requests === 0 ? '' : `${formatWorth(worth)} (${requests})`;
        },
      ] as const,
  ),
  ['missed in gate gaps (estimate)', k => formatWorth(k.estimatedNoGate)],
];

const FORECAST_COLUMNS: ReadonlyArray<Column<ForecastErrors>> = [
  ['prompt', f => f.size],
  ['age of fleet state', f => f.age],
  ['forecast count', f => String(f.count)],
  ['p50', f => String(f.p50)],
  ['p90', f => String(f.p90)],
  ['most', f => String(f.most)],
];

const GAP_COLUMNS: ReadonlyArray<Column<GateGap>> = [
  ['gate', g => g.proc],
  ['from', g => formatTime(g.from)],
  ['ms', g => String(g.ms)],
  ['drained before', g => (g.hasDrained ? 'yes' : 'no')],
  ['worth (estimate)', g => formatWorth(g.estimatedWorth)],
];

const WINDOW_COLUMNS: ReadonlyArray<Column<LossWindow>> = [
  ['from', w => formatTime(w.from)],
  ['requests', w => String(w.requests)],
  ['worth', w => formatWorth(w.worth)],
  ['lost', w => formatWorth(w.lost)],
  ['main cause', w => CAUSE_NAMES[w.mainCause]],
  ['lost by main cause', w => formatWorth(w.byCause[w.mainCause].worth)],
];

const ENGINE_COLUMNS: ReadonlyArray<Column<EngineLosses>> = [
  ['engine', e => e.target],
  ['answers', e => String(e.answers)],
  ['late', e => String(e.late)],
  ['late by inter-token latency', e => String(e.lateItl)],
  ['worth lost', e => formatWorth(e.lost)],
  ['late answers helped with', e => String(e.helpedLate)],
  ['failed attempts', e => String(e.failedAttempts)],
];

/**
 * Builds all tables of an analysis.
 *
 * @example
 * buildTables(analysis).map(({title}) => title);
 */
export function buildTables(analysis: LossAnalysis): readonly TitledTable[] {
  const {kinds, forecasts, gaps, windows, engines} = analysis;
  return [
    // All kinds and forecast classes are shown, because there are few.
    buildTable(
      'Worth lost by cause (number of requests)',
      KIND_COLUMNS,
      kinds,
      Infinity,
    ),
    buildTable(
      'Time to first token minus forecast, ms',
      FORECAST_COLUMNS,
      forecasts,
      Infinity,
    ),
    buildTable(
      `Windows of ${WINDOW_MS / 1000} s, largest loss first`,
      WINDOW_COLUMNS,
      windows,
    ),
    buildTable('Engines, most late answers first', ENGINE_COLUMNS, engines),
    buildTable('Gaps between gate incarnations', GAP_COLUMNS, gaps),
  ];
}

function listCounts(coverage: LogCoverage): readonly string[] {
  const counts: ReadonlyArray<readonly [number, string]> = [
    [coverage.malformedLines, 'malformed or truncated lines ignored'],
    [coverage.foreignLines, 'lines of other programs ignored'],
    [coverage.repeatedLines, 'repeated lines counted once'],
    [coverage.droppedLines, 'log lines dropped by gates'],
    [coverage.openRequests, 'requests without an end in the log, left out'],
    [coverage.withoutForecast, 'first tokens without a known forecast'],
  ];
  return counts
    .filter(([count]) => count > 0)
    .map(([count, label]) => `${count} ${label}`);
}

/**
 * Describes the totals of the analysis and the coverage of the logs in one line
 * each.
 *
 * @example
 * describeAnalysis(analysis)[0]; // '3 gates, 719 requests in 3 files'
 */
export function describeAnalysis(analysis: LossAnalysis): readonly string[] {
  const {coverage, worth, lost, estimatedNoGate} = analysis;
  const {routesWithoutObjective: routes} = coverage;
  return [
    `${coverage.gates} gates, ${coverage.requests} requests in ${coverage.files.length} files`,
    `lost ${formatWorth(lost)} of ${formatWorth(worth)} in worth; missed in gate gaps (estimate): ${formatWorth(estimatedNoGate)}`,
    ...listCounts(coverage),
    ...Object.entries(coverage.clockSteps).map(
      ([proc, steps]) => `the clock of ${proc} was set back ${steps} times`,
    ),
    ...(routes.length > 0
      ? [
          `no latency objective for ${routes.join(', ')}: late answers on these routes count as in time (see --objectives)`,
        ]
      : []),
  ];
}
