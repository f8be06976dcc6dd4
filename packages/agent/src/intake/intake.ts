/**
 * What the agent does with a dispatch: refuse it, answer it from the ledger,
 * or run it at the target in its lane. Holds no sockets, so that tests can
 * drive it through any order of events.
 */
import {
  countTokens,
  createClassCounts,
  findLengthClass,
} from '@nutmeggauge/core';
import {LEDGER_FULL} from '../ledger/ledger.js';
import {Copies} from './copies.js';
import type {
  Counters,
  DispatchOutcome,
  DispatchRequest,
} from '@nutmeggauge/core';
import type {Lane, Lanes} from '../lanes/lanes.js';
import type {Ledger} from '../ledger/ledger.js';
import type {KeyOwnership} from '../ledger/ownership.js';
import type {ChunkReceiver} from './chunk-receiver.js';
import type {TargetClient} from '../target/target.js';

/** Parts that an intake works with. */
export interface IntakeOptions {
  readonly target: TargetClient;
  readonly lanes: Lanes;
  readonly ledger: Ledger;
  readonly ownership: KeyOwnership;
  readonly counters: Counters;
  /** Prompts up to this many tokens run in the short lane. */
  readonly shortMaxTokens: number;
  /** Version of the record this agent holds; undefined when it reads none. */
  readonly readRecordVersion: () => number | undefined;
  /** Called when the work figures have changed much. */
  readonly onWorkChange: () => void;
}

/** Work of one agent, as its load report gives it. */
export interface WorkFigures {
  readonly queued: number;
  readonly inFlight: number;
  readonly pendingByClass: readonly number[];
  readonly pendingDecodeTokens: number;
}

interface ActiveRequest {
  readonly controller: AbortController;
  readonly kind: DispatchRequest['kind'];
  readonly owner: object;
  readonly promptTokens: number;
  readonly maxTokens: number;
  started: boolean;
  produced: number;
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
 * The intake of one agent.
 *
 * @example
 * const outcome = await intake.dispatch(request, link, notice => link.notify('chunk', notice));
 */
export class Intake {
  private readonly active = new Map<string, ActiveRequest>();
  private readonly copies: Copies;
  private draining = false;

  constructor(private readonly options: IntakeOptions) {
    this.copies = new Copies(options.ledger, options.counters);
  }

  /** True once `drain` was called. */
  get isDraining(): boolean {
    return this.draining;
  }

  /** Requests queued or at the target. */
  get size(): number {
    return this.active.size;
  }

  /** Refuses every new request from now on as "not run". */
  drain(): void {
    this.draining = true;
  }

  /**
   * Runs or refuses one request; never throws.
   *
   * @param owner - The link it came over; `cancelOwned` ends its streams.
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
   * Stops one request. A plain call that has started runs on: aborting it
   * would not undo it, and its outcome answers the caller's retry.
   */
  cancel(requestId: string): void {
    const request = this.active.get(requestId);
    if (request === undefined) return;
    if (request.kind === 'call' && request.started) return;
    this.options.counters.add('agent.cancelled');
    request.controller.abort();
  }

  /**
   * Stops the requests of a gate that is gone, as it cannot deliver their
   * answers.
   */
  cancelOwned(owner: object): void {
    for (const [requestId, request] of this.active) {
      if (request.owner === owner) this.cancel(requestId);
    }
  }

  /** Figures for the load report. */
  readWork(): WorkFigures {
    const lanes = this.options.lanes.read();
    const pendingByClass = createClassCounts();
    let pendingDecodeTokens = 0;
    for (const request of this.active.values()) {
      if (request.produced === 0) {
        pendingByClass[findLengthClass(request.promptTokens)] +=
          request.promptTokens;
      }
      pendingDecodeTokens += Math.max(0, request.maxTokens - request.produced);
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
      return this.copies.serve(key, held, request, receive);
    if (this.draining) return createNotRun('draining', 100);
    if (Date.now() >= request.deadlineAt)
      return createNotRun('deadline_passed');
    if (key === undefined) return this.runInLane(request, owner, receive);
    if (request.keyed) {
      const refusal = this.checkOwnership(key, request);
      if (refusal !== undefined) return refusal;
    }
    // No await between the look-up above and the claim: two copies could both
    // find the key free.
    const claim = ledger.claim(key, request.requestId);
    if (claim === LEDGER_FULL) {
      counters.add('agent.ledger_full');
      return createNotRun('ledger_full', 5000);
    }
    if (claim !== undefined)
      return this.copies.serve(key, claim, request, receive);
    const running = this.runClaimed(key, request, owner, receive);
    return this.copies.add(key, running);
  }

  private async runClaimed(
    key: string,
    request: DispatchRequest,
    owner: object,
    receive: ChunkReceiver,
  ): Promise<DispatchOutcome> {
    const pieces: string[] = [];
    let outcome: DispatchOutcome;
    try {
      outcome = await this.runInLane(request, owner, notice => {
        pieces.push(notice.text);
        receive(notice);
      });
    } catch {
      // An error here leaves open whether it ran. Copies wait for this promise,
      // so it must not reject.
      outcome = {status: 'unknown', reason: 'agent_failed'};
    }
    if (outcome.status === 'not-run') this.options.ledger.release(key);
    else this.options.ledger.settle(key, outcome, pieces);
    return outcome;
  }

  /**
   * Prevents a key from running at two homes: this agent may lack a change of
   * the pool, or the history of the key.
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
    const {lanes, shortMaxTokens, target} = this.options;
    const promptTokens = countTokens(request.prompt ?? '');
    const lane: Lane = promptTokens <= shortMaxTokens ? 'short' : 'long';
    const active: ActiveRequest = {
      controller: new AbortController(),
      kind: request.kind,
      owner,
      promptTokens,
      maxTokens: request.maxTokens ?? 0,
      started: false,
      produced: 0,
    };
    this.active.set(request.requestId, active);
    this.options.onWorkChange();
    // A gate that is frozen or cut off sends no cancel at the deadline.
    const expiry = setTimeout(
      () => this.cancel(request.requestId),
      Math.max(0, request.deadlineAt - Date.now()),
    );
    const {signal} = active.controller;
    try {
      const refusal = await lanes.enter(lane, request.deadlineAt, signal);
      if (refusal !== undefined) return createNotRun(refusal);
      active.started = true;
      try {
        return await target.run(
          request,
          (seq, text) => {
            if (active.produced++ === 0) this.options.onWorkChange();
            receive({requestId: request.requestId, seq, text});
          },
          signal,
        );
      } finally {
        lanes.leave(lane);
      }
    } finally {
      clearTimeout(expiry);
      this.active.delete(request.requestId);
      this.options.onWorkChange();
    }
  }
}
