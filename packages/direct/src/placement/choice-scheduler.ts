/**
 * Runs the choices of engines one after the other and lets the event loop read
 * in between. A choice takes milliseconds of processor time; however many
 * prompts need one at once, callers, peers and the store are read first.
 */
import {ChoiceQueue} from './choice-queue.js';
import type {PendingReads} from '@nutmeggauge/core';

/** Time of choices after which the event loop reads again, in ms. */
const TURN_BUDGET_MS = 10;

/** Weight of the newest choice in the average time of a choice. */
const CHOICE_TIME_WEIGHT = 0.1;

/** A choice that is to be made when its turn comes. */
export interface ChoiceRequest<T> {
  /**
   * True to choose again for a prompt that was deferred or waits for a slot;
   * the first choices of other prompts go before it.
   */
  readonly isRepeated: boolean;
  /**
   * Time at which the prompt is due; the earliest goes first among those that can
   * be in time.
   */
  readonly dueAt: number;
  /** Aborted when the choice is not needed any more; absent if it always is. */
  readonly signal?: AbortSignal;
  readonly choose: () => T;
}

/**
 * Schedules the choices of engines of one gate.
 *
 * @example
 * const scheduler = new ChoiceScheduler(reads, readNow);
 * const placed = await scheduler.schedule({isRepeated: false, dueAt, signal, choose});
 */
export class ChoiceScheduler {
  private readonly waiting = new ChoiceQueue();
  private averageMs = 0;
  private isRunning = false;

  constructor(
    private readonly reads: PendingReads,
    private readonly readNow: () => number,
  ) {}

  /** Estimates the time until one more first choice has been made, in ms. */
  estimateWaitMs(dueAt: number): number {
    return (this.waiting.countDueBy(dueAt) + 1) * this.averageMs;
  }

  /**
   * Makes a choice when its turn comes; resolves with undefined if the signal
   * is aborted by then.
   */
  schedule<T>(request: ChoiceRequest<T>): Promise<T | undefined> {
    const {isRepeated, dueAt, signal, choose} = request;
    return new Promise((resolve, reject) => {
      const run = () => {
        if (signal?.aborted) return resolve(undefined);
        const startedAt = this.readNow();
        try {
          resolve(choose());
        } catch (error) {
          reject(error as Error);
        }
        const ms = this.readNow() - startedAt;
        this.averageMs += (ms - this.averageMs) * CHOICE_TIME_WEIGHT;
      };
      this.waiting.add({isRepeated, dueAt, run});
      if (!this.isRunning) void this.runWaiting();
    });
  }

  private async runWaiting(): Promise<void> {
    this.isRunning = true;
    while (this.waiting.length > 0) {
      await this.reads.wait();
      const endsAt = this.readNow() + TURN_BUDGET_MS;
      do this.waiting.pickNext(this.readNow(), this.averageMs)?.run();
      while (this.waiting.length > 0 && this.readNow() < endsAt);
    }
    this.isRunning = false;
  }
}
