/** Sends a prompt to its decoding engine, after its helpers have reserved memory. */
import {ExchangeError} from '../errors.js';
import {openKvLease} from './kv-lease.js';
import {RequestSendCheck} from './request-send-check.js';
import type {PlacedPrompt} from '../placement/placed-prompt.js';
import type {ForwardContext} from './context.js';
import type {Exchange} from './exchange.js';
import type {KvLease, LivenessCheck} from './kv-lease.js';
import type {GateRequest} from './request.js';

/** Period within which bytes of an engine show that it is alive, in ms. */
const ACTIVITY_WINDOW_MS = 400;

/** Prompt that has engines. */
export interface SendablePrompt {
  readonly context: ForwardContext;
  readonly request: GateRequest;
  readonly placed: PlacedPrompt;
}

/**
 * Reserves KV cache on the helpers of a prompt, if the prompt may still be sent to
 * all of its engines.
 *
 * @param name - Unique name of the attempt, used as the ticket.
 * @returns Undefined if no helper reserves any, `refused` if one has too little.
 * @throws ExchangeError if the prompt may not be sent any more.
 * @example
 * const lease = await openHelperLease({context, request, placed}, 'q1-1-0');
 */
export async function openHelperLease(
  {context, request, placed}: SendablePrompt,
  name: string,
): Promise<KvLease | undefined | 'refused'> {
  const {reservations} = placed.choice;
  if (reservations.length === 0) return undefined;
  const {target, helpers} = placed;
  const sendCheck = new RequestSendCheck(context, request, target, helpers);
  if (!sendCheck.isCurrent()) throw new ExchangeError('withheld', false);
  const kvRequests = reservations.flatMap(({target, tokens}) => {
    const helper = placed.helpers.find(({id}) => id === target);
    return helper === undefined ? [] : [{target: helper, tokens}];
  });
  const lease = await openKvLease(
    context.reservations,
    name,
    kvRequests,
    createLivenessCheck(context, placed),
  );
  return lease ?? 'refused';
}

function createLivenessCheck(
  {health, readNow, reports}: ForwardContext,
  {target}: PlacedPrompt,
): LivenessCheck {
  return {
    isActive: () =>
      health.isActiveSince(target.id, readNow() - ACTIVITY_WINDOW_MS),
    ask: async () => (await reports.read(target)) !== undefined,
  };
}

/**
 * Sends a prompt to its decoding engine.
 *
 * @param lastEventId - Id of the last event that the caller has received.
 * @param lease - Reservations on its helpers.
 * @example
 * const exchange = sendPrompt({context, request, placed}, undefined, lease);
 */
export function sendPrompt(
  {context, request, placed}: SendablePrompt,
  lastEventId: string | undefined,
  lease: KvLease | undefined,
): Exchange {
  const tokens = request.facts.promptTokens ?? 0;
  return context.exchanges.open({
    target: placed.target,
    method: request.method,
    path: request.path,
    buildHeaders: () =>
      context.dialect.buildForTarget(request.headers, {
        deadlineLeftMs: request.expiresAt - context.readNow(),
        target: placed.target,
        account: request.account,
        priority: context.urgencies.choosePriority(request, tokens),
        helpers: placed.helpers.map(target => ({
          target,
          ticket: lease?.findTicket(target.id),
        })),
        lastEventId,
      }),
    body: request.body,
    sendCheck: new RequestSendCheck(
      context,
      request,
      placed.target,
      placed.helpers,
    ),
  });
}
