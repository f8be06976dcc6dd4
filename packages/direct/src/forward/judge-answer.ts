/** Classifies the head of a target's answer. */
import type {HeaderDialect} from '../ports.js';
import type {AnswerFacts} from '../types.js';
import type {ResponseHead} from './exchange.js';

/** Verdict on a head. */
export type HeadVerdict =
  /** The target's own answer. */
  | 'answer'
  /** The target's own answer, and a failure. */
  | 'target-failure'
  /** The request has not run there and never will. */
  | 'not-run'
  /** Not an answer to this request, which may have run. */
  | 'foreign';

/**
 * Classifies a head. An answer with another request's id belongs to that one; a
 * success without a signature, or with an encoded body, is not the target's.
 *
 * @example
 * judgeHead(head, dialect.parseAnswer(head.message.headers), '9c41');
 */
export function judgeHead(
  head: ResponseHead,
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
 * Parses and classifies a head.
 *
 * @example
 * const {verdict, facts} = readVerdict(head, dialect, requestId);
 */
export function readVerdict(
  head: ResponseHead,
  dialect: HeaderDialect,
  requestId: string | undefined,
): {readonly verdict: HeadVerdict; readonly facts: AnswerFacts} {
  const facts = dialect.parseAnswer(head.message.headers);
  return {verdict: judgeHead(head, facts, requestId), facts};
}
