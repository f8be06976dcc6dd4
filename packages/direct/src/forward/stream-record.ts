/** Writes the log events and counters of streams. */
import {estimateEngineTimeMs} from '../accounts/engine-time.js';
import type {ExchangeFault} from '../errors.js';
import type {PlacedPrompt} from '../placement/placed-prompt.js';
import type {Target} from '../types.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';
import type {StreamProgress} from './stream-progress.js';

/** Reason for which an attempt failed, as logged. */
export type AttemptFault =
  | ExchangeFault
  | 'no-memory'
  | 'not-run'
  /** Another attempt claimed the response first. */
  | 'overtaken';

/** Attempt that failed. */
export interface FailedAttempt {
  readonly placed: PlacedPrompt;
  readonly fault: AttemptFault;
  readonly faultyAddress: string | undefined;
  /** Number of the newest attempt, starting from 1. */
  readonly attempt: number;
}

/** Outcome of a stream. */
export interface StreamEnd {
  readonly outcome: string;
  readonly target: Target | undefined;
  readonly tried: readonly string[];
  readonly sends: number;
  /** Number of times that engines were chosen. */
  readonly choices: number;
}

/**
 * Writes the log events and counters of one stream.
 *
 * @example
 * record.addPlacement(placed, 1);
 */
export class StreamRecord {
  constructor(
    private readonly context: ForwardContext,
    private readonly request: GateRequest,
    private readonly progress: StreamProgress,
  ) {}

  /** Records that an attempt was placed and is about to be sent. */
  addPlacement({choice}: PlacedPrompt, attempt: number): void {
    const {context, request} = this;
    this.progress.recordChoice(choice);
    this.recordUsage();
    context.counters.add('stream.placed');
    context.counters.add('stream.prefill_engines', choice.shards.length);
    context.log.info('stream_placed', {
      requestId: request.facts.requestId,
      attempt,
      tokens: request.facts.promptTokens,
      decoder: choice.decoder,
      helpers: choice.shards.slice(1).map(shard => shard.target),
      shardMs: Math.round(choice.shards[0].prefillMs),
      backlogMs: Math.round(choice.backlogMs),
      predictedTtftMs: Math.round(choice.predictedTtftMs),
      kvTokens: choice.kvTokens,
      reservations: choice.reservations.length,
      cost: Number(choice.cost.toFixed(3)),
      factsAgeMs: Math.round(context.readFactsAgeMs()),
    });
  }

  /** Charges the account for the engine time that the attempt takes. */
  private recordUsage(): void {
    const {state, usage} = this.context;
    const {service, account, facts} = this.request;
    const engine = state.findService(service)?.engine;
    if (engine === undefined) return;
    const {promptTokens = 0, maxOutputTokens = 0} = facts;
    usage.recordPlacement(
      account,
      estimateEngineTimeMs(promptTokens, maxOutputTokens, engine),
    );
  }

  /** Records that an engine has stalled and a backup is started. */
  addStall({target}: PlacedPrompt): void {
    const {context, request} = this;
    context.counters.add('stream.engine_silent');
    context.log.info('engine_silent', {
      requestId: request.facts.requestId,
      target: target.id,
      events: this.progress.eventsSent,
      ms: this.readElapsedMs(),
    });
  }

  /** Records that an event waits for the engine of another attempt. */
  addHold({target}: PlacedPrompt, pauseMs: number, holdMs: number): void {
    const {context, request} = this;
    context.counters.add('stream.event_held');
    context.log.info('event_held', {
      requestId: request.facts.requestId,
      target: target.id,
      pauseMs: Math.round(pauseMs),
      holdMs: Math.round(holdMs),
      events: this.progress.eventsSent,
      ms: this.readElapsedMs(),
    });
  }

  /** Records that an attempt has failed. */
  addFailure({placed, fault, faultyAddress, attempt}: FailedAttempt): void {
    const {context, request} = this;
    context.counters.add(`stream.attempt_${fault}`);
    context.log.warn('attempt_failed', {
      requestId: request.facts.requestId,
      target: placed.target.id,
      helpers: placed.helpers.length,
      faulty: faultyAddress,
      outcome: fault,
      attempt,
      events: this.progress.eventsSent,
      ms: this.readElapsedMs(),
    });
  }

  /** Records that no further attempt is made. */
  addGivenUp(why: string, tried: readonly string[]): void {
    this.context.log.warn('request_given_up', {
      requestId: this.request.facts.requestId,
      why,
      tried,
      events: this.progress.eventsSent,
    });
  }

  /** Records that the caller has a response or has disconnected. */
  addEnd({outcome, target, tried, sends, choices}: StreamEnd): void {
    const {context, request} = this;
    context.counters.add(`stream.${outcome}`);
    context.counters.add('stream.choices', choices);
    const isExpected = outcome === 'answered' || outcome === 'caller_left';
    context.log[isExpected ? 'info' : 'warn']('request_ended', {
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
      sends,
      choices,
      tokens: request.facts.promptTokens,
      ...this.progress.describe(),
      ms: this.readElapsedMs(),
      configVersion: request.configVersion,
      factsAgeMs: Math.round(context.readFactsAgeMs()),
    });
  }

  private readElapsedMs(): number {
    return Math.round(this.context.readNow() - this.request.arrivedAt);
  }
}
