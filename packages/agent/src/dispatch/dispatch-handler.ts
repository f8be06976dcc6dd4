/**
 * Handles dispatched requests: refuses them, answers them from the ledger, or
 * runs them at the target once their lane has a slot. The handler holds no
 * sockets, so that tests can produce any order of events.
 */
import {
  countTokens,
  createClassCounts,
  findLengthClass,
} from '@nutmeggauge/core';
import {LEDGER_FULL} from '../ledger/ledger.js';
import {DuplicateRequests} from './duplicate-requests.js';
import type {
  Counters,
  DispatchOutcome,
  DispatchRequest,
} from '@nutmeggauge/core';
import type {CrashGuard} from '../crashes/crash-guard.js';
import type {Lane, Lanes} from '../lanes/lanes.js';
import type {Ledger} from '../ledger/ledger.js';
import type {KeyOwnership} from '../ledger/ownership.js';
import type {ChunkReceiver} from './chunk-receiver.js';
import type {TargetClient} from '../target/target.js';

/** Components and callbacks of the dispatch handler. */
export interface DispatchHandlerOptions {
  readonly target: TargetClient;
  readonly lanes: Lanes;
  readonly ledger: Ledger;
  readonly ownership: KeyOwnership;
  readonly crashGuard: CrashGuard;
  readonly counters: Counters;
  /** Longest prompt that runs in the short lane, in tokens. */
  readonly shortMaxTokens: number;
  /**
   * Returns the version of this agent's configuration record, or undefined when
   * the agent has none.
   */
  readonly readRecordVersion: () => number | undefined;
  /**
   * Called when a request is added, produces its first token or ends, as each
   * changes the load considerably.
   */
  readonly onLoadChange: () => void;
}

/** Queued and pending work of one agent, as sent in its load report. */
export interface WorkStats {
  readonly queued: number;
  readonly inFlight: number;
  readonly pendingByClass: readonly number[];
  readonly pendingDecodeTokens: number;
}

interface ActiveRequest {
  readonly controller: AbortController;
  readonly kind: DispatchRequest['kind'];
  readonly owner: object;
  readonly request: DispatchRequest;
  readonly promptTokens: number;
  readonly maxTokens: number;
  started: boolean;
  producedTokens: number;
  /** Time of the first token, in epoch ms; absent before. */
  firstTokenAt: number | undefined;
}

const createNotRun = (
  reason: string,
  retryAfterMs?: number,
): DispatchOutcome => ({
  status: 'not-run',
  reason,
  retryAfterMs,
});

/**
 * Handler of the requests that gates dispatch to one agent.
 *
 * @example
 * const outcome = await handler.dispatch(request, link, notice => link.notify('chunk', notice));
 */
export class DispatchHandler {
  private readonly active = new Map<string, ActiveRequest>();
  private readonly duplicates: DuplicateRequests;
  private draining = false;

  constructor(private readonly options: DispatchHandlerOptions) {
    this.duplicates = new DuplicateRequests(options.ledger, options.counters);
    options.crashGuard.onRefusal(isRefused => this.cancelRefused(isRefused));
  }

  /** Whether `drain` has been called. */
  get isDraining(): boolean {
    return this.draining;
  }

  /** Number of requests that are queued or in flight at the target. */
  get size(): number {
    return this.active.size;
  }

  /** Makes the handler refuse every new request as "not run". */
  drain(): void {
    this.draining = true;
  }

  /**
   * Runs or refuses one request; never throws.
   *
   * @param owner - Link that the request arrived on; `cancelOwned` cancels the
   * requests of a closed link.
   */
  async dispatch(
    request: DispatchRequest,
    owner: object,
    receive: ChunkReceiver,
  ): Promise<DispatchOutcome> {
    const outcome = await this.admit(request, owner, receive);
    this.options.counters.add(`agent.outcome.${outcome.status}`);
    return outcome;
  }

  /**
   * Cancels one request. A plain service call that has started runs on, because
   * an abort would not undo the call, and a caller's retry needs its outcome.
   */
  cancel(requestId: string): void {
    const request = this.active.get(requestId);
    if (request === undefined) return;
    if (request.kind === 'call' && request.started) return;
    this.options.counters.add('agent.cancelled');
    request.controller.abort();
  }

  /** Cancels one request unless it has been passed to the target. */
  cancelQueued(requestId: string): void {
    if (this.active.get(requestId)?.started === false) this.cancel(requestId);
  }

  /** Cancels all requests that have not been passed to the target. */
  cancelAllQueued(): void {
    for (const requestId of this.active.keys()) this.cancelQueued(requestId);
  }

  /**
   * Cancels the requests that arrived on a closed link, because their answers
   * can no longer be delivered.
   */
  cancelOwned(owner: object): void {
    for (const [requestId, request] of this.active) {
      if (request.owner === owner) this.cancel(requestId);
    }
  }

  /**
   * Cancels prompts that may still crash the target. Calls that have started run
   * on, as their callers need the outcome.
   */
  private cancelRefused(
    isRefused: (request: DispatchRequest) => boolean,
  ): void {
    for (const [requestId, {request, producedTokens}] of this.active)
      if (producedTokens === 0 && isRefused(request)) this.cancel(requestId);
  }

