/** What a caller has got of one stream so far, over all attempts. */
import type {DecisionFields} from '../observe/decision-log.js';
import type {PromptChoice} from '../placement/prompt-types.js';

/**
 * Progress of one stream.
 *
 * @example
 * progress.recordEvent(event.id, performance.now());
 */
export class StreamProgress {
  /** The head has gone out: from here on there is only this one answer. */
  hasHead = false;
  /** The answer that the caller gets ends with its connection. */
  isUnframed = false;
  eventsSent = 0;
  private firstEventAt: number | undefined;
  private lastEventAt: number | undefined;
  private longestGapMs = 0;
  private choice: PromptChoice | undefined;

  /** @param lastEventId - Id of the last event that the caller has. */
  constructor(
    private readonly arrivedAt: number,
    public lastEventId: string | undefined,
  ) {}

  /** Notes the choice of engines of the attempt that begins. */
  recordChoice(choice: PromptChoice): void {
    this.choice = choice;
  }

  /**
   * Notes an event that has gone out.
   *
   * @returns Time since the arrival for the first event, in ms.
   */
  recordEvent(id: string | undefined, now: number): number | undefined {
    if (id !== undefined) this.lastEventId = id;
    this.eventsSent++;
    if (this.lastEventAt !== undefined)
      this.longestGapMs = Math.max(this.longestGapMs, now - this.lastEventAt);
    this.lastEventAt = now;
    if (this.firstEventAt !== undefined) return undefined;
    this.firstEventAt = now;
    return now - this.arrivedAt;
  }

  /** Fields of the line that tells how the stream ended. */
  describe(): DecisionFields {
    const firstMs =
      this.firstEventAt === undefined
        ? undefined
        : Math.round(this.firstEventAt - this.arrivedAt);
    return {
      readers: this.choice?.parts.length ?? 0,
      predictedFirstMs: Math.round(this.choice?.predictedFirstMs ?? 0),
      firstMs,
      gapMs: Math.round(this.longestGapMs),
      events: this.eventsSent,
    };
  }
}
