/** What the head of a target's answer means for the request. */
import type {HeaderDialect} from '../ports.js';
import type {AnswerFacts} from '../types.js';
import type {AnswerHead} from './exchange.js';

/** Verdict on a head. */
export type HeadVerdict =
  /** The target's own answer to this request. */
  | 'answer'
  /** The target's own answer, and it is a failure that it signed. */
  | 'target-failure'
  /** The request has not run there and never will. */
  | 'not-run'
  /** Bytes that are no answer to this request; it may have run. */
  | 'foreign';

/**
 * Judges a head. An answer with another request's id was late for somebody
 * else; a success without a signature or with an encoded body is not what the
 * target made.
 *
 * @example
 * judgeHead(head, dialect.parseAnswer(head.message.headers), '9c41');
 */
export function judgeHead(
  head: AnswerHead,
  facts: AnswerFacts,
  requestId: string | undefined,
): HeadVerdict {
  const {status, message} = head;
  if (facts.requestId !== undefined && facts.requestId !== requestId)
    return 'foreign';
  if (facts.isNotRun || status === 421) return 'not-run';
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && (!facts.isSigned || facts.requestId === undefined))
    return 'foreign';
  if (message.headers['content-encoding'] !== undefined) return 'foreign';
  return status >= 500 ? 'target-failure' : 'answer';
}

/**
 * Parses and judges a head.
 *
 * @example
 * const {verdict, facts} = readVerdict(head, dialect, requestId);
 */
export function readVerdict(
  head: AnswerHead,
  dialect: HeaderDialect,
  requestId: string | undefined,
): {readonly verdict: HeadVerdict; readonly facts: AnswerFacts} {
  const facts = dialect.parseAnswer(head.message.headers);
  return {verdict: judgeHead(head, facts, requestId), facts};
}
