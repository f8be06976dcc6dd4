/** Sends a call to a target. */
import {RequestSendCheck} from './request-send-check.js';
import type {Target} from '../types.js';
import type {ForwardContext} from './context.js';
import type {Exchange} from './exchange.js';
import type {GateRequest} from './request.js';

/**
 * Sends a call to a target.
 *
 * @example
 * const exchange = sendCall(context, request, target);
 */
export function sendCall(
  context: ForwardContext,
  request: GateRequest,
  target: Target,
): Exchange {
  return context.exchanges.open({
    target,
    method: request.method,
    path: request.path,
    buildHeaders: () =>
      context.dialect.buildForTarget(request.headers, {
        deadlineLeftMs: request.expiresAt - context.readNow(),
        target,
        account: request.account,
        priority: undefined,
        helpers: [],
        lastEventId: undefined,
      }),
    body: request.body,
    sendCheck: new RequestSendCheck(context, request, target),
  });
}
