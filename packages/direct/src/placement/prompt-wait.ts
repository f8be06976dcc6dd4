/** Wait of one stream for its planned start. */
import {ANNOUNCE_INTERVAL_MS} from './waiting-prompts.js';
import type {QueuedPrefill} from './prefill-calendar.js';

/**
 * Longest time for which a prompt that could begin yields to one that goes
 * first, in ms: longer than a choice on a small host and the announcement of its
 * result take.
 */
const MAX_YIELD_MS = 20;

/**
 * Wait of one stream for engines; shared by all choices of the stream.
 *
 * @example
 * const wait = new PromptWait('10.1.0.4/1#7');
 * if (wait.claimAnnouncement(now)) announce(wait.key);
 */
export class PromptWait {
  private announcedAt: number | undefined;
  private yieldsSince: number | undefined;
  private plan: QueuedPrefill | undefined;

  /** @param key - Key of the wait that is unique among all gates. */
  constructor(readonly key: string) {}

  /** First plan of the prompt; undefined if it has not had to wait. */
  get firstPlan(): QueuedPrefill | undefined {
    return this.plan;
  }

  /** Whether other gates may know of the wait. */
  get isAnnounced(): boolean {
    return this.announcedAt !== undefined;
  }

  /** Returns true if the wait is to be announced, and records that it is. */
  claimAnnouncement(now: number): boolean {
    const isDue =
      this.announcedAt === undefined ||
      now - this.announcedAt >= ANNOUNCE_INTERVAL_MS;
    if (isDue) this.announcedAt = now;
    return isDue;
  }

  /** Returns whether the prompt still yields to one that goes first. */
  isYielding(isBehind: boolean, now: number): boolean {
    if (!isBehind) this.yieldsSince = undefined;
    else this.yieldsSince ??= now;
    return (
      this.yieldsSince !== undefined && now - this.yieldsSince < MAX_YIELD_MS
    );
  }

  /** Records a plan by which the prompt waits. */
  recordPlan(plan: QueuedPrefill): void {
    this.plan ??= plan;
  }

  /** Records that the wait has ended. */
  end(): void {
    this.announcedAt = undefined;
  }
}
