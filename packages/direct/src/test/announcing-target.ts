/** Target whose answers say that it leaves or wants rest. */
import {buildSignedHead, formatEvents} from './fake-target.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {FakeTarget} from './fake-target.js';
import type {GateHarness} from './gate-harness.js';

/** How a target answers; a test may change it at any time. */
export interface AnnouncedState {
  /** Value of the field that says that the target leaves; absent to stay. */
  leaving?: string;
  /** Seconds of rest that a refusal asks for; absent to accept requests. */
  rest?: string;
  /** Status of a refusal; 503 if absent. */
  refusalStatus?: number;
  /** True if refusals do not say that the request was not run. */
  isSilentRefusal?: boolean;
}

/** Target with the state that it announces and what it got. */
export interface AnnouncingTarget {
  readonly target: FakeTarget;
  readonly state: AnnouncedState;
  /** Ids of the requests, in order. */
  readonly received: readonly string[];
}

/**
 * Starts a target and waits until the gates know it.
 *
 * @example
 * const target = await addAnnouncingTarget([harness], 't1', 'orders');
 * target.state.leaving = '1';
 */
export async function addAnnouncingTarget(
  gates: readonly GateHarness[],
  id: string,
  service: 'orders' | 'chat',
): Promise<AnnouncingTarget> {
  const state: AnnouncedState = {};
  const [first, ...others] = gates;
  const target = await first.addTarget(id, service, (req, res) =>
    sendAnswer(req, res, state, service),
  );
  for (const {store} of others) store.publishTarget(target.entry);
  for (const harness of gates)
    await harness.waitUntil(
      () => harness.gate['state'].findTarget(id) !== undefined,
    );
  return {target, state, received: target.received};
}

function sendAnswer(
  req: IncomingMessage,
  res: ServerResponse,
  {leaving, rest, refusalStatus = 503, isSilentRefusal}: AnnouncedState,
  service: 'orders' | 'chat',
): void {
  if (leaving !== undefined) res.setHeader('x-test-leaving', leaving);
  if (rest === undefined) {
    res.writeHead(200, buildSignedHead(req));
    res.end(service === 'chat' ? formatEvents(1, 2) : 'whole');
    return;
  }
  res.setHeader('x-test-id', String(req.headers['x-test-id']));
  res.setHeader('x-test-rest', rest);
  if (!isSilentRefusal) res.setHeader('x-test-not-run', '1');
  res.writeHead(refusalStatus);
  res.end();
}
