/** Tracks what the caller has received of a stream over all attempts. */
import type {DecisionFields} from '../observe/decision-log.js';
import type {PromptChoice} from '../placement/prompt-types.js';

/**
 * Progress of one stream over all attempts, as seen by the caller.
 *
 * @example
 * progress.recordEvent(event.id, performance.now());
 */
export class StreamProgress {
  /** True once the response head is sent, which rules out an error status. */
  hasHead = false;
  eventsSent = 0;
  private firstTokenAt: number | undefined;
  private newestEventAt: number | undefined;
  private maxItlMs = 0;
  private choice: PromptChoice | undefined;

  /** @param lastEventId - Id of the last event that the caller received. */
  constructor(
    private readonly arrivedAt: number,
    public lastEventId: string | undefined,
  ) {}

  /** Time of the newest event that was sent, in ms; absent before the first. */
  get lastEventAt(): number | undefined {
    return this.newestEventAt;
  }

  /** Records the engines that were chosen for a new attempt. */
  recordChoice(choice: PromptChoice): void {
    this.choice = choice;
  }

  /**
   * Records an event that was sent to the caller.
   *
   * @returns Time to first token, in ms, for the first event; otherwise
   *   undefined.
   */
  recordEvent(id: string | undefined, now: number): number | undefined {
    if (id !== undefined) this.lastEventId = id;
    this.eventsSent++;
    if (this.newestEventAt !== undefined)
      this.maxItlMs = Math.max(this.maxItlMs, now - this.newestEventAt);
    this.newestEventAt = now;
    if (this.firstTokenAt !== undefined) return undefined;
    this.firstTokenAt = now;
    return now - this.arrivedAt;
  }

  /** Returns the log fields that describe the stream when it ends. */
  describe(): DecisionFields {
    const ttftMs =
      this.firstTokenAt === undefined
        ? undefined
        : Math.round(this.firstTokenAt - this.arrivedAt);
    return {
      prefillEngines: this.choice?.shards.length ?? 0,
      predictedTtftMs: Math.round(this.choice?.predictedTtftMs ?? 0),
      ttftMs,
      gapMs: Math.round(this.maxItlMs),
      events: this.eventsSent,
    };
  }
}
