/** Records answers that pass a bound. */
import {OversizedAnswerError} from '../errors.js';
import type {ExchangeError} from '../errors.js';
import type {Target} from '../types.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';

/**
 * Counts and logs an answer that was cut off at a bound; ignores other errors.
 *
 * @example
 * recordOversized(context, request, target, error);
 */
export function recordOversized(
  {log, counters}: ForwardContext,
  {facts}: GateRequest,
  target: Target,
  error: ExchangeError,
): void {
  if (error.fault === 'no-buffer') counters.add('answer.no_buffer');
  if (!(error instanceof OversizedAnswerError)) return;
  const {bound, limit} = error;
  counters.add(`answer.oversized.${bound}`);
  log.warn('answer_oversized', {
    requestId: facts.requestId,
    target: target.id,
    bound,
    limit,
  });
}
