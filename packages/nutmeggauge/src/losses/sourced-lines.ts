/**
 * Reads the lines of log files with who wrote them, and counts what is passed
 * over. Within a file their order stays: a host's clock may step.
 */
import {listLogFiles, readRawLines} from '../timeline/log-files.js';
import {isTimelineEvent} from '../timeline/merge.js';
import type {RawLine} from '../timeline/log-files.js';
import type {TimelineEvent} from '../timeline/merge.js';

/** First line of a process, before it knows its own name. */
export const FIRST_EVENT = 'program_starting';

/** One line with the process or file that it came from. */
export interface SourcedLine {
  readonly source: string;
  readonly event: TimelineEvent | typeof FIRST_EVENT;
  /** The line's JSON as it was written. */
  readonly text: string;
}

/** Lines of all files, and what was passed over. */
export interface SourcedLines {
  readonly files: readonly string[];
  readonly lines: readonly SourcedLine[];
  /** Lines that hold a `{` and no whole JSON object. */
  readonly malformedLines: number;
  /** Lines of JSON that are of no process of ours. */
  readonly foreignLines: number;
  /** Lines that stood in an earlier file already. */
  readonly repeatedLines: number;
}

/** Name of who wrote a line: the collector's last word, else the file. */
function resolveSource(file: string, prefix: string): string {
  return prefix === '' ? file : `${file} ${prefix.split(/\s+/).at(-1)}`;
}

function toSourcedLine(file: string, raw: RawLine): SourcedLine | undefined {
  const {fields, prefix, text} = raw;
  if (fields === undefined) return undefined;
  const source = resolveSource(file, prefix);
  if (isTimelineEvent(fields)) return {source, event: fields, text};
  return fields.event === FIRST_EVENT
    ? {source, event: FIRST_EVENT, text}
    : undefined;
}

/** What one file holds. */
interface FileLines {
  readonly lines: readonly SourcedLine[];
  readonly malformed: number;
  readonly foreign: number;
  /** First stamp in it; infinite where there is none. */
  readonly beginsAt: number;
}

function readFileLines(file: string): FileLines {
  const raws = readRawLines(file);
  const lines = raws.flatMap(raw => toSourcedLine(file, raw) ?? []);
  const malformed = raws.filter(({fields}) => fields === undefined).length;
  const stamped = lines.find(({event}) => event !== FIRST_EVENT)?.event;
  return {
    lines,
    malformed,
    foreign: raws.length - malformed - lines.length,
    beginsAt: typeof stamped === 'object' ? stamped.t : Infinity,
  };
}

/**
 * Leaves out lines that stand in an earlier file: a day's logs are often given
 * by host and, once more, merged, and every request would count twice. Within
 * one file equal lines are as many events.
 */
function mergeFiles(files: readonly FileLines[]): readonly SourcedLine[] {
  const seen = new Set<string>();
  return files.flatMap(({lines}) => {
    const own = lines.filter(
      ({event, text}) => event === FIRST_EVENT || !seen.has(text),
    );
    for (const {text} of own) seen.add(text);
    return own;
  });
}

function sum(counts: readonly number[]): number {
  return counts.reduce((all, count) => all + count, 0);
}

/**
 * Reads log files, or every `.log` file of a folder. Files come in the order
 * of their first stamps, so those of one gate may be given in any.
 *
 * @throws InputFileError when a file is missing or cannot be read.
 * @example
 * readSourcedLines(['runs/soak-112']).lines.length;
 */
export function readSourcedLines(paths: readonly string[]): SourcedLines {
  const files = listLogFiles(paths);
  const contents = files
    .map(readFileLines)
    .sort((a, b) => a.beginsAt - b.beginsAt);
  const lines = mergeFiles(contents);
  return {
    files,
    lines,
    malformedLines: sum(contents.map(({malformed}) => malformed)),
    foreignLines: sum(contents.map(({foreign}) => foreign)),
    repeatedLines: sum(contents.map(file => file.lines.length)) - lines.length,
  };
}
