/**
 * Implements `nutmeggauge timeline`: merges the JSON log lines of all
 * processes, ordered by timestamp.
 */
import {listLogFiles, readRawLines} from './log-files.js';

/** One log line, in the format that every process writes. */
export interface TimelineEvent {
  readonly t: number;
  readonly proc: string;
  readonly component?: string;
  readonly event: string;
  readonly [field: string]: unknown;
}

/**
 * Reads log files, or every `.log` file of a folder, and merges their lines,
 * ignoring those that are not log lines of nutmeggauge.
 *
 * @throws InputFileError when there is no log file, or one cannot be read.
 * @example
 * mergeTimeline(['runs/demo-1']).map(formatTimelineEvent);
 */
export function mergeTimeline(paths: readonly string[]): TimelineEvent[] {
  const events: TimelineEvent[] = [];
  for (const file of listLogFiles(paths)) {
    for (const {fields} of readRawLines(file)) {
      if (fields !== undefined && isTimelineEvent(fields)) events.push(fields);
    }
  }
  return events.sort((a, b) => a.t - b.t || a.proc.localeCompare(b.proc));
}

/** Largest timestamp that a `Date` can hold, in ms (ECMA-262, time values). */
const MAX_DATE_MS = 8.64e15;

/**
 * Returns whether an object is a log line of nutmeggauge.
 *
 * @example
 * isTimelineEvent({t: 0, proc: 'gate-1', event: 'gate_started'}); // true
 */
export function isTimelineEvent(
  event: Readonly<Record<string, unknown>>,
): event is TimelineEvent {
  return (
    typeof event.t === 'number' &&
    event.t >= 0 &&
    event.t <= MAX_DATE_MS &&
    typeof event.proc === 'string' &&
    typeof event.event === 'string'
  );
}

/**
 * Fields that a row prints in fixed columns or omits; all others are printed as
 * JSON.
 */
const COLUMN_FIELDS: ReadonlySet<string> = new Set([
  't',
  'proc',
  'component',
  'event',
  'level',
]);

/**
 * Formats one event as `time proc component event fields`.
 *
 * @example
 * formatTimelineEvent({t: 0, proc: 'gate-1', event: 'gate_listening'});
 */
export function formatTimelineEvent(event: TimelineEvent): string {
  const {t, proc, component, event: name} = event;
  const fields = Object.fromEntries(
    Object.entries(event).filter(([k]) => !COLUMN_FIELDS.has(k)),
  );
  const suffix =
    Object.keys(fields).length > 0 ? ' ' + JSON.stringify(fields) : '';
  return `${new Date(t).toISOString()} ${proc.padEnd(16)} ${(component ?? '').padEnd(12)} ${name}${suffix}`;
}
