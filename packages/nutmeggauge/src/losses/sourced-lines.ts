/**
 * Reads log lines with their sources, and counts ignored lines. Lines keep the
 * order of their file, because a host's clock may be set back.
 */
import {listLogFiles, readRawLines} from '../timeline/log-files.js';
import {isTimelineEvent} from '../timeline/merge.js';
import type {RawLine} from '../timeline/log-files.js';
import type {TimelineEvent} from '../timeline/merge.js';

/** First event of a process, logged before the process knows its name. */
export const PROGRAM_STARTING = 'program_starting';

/**
 * A log line with its source: the file, and the collector's prefix if there is
 * one.
 */
export interface SourcedLine {
  readonly source: string;
  readonly event: TimelineEvent | typeof PROGRAM_STARTING;
  /** JSON text of the line, as logged. */
  readonly text: string;
}

/** Log lines of all files, and counts of ignored and repeated lines. */
export interface SourcedLines {
  readonly files: readonly string[];
  readonly lines: readonly SourcedLine[];
  /** Number of lines with a `{` but no complete JSON object. */
  readonly malformedLines: number;
  /** Number of JSON lines of other programs. */
  readonly foreignLines: number;
  /**
   * Number of lines left out because an earlier file contains the same line.
   */
  readonly repeatedLines: number;
}

/**
 * Resolves the source of a line: the file, followed by the last word of the
 * collector's prefix if there is one.
 */
function resolveSource(file: string, prefix: string): string {
  return prefix === '' ? file : `${file} ${prefix.split(/\s+/).at(-1)}`;
}

function toSourcedLine(file: string, raw: RawLine): SourcedLine | undefined {
  const {fields, prefix, text} = raw;
  if (fields === undefined) return undefined;
  const source = resolveSource(file, prefix);
  if (isTimelineEvent(fields)) return {source, event: fields, text};
  return fields.event === PROGRAM_STARTING
    ? {source, event: PROGRAM_STARTING, text}
    : undefined;
}

/** Log lines of one file, and counts of its ignored lines. */
interface FileLines {
  readonly lines: readonly SourcedLine[];
  readonly malformed: number;
  readonly foreign: number;
  /** First timestamp in the file, in ms; infinite if there is none. */
  readonly firstTimestamp: number;
}

function readFileLines(file: string): FileLines {
  const rawLines = readRawLines(file);
  const lines = rawLines.flatMap(raw => toSourcedLine(file, raw) ?? []);
  const malformed = rawLines.filter(({fields}) => fields === undefined).length;
  const firstEvent = lines.find(({event}) => event !== PROGRAM_STARTING)?.event;
  return {
    lines,
    malformed,
    foreign: rawLines.length - malformed - lines.length,
    firstTimestamp: typeof firstEvent === 'object' ? firstEvent.t : Infinity,
  };
}

/**
 * Merges files without the lines that occur in an earlier file, because logs
 * are often given both by host and merged. Equal lines within a file are
 * different events.
 */
function mergeFiles(files: readonly FileLines[]): readonly SourcedLine[] {
  const seen = new Set<string>();
  return files.flatMap(({lines}) => {
    const newLines = lines.filter(
      ({event, text}) => event === PROGRAM_STARTING || !seen.has(text),
    );
    for (const {text} of newLines) seen.add(text);
    return newLines;
  });
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

/**
 * Reads log files, or every `.log` file of a folder, with files ordered by
 * their first timestamps.
 *
 * @throws InputFileError when a file is missing or cannot be read.
 * @example
 * readSourcedLines(['runs/soak-112']).lines.length;
 */
export function readSourcedLines(paths: readonly string[]): SourcedLines {
  const files = listLogFiles(paths);
  const linesOfFiles = files
    .map(readFileLines)
    .sort((a, b) => a.firstTimestamp - b.firstTimestamp);
  const lines = mergeFiles(linesOfFiles);
  return {
    files,
    lines,
    malformedLines: sum(linesOfFiles.map(({malformed}) => malformed)),
    foreignLines: sum(linesOfFiles.map(({foreign}) => foreign)),
    repeatedLines:
      sum(linesOfFiles.map(file => file.lines.length)) - lines.length,
  };
}
