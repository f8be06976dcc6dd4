/** Progress of a stream over all attempts, as the caller sees it. */
import type {DecisionFields} from '../observe/decision-log.js';
import type {PromptChoice} from '../placement/prompt-types.js';

/**
 * Progress of one stream.
 *
 * @example
 * progress.recordEvent(event.id, performance.now());
 */
export class StreamProgress {
  /** The head has been sent: no other answer is possible. */
  hasHead = false;
  /** The answer ends with its connection. */
  isUnframed = false;
  eventsSent = 0;
  private firstTokenAt: number | undefined;
  private lastEventAt: number | undefined;
  private maxItlMs = 0;
  private choice: PromptChoice | undefined;

  /** @param lastEventId - Id of the last event that the caller has. */
  constructor(
    private readonly arrivedAt: number,
    public lastEventId: string | undefined,
  ) {}

  /** Records the placement of a new attempt. */
  recordChoice(choice: PromptChoice): void {
    this.choice = choice;
  }

  /**
   * Records an event that was sent.
   *
   * @returns Time to first token, in ms, for the first event.
   */
  recordEvent(id: string | undefined, now: number): number | undefined {
    if (id !== undefined) this.lastEventId = id;
    this.eventsSent++;
    if (this.lastEventAt !== undefined)
      this.maxItlMs = Math.max(this.maxItlMs, now - this.lastEventAt);
    this.lastEventAt = now;
    if (this.firstTokenAt !== undefined) return undefined;
    this.firstTokenAt = now;
    return now - this.arrivedAt;
  }

  /** Log fields of the end of the stream. */
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
