/** Ends one stream: with a complete answer, a refusal or an error. */
import {chooseOtherGateRetryMs, chooseRetryAfterMs} from './retry-after.js';
import type {Target} from '../types.js';
import type {ForwardContext} from './context.js';
import type {GateRequest} from './request.js';
import type {StreamChains} from './stream-chains.js';
import type {StreamProgress} from './stream-progress.js';
import type {StreamEnd, StreamRecord} from './stream-record.js';

const NONE_TRIED: ReadonlySet<string> = new Set();

/** Reason for which the gate refuses a stream. */
export type RefusalReason = 'no_target' | 'not_run' | 'too_late' | 'overloaded';

/** Dependencies of {@link StreamEnding}. */
export interface StreamEndingOptions {
  readonly context: ForwardContext;
  readonly request: GateRequest;
  readonly progress: StreamProgress;
  readonly record: StreamRecord;
  readonly chains: StreamChains;
  /** Ids of the engines that later attempts avoid. */
  readonly tried: ReadonlySet<string>;
  /** Counts the attempts and choices so far. */
  readonly countWork: () => Pick<StreamEnd, 'sends' | 'choices'>;
}

/**
 * The end of one stream; only the first one counts.
 *
 * @example
 * ending.start();
 * ending.refuse('overloaded', 1200);
 */
export class StreamEnding {
  /** Whether an engine may have run the request. */
  mayHaveRun = false;
  private isSettled = false;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private stopListening: (() => void) | undefined;

  constructor(private readonly options: StreamEndingOptions) {}

  /** Whether the stream has ended. */
  get isOver(): boolean {
    return this.isSettled;
  }

  /**
   * Ends the stream at its deadline, when its caller leaves, and when its content
   * is refused from then on.
   */
  start(): void {
    const {request, context} = this.options;
    this.deadlineTimer = setTimeout(
      () => this.endWithError(504, 'timeout'),
      request.expiresAt - context.readNow(),
    );
    this.stopListening = context.suspects.onRefusal(isRefused => {
      if (isRefused(request.fingerprint)) this.refuseSuspect();
    });
    request.caller.onDisconnect(() => this.settle('caller_left'));
  }

  /**
   * Refuses the stream.
   *
   * @param queueMs - Expected time until an engine has a free slot, in ms.
   */
  refuse(reason: RefusalReason, queueMs: number): void {
    const {context, request} = this.options;
    // A refusal with 503 is allowed only for a request that has not run.
    if (this.hasOutcome) return this.endWithError(502, 'outcome_unknown');
    // No engine takes a request before that, whichever this stream has tried.
    const waitMs = context.prompts.readWaitMs(
      request.service,
      NONE_TRIED,
      request.allowedZones,
    );
    const leftMs = request.expiresAt - context.readNow();
    const retryDelayMs = chooseRetryAfterMs(Math.max(queueMs, waitMs), leftMs);
    request.caller.refuse(503, reason, retryDelayMs);
    this.settle(reason);
  }

  /**
   * Refuses a stream whose content is refused from now on, and cancels its
   * attempts, unless an engine is streaming it already.
   */
  refuseSuspect(): void {
    const {context, request, record, chains, tried} = this.options;
    const {attempts} = chains;
    if (this.isSettled || attempts.some(({isStreaming}) => isStreaming)) return;
    record.addGivenUp('crashes_servers', [...tried]);
    this.mayHaveRun ||= attempts.some(({wasSent}) => wasSent);
    if (this.hasOutcome) return this.endWithError(502, 'outcome_unknown');
    const leftMs = context.suspects.readRefusalLeftMs(request.fingerprint);
    request.caller.refuse(503, 'crashes_servers', leftMs);
    this.settle('crashes_servers');
  }

  /**
   * Refuses a stream that no engine has, so that another gate serves it; returns
   * false if one may have it.
   */
  handBack(): boolean {
    const {request, chains} = this.options;
    if (this.isSettled || this.hasOutcome) return false;
    if (chains.attempts.some(({wasSent}) => wasSent)) return false;
    // Nothing may be sent after the refusal.
    chains.closeAll();
    request.caller.refuse(503, 'stopping', chooseOtherGateRetryMs());
    this.settle('stopping');
    return true;
  }

  /** Ends the stream with an error, or breaks it off if it has begun. */
  endWithError(status: number, reason: 'timeout' | 'outcome_unknown'): void {
    if (this.isSettled) return;
    this.options.request.caller.refuse(status, reason);
    this.settle(reason);
  }

  /** Records the outcome, and ends what still runs for the stream. */
  settle(outcome: string, target?: Target): void {
    if (this.isSettled) return;
    const {chains, record, tried, countWork} = this.options;
    this.isSettled = true;
    clearTimeout(this.deadlineTimer);
    this.stopListening?.();
    chains.closeAll();
    record.addEnd({outcome, target, tried: [...tried], ...countWork()});
  }

  private get hasOutcome(): boolean {
    return this.options.progress.hasHead || this.mayHaveRun;
  }
}
