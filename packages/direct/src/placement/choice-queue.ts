/** Order of the choices of engines that wait at one gate. */

/**
 * One first choice in so many is for a prompt that is late already while others
 * can still be in time, so that late prompts are not starved.
 */
const LATE_INTERVAL = 4;

/** A choice that waits for its turn. */
export interface WaitingChoice {
  /** True to choose again; first choices of other prompts go before it. */
  readonly isRepeated: boolean;
  /** Time at which the prompt is due, in ms. */
  readonly dueAt: number;
  readonly run: () => void;
}

/**
 * Choices that wait. Prompts that can still be in time go before those that are
 * late: with the earliest due first, one prompt too many would make all that
 * follow late as well.
 *
 * @example
 * queue.add({isRepeated: false, dueAt, run});
 * queue.pickNext(performance.now(), 4)?.run();
 */
export class ChoiceQueue {
  /** First choices before repeated ones, and the earliest due first. */
  private readonly waiting: WaitingChoice[] = [];
  /** Choices since the last one for a prompt that was late. */
  private sinceLate = 0;

  get length(): number {
    return this.waiting.length;
  }

  /** Adds a choice behind those that are due at the same time. */
  add(choice: WaitingChoice): void {
    const at = this.waiting.findIndex(other => isBefore(choice, other));
    this.waiting.splice(at === -1 ? this.waiting.length : at, 0, choice);
  }

  /** Counts the first choices that are due no later than `dueAt`. */
  countDueBy(dueAt: number): number {
    return this.waiting.filter(
      other => !other.isRepeated && other.dueAt <= dueAt,
    ).length;
  }

  /**
   * Removes and returns the choice that is to be made now; undefined if none waits.
   *
   * @param choiceMs - Time that a choice takes, in ms.
   */
  pickNext(now: number, choiceMs: number): WaitingChoice | undefined {
    const at = this.findNext(now + choiceMs);
    return this.waiting.splice(at, 1)[0];
  }

  /** Returns the index of the next choice, which would end at `endsAt`. */
  private findNext(endsAt: number): number {
    const timelyAt = this.waiting.findIndex(
      ({isRepeated, dueAt}) => !isRepeated && dueAt >= endsAt,
    );
    // No late one waits, or none of the first choices can be in time.
    if (timelyAt <= 0) return 0;
    this.sinceLate = (this.sinceLate + 1) % LATE_INTERVAL;
    return this.sinceLate === 0 ? 0 : timelyAt;
  }
}

function isBefore(choice: WaitingChoice, other: WaitingChoice): boolean {
  if (choice.isRepeated !== other.isRepeated) return other.isRepeated;
  return choice.dueAt < other.dueAt;
}
