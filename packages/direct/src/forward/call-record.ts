/** Log lines and counters of one call. */
import {recordOversized} from './record-oversized.js';
import type {Target} from '../types.js';
import type {CallResult} from './call-types.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';

/** Attempt at a call that brought no answer. */
export interface FailedCall {
  readonly target: Target;
  readonly result: CallResult;
  /** Number of the newest attempt, starting from 1. */
  readonly attempt: number;
  readonly why: string;
}

/** Outcome of a call. */
export interface CallEnd {
  readonly outcome: string;
  /** Target whose answer was sent; absent if there was none. */
  readonly target: Target | undefined;
  readonly tried: readonly string[];
}

/**
 * Records what happens to one call.
 *
 * @example
 * new CallRecord(context, request).addEnd({outcome: 'answered', target, tried});
 */
export class CallRecord {
  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
  ) {}

  addFailure({target, result, attempt, why}: FailedCall): void {
    const {context, request} = this;
    context.counters.add(`call.attempt_${result.kind}`);
    context.log.warn('attempt_failed', {
      requestId: request.facts.requestId,
      target: target.id,
      attempt,
      why,
      outcome: result.kind === 'failed' ? result.error.fault : result.kind,
    });
    if (result.kind === 'failed')
      recordOversized(context, request, target, result.error);
  }

  addGivenUp(why: string, tried: readonly string[]): void {
    const {requestId} = this.request.facts;
    this.context.log.warn('request_given_up', {requestId, why, tried});
  }

  addEnd({outcome, target, tried}: CallEnd): void {
    const {context, request} = this;
    const ms = context.readNow() - request.arrivedAt;
    if (outcome === 'answered') context.answerMs.recordMs(ms);
    context.counters.add(`call.${outcome}`);
    context.log[outcome === 'answered' ? 'info' : 'warn']('request_ended', {
      requestId: request.facts.requestId,
      route: request.route.name,
      kind: request.route.kind,
      account: request.account,
      outcome,
      status: request.caller.status,
      framing: request.caller.framing,
      bytes: request.caller.bodyBytes,
      target: target?.id,
      tried,
      ms: Math.round(ms),
      configVersion: request.configVersion,
      factsAgeMs: Math.round(context.readFactsAgeMs()),
    });
  }
}