  /** Returns the queued and pending work for the load report. */
  readWorkStats(): WorkStats {
    const lanes = this.options.lanes.readStats();
    const pendingByClass = createClassCounts();
    let pendingDecodeTokens = 0;
    for (const request of this.active.values()) {
      if (request.producedTokens === 0) {
        pendingByClass[findLengthClass(request.promptTokens)] +=
          request.promptTokens;
      }
      pendingDecodeTokens += Math.max(
        0,
        request.maxTokens - request.producedTokens,
      );
    }
    return {
      queued: lanes.queued,
      inFlight: lanes.inFlight,
      pendingByClass,
      pendingDecodeTokens,
    };
  }

  private async admit(
    request: DispatchRequest,
    owner: object,
    receive: ChunkReceiver,
  ): Promise<DispatchOutcome> {
    const {counters, ledger} = this.options;
    counters.add('agent.dispatched');
    const key = request.notRepeatable ? request.ledgerKey : undefined;
    const held = key === undefined ? undefined : ledger.find(key);
    if (key !== undefined && held !== undefined)
      return this.duplicates.serve(key, held, request, receive);
    if (this.draining) return createNotRun('draining', 100);
    if (Date.now() >= request.deadlineAt)
      return createNotRun('deadline_passed');
    if (key === undefined) return this.runInLane(request, owner, receive);
    if (request.keyed) {
      const refusal = this.checkOwnership(key, request);
      if (refusal !== undefined) return refusal;
    }
    // There must be no await between the ledger lookup and the claim, or two
    // duplicates could both find the key free.
    const claim = ledger.claim(key, request.requestId);
    if (claim === LEDGER_FULL) {
      counters.add('agent.ledger_full');
      return createNotRun('ledger_full', 5000);
    }
    if (claim !== undefined)
      return this.duplicates.serve(key, claim, request, receive);
    const running = this.runClaimed(key, request, owner, receive);
    return this.duplicates.add(key, running);
  }

  private async runClaimed(
    key: string,
    request: DispatchRequest,
    owner: object,
    receive: ChunkReceiver,
  ): Promise<DispatchOutcome> {
    const chunkTexts: string[] = [];
    let outcome: DispatchOutcome;
    try {
      outcome = await this.runInLane(request, owner, notice => {
        chunkTexts.push(notice.text);
        receive(notice);
      });
    } catch {
      // After an error the request may have run. Duplicates wait for the
      // returned promise, so it must not reject.
      outcome = {status: 'unknown', reason: 'agent_failed'};
    }
    if (outcome.status === 'not-run') this.options.ledger.release(key);
    else this.options.ledger.settle(key, outcome, chunkTexts);
    return outcome;
  }

  /**
   * Checks that this target is the home of `key` and that the ledger is
   * complete for it, which prevents runs of one key at two targets. Returns the
   * refusal when the agent's record is older than the gate's or the check
   * fails.
   */
  private checkOwnership(
    key: string,
    request: DispatchRequest,
  ): DispatchOutcome | undefined {
    const version = this.options.readRecordVersion();
    if (version !== undefined && request.recordVersion > version)
      return createNotRun('agent_config_behind', 500);
    const verdict = this.options.ownership.checkKey(
      request.pool,
      key,
      request.keyMintedAt,
      Date.now(),
    );
    if (verdict === 'owned') return undefined;
    this.options.counters.add(`agent.key_${verdict}`);
    if (verdict === 'not-home') return createNotRun('not_home', 1000);
    return {status: 'unknown', reason: 'ledger_has_no_record'};
  }

  private async runInLane(
    request: DispatchRequest,
    owner: object,
    receive: ChunkReceiver,
  ): Promise<DispatchOutcome> {
    const {lanes, shortMaxTokens, target, crashGuard} = this.options;
    const promptTokens = countTokens(request.prompt ?? '');
    const lane: Lane = promptTokens <= shortMaxTokens ? 'short' : 'long';
    const active: ActiveRequest = {
      controller: new AbortController(),
      kind: request.kind,
      owner,
      request,
      promptTokens,
      maxTokens: request.maxTokens ?? 0,
      started: false,
      producedTokens: 0,
      firstTokenAt: undefined,
    };
    this.active.set(request.requestId, active);
    this.options.onLoadChange();
    // A suspended or disconnected gate sends no cancel at the deadline, so the
    // agent cancels the request itself.
    const deadlineTimer = setTimeout(
      () => this.cancel(request.requestId),
      Math.max(0, request.deadlineAt - Date.now()),
    );
    const {signal} = active.controller;
    try {
      const refusal = await lanes.enter(lane, request.deadlineAt, signal);
      if (refusal !== undefined) return createNotRun(refusal);
      active.started = true;
      try {
        const leftMs = crashGuard.readRefusalLeftMs(request);
        if (leftMs > 0) return createNotRun('crashes_servers', leftMs);
        const sentAt = Date.now();
        const outcome = await target.run(
          request,
          (seq, text) => {
            active.firstTokenAt ??= Date.now();
            if (active.producedTokens++ === 0) {
              this.options.onLoadChange();
              crashGuard.recordBegin(request);
            }
            receive({requestId: request.requestId, seq, text});
          },
          signal,
        );
        const {firstTokenAt} = active;
        const isCancelled = signal.aborted;
        await crashGuard.recordOutcome(
          {request, sentAt, firstTokenAt, isCancelled},
          outcome,
        );
        return outcome;
      } finally {
        lanes.leave(lane);
      }
    } finally {
      clearTimeout(deadlineTimer);
      this.active.delete(request.requestId);
      this.options.onLoadChange();
    }
  }
}
