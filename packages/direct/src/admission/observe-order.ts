/** Logs and counts the decisions of admission queues beyond the deadlines. */
import type {Counters} from '@nutmeggauge/core';
import type {DecisionLog} from '../observe/decision-log.js';
import type {OrderDecision} from './admission-order.js';

/**
 * Creates a listener that logs and counts each decision.
 *
 * @example
 * createAdmissionQueue({...options, onDecision: observeOrder(log, counters)});
 */
export function observeOrder(
  log: DecisionLog,
  counters: Counters,
): (decision: OrderDecision) => void {
  return ({kind, cause, stream, rank, other, otherRank}) => {
    counters.add(`queue.${kind}_${cause}`);
    log.info(`stream_${kind}`, {
      requestId: stream.requestId,
      cause,
      urgency: stream.urgency,
      rank: rank.urgency,
      account: stream.account,
      accountRank: rank.account,
      otherId: other?.requestId,
      otherUrgency: other?.urgency,
      otherRank: otherRank?.urgency,
      otherAccount: other?.account,
      otherAccountRank: otherRank?.account,
    });
  };
}
