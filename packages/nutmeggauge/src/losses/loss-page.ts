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
const BAR_STYLES = [
  {name: 'prefill', color: '#3b78c4', opacity: 0.35},
  {name: 'decode', color: '#4a9d5b', opacity: 0.35},
  {name: 'the prompt, prefill', color: '#d62828', opacity: 0.9},
  {name: 'the prompt, decode', color: '#f4a03a', opacity: 0.9},
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
 * Draws the activity of engines around a prompt.
 *
 * @example
 * renderActivity(listActivity(requests, request));
 */
export function renderActivity(activity: EngineActivity): string {
  const {engines, request, from, to} = activity;
  const originMs = request.attempt.arrivedAt;
  return renderLanes(
    describePrompt(request),
    's since its arrival',
    engines.flatMap(engine => [`${engine} prefill`, `${engine} decode`]),
    [(from - originMs) / 1000, (to - originMs) / 1000],
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
