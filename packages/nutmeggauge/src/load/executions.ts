/**
 * Reads from the targets' logs which requests were executed in a run. Logs
 * are used because they survive the kill of a target, unlike its memory.
 */
import {mergeTimeline} from '../timeline/merge.js';

/** One execution of a request at a target. */
export interface ExecutionRecord {
  readonly requestId: string;
  /**
   * Key of the request in the at-most-once ledger; only for plain service
   * calls.
   */
  readonly ledgerKey?: string;
}

/** Events that stand-ins log when they execute a request. */
const EXECUTION_EVENTS: ReadonlySet<string> = new Set([
  'sequence_submitted',
  'call_executed',
]);

/**
 * Returns every execution that the logs in `runDir` record.
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
