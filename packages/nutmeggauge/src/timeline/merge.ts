/**
 * `nutmeggauge timeline`: merges the JSON log lines of every process of a
 * run into one time line ordered by stamp.
 */
import {readFileSync, readdirSync, statSync} from 'node:fs';
import {join} from 'node:path';

/** One log line as every process writes it. */
export interface TimelineEvent {
  readonly t: number;
  readonly proc: string;
  readonly component?: string;
  readonly event: string;
  readonly [field: string]: unknown;
}

/**
 * Reads `.log` files (or every `.log` file of a folder) and merges them.
 * Lines that are not JSON are passed over.
 *
 * @example
 * mergeTimeline(['runs/demo-1']).map(formatTimelineEvent);
 */
export function mergeTimeline(paths: readonly string[]): TimelineEvent[] {
  const files = paths.flatMap(path =>
    statSync(path).isDirectory()
      ? readdirSync(path)
          .filter(name => name.endsWith('.log'))
          .map(name => join(path, name))
      : [path],
  );
  const events: TimelineEvent[] = [];
  for (const file of files) {
    for (const line of readFileSync(file, 'utf8').split('\n')) {
      // Whoever collected the lines may have put a prefix before them.
      const start = line.indexOf('{');
      if (start < 0) continue;
      try {
        const event = JSON.parse(line.slice(start)) as TimelineEvent;
        if (isTimelineEvent(event)) events.push(event);
      } catch {
        continue;
      }
    }
  }
  return events.sort((a, b) => a.t - b.t || a.proc.localeCompare(b.proc));
}

/** A line of another program has other fields; it is passed over. */
function isTimelineEvent(event: Partial<TimelineEvent>): boolean {
  return (
    typeof event.t === 'number' &&
    typeof event.proc === 'string' &&
    typeof event.event === 'string'
  );
}

/** Fields printed in the fixed columns of a time line row, or left out. */
const TIMELINE_HEAD: ReadonlySet<string> = new Set([
  't',
  'proc',
  'component',
  'event',
  'level',
]);

/**
 * Renders one event as `time proc component event fields`.
 *
 * @example
 * formatTimelineEvent({t: 0, proc: 'gate-1', event: 'gate_listening'});
 */
export function formatTimelineEvent(event: TimelineEvent): string {
  const {t, proc, component, event: name} = event;
  const fields = Object.fromEntries(
    Object.entries(event).filter(([k]) => !TIMELINE_HEAD.has(k)),
  );
  const rest =
    Object.keys(fields).length > 0 ? ' ' + JSON.stringify(fields) : '';
  return `${new Date(t).toISOString()} ${proc.padEnd(16)} ${(component ?? '').padEnd(12)} ${name}${rest}`;
}
