/**
 * `nutmeggauge losses`: the worth that requests lost, by cause, from the
 * decision logs of gates.
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

/** Options of the command. */
export interface LossesOptions {
  /** Log files, or folders of them. */
  readonly paths: readonly string[];
  /**
   * File of the routes' objectives.
   * @default none: late answers are not told apart
   */
  readonly objectives?: string;
  /**
   * Where the whole analysis is written as JSON.
   * @default not written
   */
  readonly json?: string;
  /**
   * Where the page is written.
   * @default not written
   */
  readonly html?: string;
  /**
   * The request that the page's plot shows.
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
    `no line names the request ${requestId}`,
  );
}

/**
 * Renders the analysis as text.
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
 * Analyses logs, writes the files that were asked for, and returns the text.
 *
 * @throws InputFileError when a log is missing or holds no line of a gate.
 * @throws SettingsError when the file of objectives is bad.
 * @throws UnknownRequestError when no line names the asked request.
 * @throws OutputFileError when a file cannot be written.
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
