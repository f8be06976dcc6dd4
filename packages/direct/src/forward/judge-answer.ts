/** Classifies the heads of targets' responses. */
import type {HeaderDialect} from '../ports.js';
import type {ForwardContext} from './context.js';
import type {AnswerMetadata, Target} from '../types.js';
import type {ResponseHead} from './exchange.js';

/** Status of a server that got a request for another server. */
const MISDIRECTED_STATUS = 421;

/** Classification of a response head. */
export type HeadVerdict =
  /** Response of the target to this request. */
  | 'answer'
  /** Response of the target to this request, with a server error status. */
  | 'target-failure'
  /** The target has not run the request and never will. */
  | 'not-run'
  /** Not a response of the target to this request, which may have run. */
  | 'foreign';

/**
 * Classifies a response head. A response with the id of another request is
 * foreign, and so are a success response without a signature or request id and
 * a response with an encoded body.
 *
 * @example
 * judgeHead(head, dialect.parseAnswer(head.message.headers), '9c41');
 */
export function judgeHead(
  head: ResponseHead,
  facts: AnswerMetadata,
  requestId: string | undefined,
): HeadVerdict {
  const {status, message} = head;
  if (facts.requestId !== undefined && facts.requestId !== requestId)
    return 'foreign';
  if (facts.isNotRun || status === MISDIRECTED_STATUS) return 'not-run';
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && (!facts.isSigned || facts.requestId === undefined))
    return 'foreign';
  if (message.headers['content-encoding'] !== undefined) return 'foreign';
  return status >= 500 ? 'target-failure' : 'answer';
}

/**
 * Parses and classifies a response head.
 *
 * @example
 * const {verdict, facts} = readVerdict(head, dialect, requestId);
 */
export function readVerdict(
  head: ResponseHead,
  dialect: HeaderDialect,
  requestId: string | undefined,
): {readonly verdict: HeadVerdict; readonly facts: AnswerMetadata} {
  const facts = dialect.parseAnswer(head.message.headers);
  return {verdict: judgeHead(head, facts, requestId), facts};
}

/**
 * Records what an answer of a target tells apart from its outcome.
 *
 * @example
 * recordAnswerFacts(context, target, head, facts);
 */
export function recordAnswerFacts(
  {limits, rests, access, state, counters, unknownFields}: ForwardContext,
  target: Target,
  {status}: ResponseHead,
  facts: AnswerMetadata,
): void {
  const {id} = target;
  limits.recordAnswer(id, facts.requestsPerSecond);
  unknownFields.record(id, facts.unknownFields);
  // It comes from another server that has taken over the address.
  if (status === MISDIRECTED_STATUS) return;
  rests.recordAnswer(id, status, facts.restMs);
  access.recordCold(target, facts.coldLeftMs);
  if (facts.isLeaving === true) state.recordLeaving(id, 'answer');
  if (facts.isLeaving === 'malformed') counters.add('leaving.malformed');
}
