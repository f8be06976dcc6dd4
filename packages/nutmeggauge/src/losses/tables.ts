/** Text tables of the analysis, for the terminal and the page. */
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

/** Rows of a table that are shown; `--json` has all. */
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
  ['no gate there (estimate)', k => formatWorth(k.estimatedNoGate)],
];

const FORECAST_COLUMNS: ReadonlyArray<Column<ForecastErrors>> = [
  ['prompt', f => f.size],
  ['age of facts', f => f.age],
  ['first tokens', f => String(f.count)],
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
  ['from', m => formatTime(m.from)],
  ['requests', m => String(m.requests)],
  ['worth', m => formatWorth(m.worth)],
  ['lost', m => formatWorth(m.lost)],
  ['most by', m => CAUSE_NAMES[m.mainCause]],
  ['of it', m => formatWorth(m.byCause[m.mainCause].worth)],
];

const ENGINE_COLUMNS: ReadonlyArray<Column<EngineLosses>> = [
  ['engine', e => e.target],
  ['answers', e => String(e.answers)],
  ['late', e => String(e.late)],
  ['of these by inter-token latency', e => String(e.lateItl)],
  ['worth lost', e => formatWorth(e.lost)],
  ['helped with late ones', e => String(e.helpedLate)],
  ['failed attempts', e => String(e.failedAttempts)],
];

/**
 * Builds every table of an analysis.
 *
 * @example
 * buildTables(analysis).map(({title}) => title);
 */
export function buildTables(analysis: LossAnalysis): readonly TitledTable[] {
  const {kinds, forecasts, gaps, windows, engines} = analysis;
  return [
    // All forecast classes are shown, as there are few.
    buildTable('Worth lost by cause (requests)', KIND_COLUMNS, kinds, Infinity),
    buildTable(
      'Time to first token beyond its forecast, ms',
      FORECAST_COLUMNS,
      forecasts,
      Infinity,
    ),
    buildTable(
      `Windows of ${WINDOW_MS / 1000} s, worst first`,
      WINDOW_COLUMNS,
      windows,
    ),
    buildTable('Engines, most late answers first', ENGINE_COLUMNS, engines),
    buildTable('No gate there', GAP_COLUMNS, gaps),
  ];
}

function listCounts(coverage: LogCoverage): readonly string[] {
  const counts: ReadonlyArray<readonly [number, string]> = [
    [coverage.malformedLines, 'malformed or truncated lines ignored'],
    [coverage.foreignLines, 'lines of other programs ignored'],
    [coverage.repeatedLines, 'repeated lines counted once'],
    [coverage.droppedLines, 'lines that gates dropped'],
    [coverage.openRequests, 'requests whose end is not in the log, left out'],
    [coverage.withoutForecast, 'first tokens whose forecast is not known'],
  ];
  return counts
    .filter(([count]) => count > 0)
    .map(([count, label]) => `${count} ${label}`);
}

/**
 * Describes the coverage of the logs, one line each.
 *
 * @example
 * describeAnalysis(analysis)[0]; // '3 gates, 719 requests in 3 files'
 */
export function describeAnalysis(analysis: LossAnalysis): readonly string[] {
  const {coverage, worth, lost, estimatedNoGate} = analysis;
  const {routesWithoutObjective: routes} = coverage;
  return [
    `${coverage.gates} gates, ${coverage.requests} requests in ${coverage.files.length} files`,
    `lost ${formatWorth(lost)} of ${formatWorth(worth)}; arrivals while gates were not there, estimated: ${formatWorth(estimatedNoGate)}`,
    ...listCounts(coverage),
    ...Object.entries(coverage.clockSteps).map(
      ([proc, steps]) => `the clock of ${proc} went back ${steps} times`,
    ),
    ...(routes.length > 0
      ? [
          `no objective given for ${routes.join(', ')}: their late answers count as in time (--objectives)`,
        ]
      : []),
  ];
}
