/**
 * Implements `nutmeggauge losses`: analyses the worth that requests lost, by
 * cause, from the decision logs of gates.
 */
import {writeFileSync} from 'node:fs';
import {formatTextTable} from '../bench/page.js';
import {OutputFileError, UnknownRequestError} from '../cli/errors.js';
import {listActivity, pickPrompt} from './engine-activity.js';
import {readGateLogs} from './gate-incarnations.js';
import {renderLossPage} from './loss-page.js';
import {NO_OBJECTIVES, loadObjectives} from './objectives.js';
import {judgeRequests, summarizeLosses} from './summarize-losses.js';
import {buildTables, describeAnalysis} from './tables.js';
import type {JudgedRequest} from './judge-request.js';
import type {LossAnalysis} from './summarize-losses.js';

/** Options of `nutmeggauge losses`. */
export interface LossesOptions {
  /** Log files, or folders with `.log` files. */
  readonly paths: readonly string[];
  /**
   * File with the latency objectives of the routes.
   * @default none: no answer counts as late
   */
  readonly objectives?: string;
  /**
   * Output path of the whole analysis as JSON.
   * @default not written
   */
  readonly json?: string;
  /**
   * Output path of the HTML page.
   * @default not written
   */
  readonly html?: string;
  /**
   * Id of the request whose engine activity the page plots.
   * @default the largest late prompt
   */
  readonly request?: string;
}

function writeOutput(path: string, text: string): void {
  try {
    writeFileSync(path, text);
  } catch (cause) {
    throw new OutputFileError(
      {cause: cause as Error, info: {path}},
      `${path}: cannot be written`,
    );
  }
}

function findPrompt(
  requests: readonly JudgedRequest[],
  requestId: string | undefined,
): JudgedRequest | undefined {
  if (requestId === undefined) return pickPrompt(requests);
  const found = requests.find(request => request.requestId === requestId);
  if (found !== undefined) return found;
  throw new UnknownRequestError(
    {info: {requestId}},
    `no log line has the request id ${requestId}`,
  );
}

/**
 * Formats the analysis as text.
 *
 * @example
 * process.stdout.write(formatLosses(analysis));
 */
export function formatLosses(analysis: LossAnalysis): string {
  const tables = buildTables(analysis).map(
    table => `${table.title}\n\n${formatTextTable(table)}\n`,
  );
  return [describeAnalysis(analysis).join('\n') + '\n', ...tables].join('\n');
}

/**
 * Analyses logs, writes the requested output files, and returns the analysis as
 * text.
 *
 * @throws InputFileError when a log is missing or no line was written by a
 *   gate.
 * @throws SettingsError when the file with the objectives is invalid.
 * @throws UnknownRequestError when no log line has the requested id.
 * @throws OutputFileError when an output file cannot be written.
 * @example
 * process.stdout.write(runLosses({paths: ['all.log'], html: 'losses.html'}));
 */
export function runLosses(options: LossesOptions): string {
  const {paths, objectives, json, html, request} = options;
  const loadedObjectives =
    objectives === undefined ? NO_OBJECTIVES : loadObjectives(objectives);
  const logs = readGateLogs(paths);
  const requests = judgeRequests(logs, loadedObjectives);
  const analysis = summarizeLosses(logs, requests);
  const prompt = findPrompt(requests, request);
  if (json !== undefined)
    writeOutput(json, JSON.stringify(analysis, undefined, 2) + '\n');
  if (html !== undefined) {
    const activity =
      prompt === undefined ? undefined : listActivity(requests, prompt);
    writeOutput(html, renderLossPage(analysis, activity));
  }
  return formatLosses(analysis);
}
