/** Refuses the requests of one gate that can't be read. */
import {UnreadableRequests} from '@nutmeggauge/core';
import type {ForwardContext} from '../forward/context.js';

/**
 * Creates the refusals, each with a log line and a counter.
 *
 * @example
 * createUnreadableRequests(context).observe(server);
 */
export function createUnreadableRequests({
  counters,
  log,
}: ForwardContext): UnreadableRequests {
  return new UnreadableRequests({
    renderBody: reason => ({error: {reason}}),
    record: ({status, reason, code}) => {
      counters.add(`ingress.${reason}`);
      log.warn('request_refused', {status, reason, code});
    },
  });
}
