/**
 * Implements `nutmeggauge explain`: picks the log lines of one request, with
 * the state changes of its targets and processes around that time.
 */
import type {TimelineEvent} from './merge.js';

/**
 * Time shown before the first line of a request, in ms: causes such as a
 * target's drain precede a request by seconds.
 */
const CONTEXT_BEFORE_MS = 5000;

/** Time shown after the last line of a request, in ms. */
const CONTEXT_AFTER_MS = 500;

/** Fields of a log line that contain ids of targets. */
const TARGET_FIELDS = ['target', 'decoder', 'tried', 'helpers', 'id'] as const;

/** State changes that affect every request of a process. */
const PROCESS_EVENTS: ReadonlySet<string> = new Set([
  'config_applied',
  'store_lost',
  'store_regained',
  'store_history_lost',
  'facts_from_peer',
  'facts_from_peer_failed',
  'drain_started',
  'drain_finished',
  'gate_started',
  'settings_reloaded',
  'peer_lost',
  'log_lines_dropped',
]);

function listTargets(event: TimelineEvent): readonly string[] {
  return TARGET_FIELDS.flatMap(field => {
    const value = event[field];
    if (typeof value === 'string') return [value];
    return Array.isArray(value)
      ? value.filter(item => typeof item === 'string')
      : [];
  });
}

/**
 * Picks the log lines that explain a request: its own lines, those about its
 * targets, and state changes of the processes that logged it.
 *
 * @param events - Merged log lines, ordered by timestamp.
 * @example
 * explainRequest(mergeTimeline(['run.log']), '9c41d07be2a35f68');
 */
export function explainRequest(
  events: readonly TimelineEvent[],
  requestId: string,
): readonly TimelineEvent[] {
  const ownEvents = events.filter(event => event.requestId === requestId);
  if (ownEvents.length === 0) return [];
  const from = ownEvents[0].t - CONTEXT_BEFORE_MS;
  const to = ownEvents[ownEvents.length - 1].t + CONTEXT_AFTER_MS;
  const procs = new Set(ownEvents.map(event => event.proc));
  const targets = new Set(ownEvents.flatMap(listTargets));
  return events.filter(event => {
    if (event.requestId !== undefined) return event.requestId === requestId;
    if (event.t < from || event.t > to || !procs.has(event.proc)) return false;
    return (
      PROCESS_EVENTS.has(event.event) ||
      listTargets(event).some(target => targets.has(target))
    );
  });
}
