/**
 * What the targets of a run executed, read from their logs: the logs
 * outlive a target that was killed, its memory does not.
 */
import {mergeTimeline} from '../timeline/merge.js';

/** One execution at a target. */
export interface ExecutionRecord {
  readonly requestId: string;
  /** Key of the at-most-once ledger, for plain service calls. */
  readonly ledgerKey?: string;
}

/** Log events by which stand-ins tell that they run a request. */
const EXECUTION_EVENTS: ReadonlySet<string> = new Set([
  'sequence_submitted',
  'call_executed',
]);

/**
 * Reads every execution from the logs in `runDir`.
 *
 * @example
 * readExecutions('runs/demo-1').length;
 */
export function readExecutions(runDir: string): ExecutionRecord[] {
  return mergeTimeline([runDir])
    .filter(event => EXECUTION_EVENTS.has(event.event))
    .map(event => ({
      requestId: event.requestId as string,
      ledgerKey: event.ledgerKey as string | undefined,
    }));
}
