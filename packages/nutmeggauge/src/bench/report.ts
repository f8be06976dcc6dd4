/**
 * Writes the report of an experiment: the results as JSON, as a text table,
 * and as an HTML page with charts.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {LENGTH_BUCKETS} from '../load/workload.js';
import {renderBars} from './charts.js';
import {
  formatHtml,
  formatTextTable,
  renderHtmlTable,
  renderPage,
} from './page.js';
import type {TextTable} from './page.js';
import type {ExperimentResult, VariantResult} from './run-experiment.js';

const BUCKET_NAMES = LENGTH_BUCKETS.map(bucket => bucket.name);

type Column = readonly [title: string, read: (v: VariantResult) => string];

const formatMs = (value: number) => value.toFixed(0);
const formatRatio = (value: number) => value.toFixed(2);

/** Columns of the result table, which has one row per variant. */
const COLUMNS: readonly Column[] = [
  ['variant', v => v.name],
  ['HOL p50', v => formatRatio(v.headOfLine.p50)],
  ['HOL p95', v => formatRatio(v.headOfLine.p95)],
  ['HOL 1k-8k p50', v => formatRatio(v.headOfLineShortest.p50)],
  ['HOL 1k-8k p95', v => formatRatio(v.headOfLineShortest.p95)],
  ['short alone p95', v => formatMs(v.alone.shortTtft.p95)],
  ['short mixed p95', v => formatMs(v.mixed.shortTtft.p95)],
  ...BUCKET_NAMES.map(
    name =>
      [
        `${name} p50/p95/p99`,
        (v: VariantResult) => {
          const {p50, p95, p99} = v.mixed.ttftByBucket[name];
          return `${formatMs(p50)}/${formatMs(p95)}/${formatMs(p99)}`;
        },
      ] as const,
  ),
  ['ITL p95', v => formatMs(v.mixed.gaps.p95)],
  ['goodput/s', v => v.goodputPerSecond.toFixed(1)],
  ['refused', v => String(v.mixed.refused)],
  ['unknown', v => String(v.mixed.unknown)],
  ['lost', v => String(v.mixed.lost)],
  ['doubled', v => String(v.mixed.doubled)],
  ['false not-run', v => String(v.mixed.falseNotRun)],
];

/**
 * Formats the results as a Markdown table.
 *
 * @example
 * console.log(formatTable(result));
 */
export function formatTable(result: ExperimentResult): string {
  return formatTextTable(buildTable(result));
}

function buildTable({variants}: ExperimentResult): TextTable {
  return {
    head: COLUMNS.map(([title]) => title),
    rows: variants.map(v => COLUMNS.map(([, read]) => read(v))),
  };
}

/** Renders the charts of an experiment as SVG. */
function renderPlots(result: ExperimentResult): readonly string[] {
  const {variants} = result;
  const names = variants.map(v => v.name);
  const byBucket = (percentile: 'p50' | 'p95' | 'p99') =>
    variants.map(v => ({
      name: v.name,
      values: BUCKET_NAMES.map(b => v.mixed.ttftByBucket[b][percentile]),
    }));
  return [
    renderBars(
      'TTFT p50 by prompt length (ms)',
      BUCKET_NAMES,
      byBucket('p50'),
      true,
    ),
    renderBars(
      'TTFT p95 by prompt length (ms)',
      BUCKET_NAMES,
      byBucket('p95'),
      true,
    ),
    renderBars(
      'TTFT p99 by prompt length (ms)',
      BUCKET_NAMES,
      byBucket('p99'),
      true,
    ),
    renderBars(
      'Head-of-line slowdown of short prompts (TTFT mixed / alone)',
      names,
      [
        {name: 'p50', values: variants.map(v => v.headOfLine.p50)},
        {name: 'p95', values: variants.map(v => v.headOfLine.p95)},
      ],
    ),
    renderBars(
      'Goodput (complete answers before the deadline per second)',
      names,
      [{name: 'goodput', values: variants.map(v => v.goodputPerSecond)}],
    ),
  ];
}

function renderHtml(result: ExperimentResult): string {
  const experiment = JSON.stringify(result.experiment, undefined, 2);
  return renderPage(`nutmeggauge bench: ${result.experiment.name}`, [
    `<p>Started ${result.startedAt}. Times are in ms. HOL (head-of-line slowdown) is the TTFT of short prompts under mixed load divided by their TTFT without other load.</p>`,
    renderHtmlTable(buildTable(result)),
    ...renderPlots(result),
    `<h2>Experiment</h2><pre>${formatHtml(experiment)}</pre>`,
  ]);
}

/**
 * Writes `<name>.json` and `<name>.html` into `dir`.
 *
 * @returns Paths of the JSON and the HTML file.
 * @example
 * writeReport(result, 'runs/bench');
 */
export function writeReport(
  result: ExperimentResult,
  dir: string,
): readonly string[] {
  mkdirSync(dir, {recursive: true});
  const base = join(dir, result.experiment.name);
  writeFileSync(`${base}.json`, JSON.stringify(result, undefined, 2) + '\n');
  writeFileSync(`${base}.html`, renderHtml(result));
  return [`${base}.json`, `${base}.html`];
}
