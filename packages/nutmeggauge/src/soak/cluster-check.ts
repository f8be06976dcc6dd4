/** Checks the answers that the callers of a cluster received under faults. */
import {formatExit} from '../cluster/owned-process.js';
import type {InjectedClusterFault} from '../faults/schedule.js';
import type {CallerResult} from '../load/client.js';
import type {RunSummary} from '../load/summary.js';

/**
 * Longest delay between the recorded `sentAt` and the actual send, in ms: the
 * driver is a single process on a busy machine.
 */
const MAX_SEND_DELAY_MS = 1000;

/** A violated invariant, with a description of what was observed. */
export interface ClusterViolation {
  readonly promise:
    'answered' | 'at-most-once' | 'not-run' | 'same-answer' | 'no-exit';
  readonly detail: string;
}

/** Results and faults of one run; the input of the checks. */
export interface ClusterHistory {
  readonly summary: RunSummary;
  readonly results: readonly CallerResult[];
  readonly faults: readonly InjectedClusterFault[];
  readonly gateUrls: readonly string[];
}

/**
 * Finds every violated invariant. A missing answer is excused only if its gate
 * was killed or stopped during the request.
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
  for (const exit of summary.unexpectedExits)
    found.push({promise: 'no-exit', detail: formatExit(exit)});
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
        // A stopped gate does not listen, and the load balancer sends it no
        // requests while there are other gates.
        (fault.kind === 'stop' &&
          (errorCode === 'ECONNREFUSED' ||
            sentAt > beganAt - MAX_SEND_DELAY_MS))),
  );
}
