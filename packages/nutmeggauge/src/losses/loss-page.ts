/** The page that `nutmeggauge losses --html` writes. */
import {renderLanes} from '../bench/charts.js';
import {formatHtml, renderHtmlTable, renderPage} from '../bench/page.js';
import {CAUSE_NAMES} from './causes.js';
import {buildTables, describeAnalysis} from './tables.js';
import type {LaneSpan, SpanSeries} from '../bench/charts.js';
import type {ActivitySpan, EngineActivity} from './engine-activity.js';
import type {JudgedRequest} from './judge-request.js';
import type {LossAnalysis} from './summarize-losses.js';

/** Legend of the bars; the selected prompt's are drawn last. */
const BARS = [
  {name: 'prefill', color: '#3b78c4', opacity: 0.35},
  {name: 'decode', color: '#4a9d5b', opacity: 0.35},
  {name: 'the prompt, prefill', color: '#d62828', opacity: 0.9},
  {name: 'the prompt, decode', color: '#f4a03a', opacity: 0.9},
] as const;

function findBar({work, isMarked}: ActivitySpan): number {
  return (isMarked ? 2 : 0) + (work === 'prefill' ? 0 : 1);
}

function describePrompt({
  requestId,
  tokens,
  cause,
  attempt,
}: JudgedRequest): string {
  const {end, proc} = attempt;
  const outcome = cause === undefined ? 'in time' : CAUSE_NAMES[cause];
  const first = end?.ttftMs === undefined ? 'none' : `${end.ttftMs} ms`;
  return `Request ${requestId ?? '?'} at ${proc}: ${tokens ?? '?'} tokens, ${outcome}, first token ${first}`;
}

function listSeries(activity: EngineActivity): readonly SpanSeries[] {
  const {engines, request, spans} = activity;
  const zero = request.attempt.arrivedAt;
  const indexes = new Map(engines.map((engine, i) => [engine, i]));
  const toLane = ({engine, work, from, to}: ActivitySpan): LaneSpan => ({
    lane: (indexes.get(engine) ?? 0) * 2 + (work === 'prefill' ? 0 : 1),
    from: (from - zero) / 1000,
    to: (to - zero) / 1000,
  });
  return BARS.map((bar, i) => ({
    ...bar,
    spans: spans.filter(span => findBar(span) === i).map(toLane),
  }));
}

/**
 * Draws the activity of engines around a prompt.
 *
 * @example
 * renderActivity(listActivity(requests, request));
 */
export function renderActivity(activity: EngineActivity): string {
  const {engines, request, from, to} = activity;
  const zero = request.attempt.arrivedAt;
  return renderLanes(
    describePrompt(request),
    's since its arrival',
    engines.flatMap(engine => [`${engine} prefill`, `${engine} decode`]),
    [(from - zero) / 1000, (to - zero) / 1000],
    listSeries(activity),
  );
}

/** Limits of the plot. */
const PLOT_NOTE =
  'A prefill bar lasts from the placement to the first token: the log does not tell when an engine prefilled its shard. A darker bar is several streams at once.';

/**
 * Renders the whole page.
 *
 * @param activity - Absent when no stream was placed.
 * @example
 * renderLossPage(analysis, activity);
 */
export function renderLossPage(
  analysis: LossAnalysis,
  activity: EngineActivity | undefined,
): string {
  const lines = describeAnalysis(analysis)
    .map(line => `<li>${formatHtml(line)}</li>`)
    .join('\n');
  const plot =
    activity === undefined
      ? ['<p>No stream was placed: nothing to draw.</p>']
      : [renderActivity(activity), `<p>${PLOT_NOTE}</p>`];
  return renderPage('nutmeggauge losses', [
    `<ul>${lines}</ul>`,
    ...buildTables(analysis).flatMap(table => [
      `<h2>${formatHtml(table.title)}</h2>`,
      renderHtmlTable(table),
    ]),
    '<h2>Engines around one prompt</h2>',
    ...plot,
  ]);
}
