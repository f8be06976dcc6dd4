/** Checks what the callers of a cluster under faults were answered. */
import type {PlayedClusterFault} from '../faults/schedule.js';
import type {CallerResult} from '../load/client.js';
import type {RunSummary} from '../load/summary.js';

/**
 * Time by which a request is sent later than its caller says, in ms: the driver
 * is one process on a busy machine.
 */
const SEND_DELAY_MS = 1000;

/** A broken promise. */
export interface ClusterViolation {
  readonly promise: 'answered' | 'at-most-once' | 'not-run' | 'same-answer';
  readonly detail: string;
}

/** What is checked. */
export interface ClusterHistory {
  readonly summary: RunSummary;
  readonly results: readonly CallerResult[];
  readonly faults: readonly PlayedClusterFault[];
  readonly gateUrls: readonly string[];
}

/**
 * Finds every broken promise. A request is excused from an answer only if its
 * gate was killed or down meanwhile.
 *
 * @example
 * findClusterViolations(history).length; // 0
 */
export function findClusterViolations(
  history: ClusterHistory,
): readonly ClusterViolation[] {
  const {summary} = history;
  const found: ClusterViolation[] = history.results
    .filter(({verdict}) => verdict === 'broken')
    .filter(result => !isExcused(result, history))
    .map(({index, kind, brokenBy}) => ({
      promise: 'answered',
      detail: `${kind} ${index}: ${brokenBy}`,
    }));
  const counts = [
    ['at-most-once', summary.doubled],
    ['not-run', summary.falseNotRun],
    ['same-answer', summary.repeatMismatches],
  ] as const;
  for (const [promise, count] of counts)
    if (count > 0) found.push({promise, detail: `${count} requests`});
  return found;
}

function isExcused(
  {gateUrl, sentAt, totalMs, errorCode}: CallerResult,
  {faults, gateUrls}: ClusterHistory,
): boolean {
  const gate = `gate-${gateUrls.indexOf(gateUrl) + 1}`;
  return faults.some(
    ({fault, beganAt, endedAt}) =>
      fault.process === gate &&
      beganAt <= sentAt + totalMs &&
      endedAt >= sentAt &&
      (fault.kind === 'kill' ||
        // It does not listen once it has stopped, and a balancer that has other
        // gates sends it nothing.
        (fault.kind === 'stop' &&
          (errorCode === 'ECONNREFUSED' || sentAt > beganAt - SEND_DELAY_MS))),
  );
}
