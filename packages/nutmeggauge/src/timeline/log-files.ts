/**
 * Reading of log files: which files a command was given, and the JSON line
 * behind whatever a collector put before it.
 */
import {readFileSync, readdirSync, statSync} from 'node:fs';
import {join} from 'node:path';
import {InputFileError} from '../cli/errors.js';

/** One line of a log, before anything is known of its fields. */
export interface RawLine {
  /** What stood before the JSON, without spaces at its ends. */
  readonly prefix: string;
  /** The JSON text. */
  readonly text: string;
  /** The parsed object; absent when the text is not a JSON object. */
  readonly fields: Readonly<Record<string, unknown>> | undefined;
}

/**
 * Lists the files that paths stand for: each file itself, and every `.log`
 * file of a folder.
 *
 * @throws InputFileError when a path does not exist or no file is named.
 * @example
 * listLogFiles(['runs/demo-1']);
 */
export function listLogFiles(paths: readonly string[]): readonly string[] {
  const files = paths.flatMap(listLogFilesOf);
  if (files.length > 0) return [...new Set(files)];
  const where = paths.length === 0 ? 'no log file named' : 'no .log file in';
  throw new InputFileError(
    {info: {paths}},
    `${where} ${paths.join(', ')}`.trim(),
  );
}

function listLogFilesOf(path: string): readonly string[] {
  try {
    if (!statSync(path).isDirectory()) return [path];
    return readdirSync(path)
      .filter(name => name.endsWith('.log'))
      .sort()
      .map(name => join(path, name));
  } catch (cause) {
    throw describeUnreadable(path, cause as Error);
  }
}

function describeUnreadable(path: string, cause: Error): InputFileError {
  return new InputFileError({cause, info: {path}}, `${path}: cannot be read`);
}

/**
 * Reads the lines of one file that hold a JSON object or the beginning of one.
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
    throw describeUnreadable(file, cause as Error);
  }
  return content.split('\n').flatMap(line => parseRawLine(line) ?? []);
}

function parseRawLine(line: string): RawLine | undefined {
  // Whoever collected the lines may have put a prefix before them.
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
    // Cut while it was written, or not a line of ours.
    return undefined;
  }
}
