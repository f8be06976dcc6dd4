/**
 * Answers duplicates of a request with the outcome of its first run at this
 * agent, and waits for that outcome until the duplicate's deadline.
 */
import type {
  Counters,
  DispatchOutcome,
  DispatchRequest,
} from '@nutmeggauge/core';
import type {Ledger, LedgerEntry} from '../ledger/ledger.js';
import type {ChunkReceiver} from './chunk-receiver.js';

/**
 * Answers the duplicate requests at one agent and tracks the first runs that
 * duplicates wait for.
 *
 * @example
 * const duplicates = new DuplicateRequests(ledger, counters);
 * duplicates.add('a:k1', running);
 * await duplicates.serve('a:k1', held, request, receive);
 */
export class DuplicateRequests {
  /** Outcomes of runs in progress, by ledger key. */
  private readonly pendingOutcomes = new Map<
    string,
    Promise<DispatchOutcome>
  >();

  constructor(
    private readonly ledger: Ledger,
    private readonly counters: Counters,
  ) {}

  /**
   * Adds a first run whose outcome duplicates can wait for.
   *
   * @param running - Outcome of the run; must never reject.
   */
  add(
    key: string,
    running: Promise<DispatchOutcome>,
  ): Promise<DispatchOutcome> {
    this.pendingOutcomes.set(key, running);
    return running.finally(() => this.pendingOutcomes.delete(key));
  }

  /** Answers a duplicate with the outcome of the first run. */
  async serve(
    key: string,
    held: LedgerEntry,
    request: DispatchRequest,
    receive: ChunkReceiver,
  ): Promise<DispatchOutcome> {
    this.counters.add('agent.ledger_hits');
    if (held.state === 'settled') return replay(held, request, receive);
    const outcome = await this.waitForFirstRun(key, request.deadlineAt);
    if (outcome === undefined)
      return {status: 'unknown', reason: 'duplicate_in_progress'};
    const settled = this.ledger.find(key);
    if (settled?.state === 'settled') return replay(settled, request, receive);
    return outcome;
  }

  private waitForFirstRun(
    key: string,
    deadlineAt: number,
  ): Promise<DispatchOutcome | undefined> {
    const firstRun = this.pendingOutcomes.get(key);
    if (firstRun === undefined) return Promise.resolve(undefined);
    return new Promise(resolve => {
      const timer = setTimeout(
        () => resolve(undefined),
        Math.max(0, deadlineAt - Date.now()),
      );
      void firstRun.then(outcome => {
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
  // A "done" outcome without chunks would look like an empty answer.
  if (entry.chunkTexts === undefined)
    return {status: 'unknown', reason: 'ran_answer_not_kept'};
  entry.chunkTexts.forEach((text, seq) =>
    receive({requestId: request.requestId, seq, text}),
  );
  return entry.outcome;
}
