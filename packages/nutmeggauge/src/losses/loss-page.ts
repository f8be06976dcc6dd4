/** Renders the HTML page that `nutmeggauge losses --html` writes. */
import {renderLanes} from '../bench/charts.js';
import {formatHtml, renderHtmlTable, renderPage} from '../bench/page.js';
import {CAUSE_NAMES} from './causes.js';
import {buildTables, describeAnalysis} from './tables.js';
import type {LaneSpan, SpanSeries} from '../bench/charts.js';
import type {ActivitySpan, EngineActivity} from './engine-activity.js';
import type {JudgedRequest} from './judge-request.js';
import type {LossAnalysis} from './summarize-losses.js';

/**
 * Legend and style of the bars; those of the selected prompt are drawn last, on
 * top of all others.
 */
const BAR_STYLES = [
  {name: 'prefill', color: '#3b78c4', opacity: 0.35},
  {name: 'decode', color: '#4a9d5b', opacity: 0.35},
  {name: 'selected prompt, prefill', color: '#d62828', opacity: 0.9},
  {name: 'selected prompt, decode', color: '#f4a03a', opacity: 0.9},
] as const;

function findStyleIndex({phase, isSelected}: ActivitySpan): number {
  return (isSelected ? 2 : 0) + (phase === 'prefill' ? 0 : 1);
}

function describePrompt({
  requestId,
  tokens,
  cause,
  attempt,
}: JudgedRequest): string {
  const {end, proc} = attempt;
  const outcome = cause === undefined ? 'in time' : CAUSE_NAMES[cause];
  const firstToken = end?.ttftMs === undefined ? 'none' : `${end.ttftMs} ms`;
  return `Request ${requestId ?? '?'} at ${proc}: ${tokens ?? '?'} tokens, ${outcome}, first token ${firstToken}`;
}

function listSeries(activity: EngineActivity): readonly SpanSeries[] {
  const {engines, request, spans} = activity;
  const originMs = request.attempt.arrivedAt;
  const engineIndexes = new Map(engines.map((engine, i) => [engine, i]));
  const toLane = ({engine, phase, from, to}: ActivitySpan): LaneSpan => ({
    lane: (engineIndexes.get(engine) ?? 0) * 2 + (phase === 'prefill' ? 0 : 1),
    from: (from - originMs) / 1000,
    to: (to - originMs) / 1000,
  });
  return BAR_STYLES.map((style, i) => ({
    ...style,
    spans: spans.filter(span => findStyleIndex(span) === i).map(toLane),
  }));
}

/**
 * Renders the engine activity during a selected prompt as a plot.
 *
 * @example
 * renderActivity(listActivity(requests, request));
 */
export function renderActivity(activity: EngineActivity): string {
  const {engines, request, from, to} = activity;
  const originMs = request.attempt.arrivedAt;
  return renderLanes(
    describePrompt(request),
    's since the arrival of the request',
    engines.flatMap(engine => [`${engine} prefill`, `${engine} decode`]),
    [(from - originMs) / 1000, (to - originMs) / 1000],
    listSeries(activity),
  );
}

/** Note below the plot on what the bars mean. */
const PLOT_NOTE =
  'A prefill bar lasts from the placement to the first token, because the log does not show when an engine prefilled its shard. A darker bar means several concurrent streams.';

/**
 * Renders the whole HTML page.
 *
 * @param activity - Engine activity to plot; absent if no stream was placed.
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
      ? ['<p>No stream was placed, so there is no engine activity to plot.</p>']
      : [renderActivity(activity), `<p>${PLOT_NOTE}</p>`];
  return renderPage('nutmeggauge losses', [
    `<ul>${lines}</ul>`,
    ...buildTables(analysis).flatMap(table => [
      `<h2>${formatHtml(table.title)}</h2>`,
      renderHtmlTable(table),
    ]),
    '<h2>Engine activity during one prompt</h2>',
    ...plot,
  ]);
}
