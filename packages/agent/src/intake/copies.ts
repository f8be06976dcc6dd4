/**
 * Answers to copies of a request that its agent has taken on: the outcome of the
 * first run, waited for while time remains.
 */
import type {
  Counters,
  DispatchOutcome,
  DispatchRequest,
} from '@nutmeggauge/core';
import type {Ledger, LedgerEntry} from '../ledger/ledger.js';
import type {ChunkReceiver} from './chunk-receiver.js';

/**
 * Copies of requests at one agent.
 *
 * @example
 * const copies = new Copies(ledger, counters);
 * copies.add('a:k1', running);
 * await copies.serve('a:k1', held, request, receive);
 */
export class Copies {
  /** Outcomes on their way, by ledger key. */
  private readonly pending = new Map<string, Promise<DispatchOutcome>>();

  constructor(
    private readonly ledger: Ledger,
    private readonly counters: Counters,
  ) {}

  /**
   * Lets copies wait for a first run.
   *
   * @param running - Never rejects.
   */
  add(
    key: string,
    running: Promise<DispatchOutcome>,
  ): Promise<DispatchOutcome> {
    this.pending.set(key, running);
    return running.finally(() => this.pending.delete(key));
  }

  /** Answers a copy with the outcome of the first run. */
  async serve(
    key: string,
    held: LedgerEntry,
    request: DispatchRequest,
    receive: ChunkReceiver,
  ): Promise<DispatchOutcome> {
    this.counters.add('agent.ledger_hits');
    if (held.state === 'settled') return replay(held, request, receive);
    const outcome = await this.waitForFirst(key, request.deadlineAt);
    if (outcome === undefined)
      return {status: 'unknown', reason: 'duplicate_in_progress'};
    const settled = this.ledger.find(key);
    if (settled?.state === 'settled') return replay(settled, request, receive);
    return outcome;
  }

  private waitForFirst(
    key: string,
    deadlineAt: number,
  ): Promise<DispatchOutcome | undefined> {
    const first = this.pending.get(key);
    if (first === undefined) return Promise.resolve(undefined);
    return new Promise(resolve => {
      const timer = setTimeout(
        () => resolve(undefined),
        Math.max(0, deadlineAt - Date.now()),
      );
      void first.then(outcome => {
        clearTimeout(timer);
        resolve(outcome);
      });
    });
  }
}

function replay(
  entry: Extract<LedgerEntry, {state: 'settled'}>,
  request: DispatchRequest,
  receive: ChunkReceiver,
): DispatchOutcome {
  if (entry.outcome.status !== 'done') return entry.outcome;
  // "done" without the text would look like an empty answer.
  if (entry.pieces === undefined)
    return {status: 'unknown', reason: 'ran_answer_not_kept'};
  entry.pieces.forEach((text, seq) =>
    receive({requestId: request.requestId, seq, text}),
  );
  return entry.outcome;
}
