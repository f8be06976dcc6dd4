/** Writes the log event and counters of streams that are planned over all gates. */
import {PlacedPrompt} from '../placement/placed-prompt.js';
import {NoRoom} from '../placement/prompt-placer.js';
import type {PromptWait} from '../placement/prompt-wait.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';
import type {NoSlotReason} from './no-slot-reason.js';

/** End of the wait of a stream. */
export interface PlannedEnd {
  readonly wait: PromptWait;
  readonly result: PlacedPrompt | NoSlotReason;
  readonly waitedMs: number;
}

function describeOutcome(result: PlacedPrompt | NoSlotReason): string {
  if (result instanceof PlacedPrompt) return 'sent';
  return result instanceof NoRoom ? 'no_room' : result;
}

/**
 * Records how a long prompt was planned, if it had to wait or was refused.
 *
 * @example
 * recordPlannedStream(context, request, {wait, result, waitedMs: 640});
 */
export function recordPlannedStream(
  context: ForwardContext,
  request: GateRequest,
  {wait: {firstPlan}, result, waitedMs}: PlannedEnd,
): void {
  const roomMs = result instanceof NoRoom ? result.roomMs : undefined;
  if (firstPlan === undefined && roomMs === undefined) return;
  const outcome = describeOutcome(result);
  context.counters.add(`stream.planned_${outcome}`);
  context.log.info('stream_planned', {
    requestId: request.facts.requestId,
    tokens: request.facts.promptTokens,
    outcome,
    plannedStartMs: firstPlan && Math.round(firstPlan.startMs),
    plannedEndMs: firstPlan && Math.round(firstPlan.endMs),
    isInTime: firstPlan?.isInTime,
    ahead: firstPlan?.ahead,
    waitedMs: Math.round(waitedMs),
    roomMs: roomMs && Math.round(roomMs),
    factsAgeMs: Math.round(context.readFactsAgeMs()),
  });
}
