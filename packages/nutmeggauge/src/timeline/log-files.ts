/**
 * Reads log files of JSON lines, with or without a prefix that a log collector
 * has added to each line.
 */
import {readFileSync, readdirSync, statSync} from 'node:fs';
import {join} from 'node:path';
import {InputFileError} from '../cli/errors.js';

/** A log line before its fields are checked. */
export interface RawLine {
  /** The text before the JSON text, trimmed. */
  readonly prefix: string;
  /** The JSON text. */
  readonly text: string;
  /** The parsed object; absent if the text is not a JSON object. */
  readonly fields: Readonly<Record<string, unknown>> | undefined;
}

/**
 * Lists the log files of paths: each file, and every `.log` file of a folder.
 *
 * @throws InputFileError when a path cannot be read or there is no log file.
 * @example
 * listLogFiles(['runs/demo-1']);
 */
export function listLogFiles(paths: readonly string[]): readonly string[] {
  const files = paths.flatMap(listLogFilesOfPath);
  if (files.length > 0) return [...new Set(files)];
  const problem = paths.length === 0 ? 'no log file named' : 'no .log file in';
  throw new InputFileError(
    {info: {paths}},
    `${problem} ${paths.join(', ')}`.trim(),
  );
}

function listLogFilesOfPath(path: string): readonly string[] {
  try {
    if (!statSync(path).isDirectory()) return [path];
    return readdirSync(path)
      .filter(name => name.endsWith('.log'))
      .sort()
      .map(name => join(path, name));
  } catch (cause) {
    throw buildUnreadableError(path, cause as Error);
  }
}

function buildUnreadableError(path: string, cause: Error): InputFileError {
  return new InputFileError({cause, info: {path}}, `${path}: cannot be read`);
}

/**
 * Reads the lines of a file that contain a JSON object or the beginning of one.
 *
 * @throws InputFileError when the file cannot be read.
 * @example
 * readRawLines('runs/demo-1/gate-1.log');
 */
export function readRawLines(file: string): readonly RawLine[] {
  let content: string;
  try {
    content = readFileSync(file, 'utf8');
  } catch (cause) {
    throw buildUnreadableError(file, cause as Error);
  }
  return content.split('\n').flatMap(line => parseRawLine(line) ?? []);
}

function parseRawLine(line: string): RawLine | undefined {
  // Log collectors may add a prefix.
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  const prefix = line.slice(0, start).trim();
  const text = line.slice(start).trimEnd();
  return {prefix, text, fields: parseFields(text)};
}

function parseFields(text: string): RawLine['fields'] {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null
      ? (value as Record<string, unknown>)
      : undefined;
  } catch {
    // The text is truncated, or not JSON.
    return undefined;
  }
}
