/** Builds lines of gates' decision logs and writes log files, for tests. */
import {mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/** Fields of a log line. */
export type LogLineFields = Readonly<Record<string, unknown>>;

/** Timestamp at which the logs of tests start, in ms since the epoch. */
export const LOG_START_MS = 1_800_000_000_000;

/**
 * Builds a log line that gate `g1` writes `ms` after the start of the log.
 *
 * @example
 * buildLogLine(0, 'gate_started', {zone: 'a'});
 */
export function buildLogLine(
  ms: number,
  event: string,
  fields: LogLineFields = {},
): LogLineFields {
  return {t: LOG_START_MS + ms, proc: 'g1', level: 'info', event, ...fields};
}

/**
 * Builds the log line of a stream that was placed on engines.
 *
 * @example
 * buildStreamPlacedLine(10, 'q', {tokens: 90_000, helpers: ['e2']});
 */
export function buildStreamPlacedLine(
  ms: number,
  requestId: string,
  fields: LogLineFields = {},
): LogLineFields {
  return buildLogLine(ms, 'stream_placed', {
    requestId,
    attempt: 1,
    tokens: 5000,
    decoder: 'e1',
    helpers: [],
    shardMs: 40,
    predictedTtftMs: 100,
    factsAgeMs: 20,
    ...fields,
  });
}

/**
 * Builds the log line of a stream that ended.
 *
 * @example
 * buildRequestEndedLine(900, 'q', {ms: 900, ttftMs: 400});
 */
export function buildRequestEndedLine(
  ms: number,
  requestId: string | undefined,
  fields: LogLineFields = {},
): LogLineFields {
  return buildLogLine(ms, 'request_ended', {
    requestId,
    route: 'chat',
    kind: 'stream',
    outcome: 'answered',
    status: 200,
    target: 'e1',
    tokens: 5000,
    ttftMs: 100,
    maxItlMs: 40,
    ms: 500,
    ...fields,
  });
}

let rootFolder: string | undefined;
let folderCount = 0;

/** Creates a folder that is removed when the process ends. */
function createFolder(): string {
  if (rootFolder === undefined) {
    const created = mkdtempSync(join(tmpdir(), 'losses-'));
    process.once('exit', () => rmSync(created, {recursive: true}));
    rootFolder = created;
  }
  const folder = join(rootFolder, String(++folderCount));
  mkdirSync(folder);
  return folder;
}

/**
 * Writes a file into a new folder.
 *
 * @returns Path of the file.
 * @example
 * writeTestFile('all.log', 'text');
 */
export function writeTestFile(name: string, text: string): string {
  const file = join(createFolder(), name);
  writeFileSync(file, text);
  return file;
}

/**
 * Writes a log file; lines given as strings are written unchanged.
 *
 * @returns Path of the file.
 * @example
 * writeLog([buildLogLine(0, 'gate_started'), '{"t": 12']);
 */
export function writeLog(lines: ReadonlyArray<LogLineFields | string>): string {
  const texts = lines.map(line =>
    typeof line === 'string' ? line : JSON.stringify(line),
  );
  return writeTestFile('all.log', texts.join('\n') + '\n');
}
