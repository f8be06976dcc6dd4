/**
 * Calendar of the prefill time of many engines: when each engine is free of
 * prefill, and where the prompts that wait at all gates begin. Every gate
 * computes the same plan from the same waiting prompts, so no gate owns it.
 */

/**
 * Maximum number of engines that are planned for one prompt; equal to the
 * number of engines that may prefill one prompt.
 */
const MAX_PLANNED_ENGINES = 16;

/**
 * Time by which a first token comes later than planned, in ms. Long prompts
 * without a later prompt on their engines are 100 ms late at the median.
 */
const PLAN_ERROR_MS = 150;

/** Prompt that waits at a gate for engines without prefill. */
export interface CalendarPrompt {
  /** Key that is unique among all gates; decides between equal due times. */
  readonly key: string;
  /** Prefill time on one idle engine, in ms. */
  readonly prefillMs: number;
  /** Time left until the objective is missed, in ms; negative after that. */
  readonly dueMs: number;
}

/** Planned prefill of one prompt. */
export interface PlannedPrefill {
  /** Time from now until enough engines are free, in ms. */
  readonly startMs: number;
  /** Time from now until the prefill ends on all its engines, in ms. */
  readonly endMs: number;
  readonly engines: number;
  /** Whether the first token is expected within the objective. */
  readonly isInTime: boolean;
}

/** Plan of one prompt among all that wait. */
export interface QueuedPrefill extends PlannedPrefill {
  /** Whether a prompt that goes first could begin now. */
  readonly isBehind: boolean;
  /** Number of waiting prompts that go first. */
  readonly ahead: number;
}

/**
 * Free times of all engines, from which prompts take engines one after the
 * other.
 *
 * @example
 * const calendar = new PrefillCalendar([0, 0, 700]);
 * const planned = calendar.find({key: 'a#1', prefillMs: 1800, dueMs: 1200});
 * planned?.engines; // 2
 */
export class PrefillCalendar {
  /** Free times in ascending order, in ms from now. */
  private freeMs: readonly number[];

  constructor(freeMs: readonly number[]) {
    this.freeMs = [...freeMs].sort((a, b) => a - b);
  }

  /**
   * Finds the earliest start from which a prompt meets its objective; if there
   * is none, the start with the earliest end. Undefined without engines.
   */
  find({prefillMs, dueMs}: CalendarPrompt): PlannedPrefill | undefined {
    const most = Math.min(MAX_PLANNED_ENGINES, this.freeMs.length);
    let best: PlannedPrefill | undefined;
    for (let engines = 1; engines <= most; engines++) {
      const startMs = this.freeMs[engines - 1];
      const endMs = startMs + prefillMs / engines;
      const isInTime = endMs + PLAN_ERROR_MS <= dueMs;
      const planned = {startMs, endMs, engines, isInTime};
      if (isInTime) return planned;
      if (best === undefined || endMs < best.endMs) best = planned;
    }
    return best;
  }

  /** Takes the engines of a planned prefill until its end. */
  reserve({engines, endMs}: PlannedPrefill): void {
    const later = this.freeMs.slice(engines);
    const at = later.findIndex(ms => ms > endMs);
    const ends = Array.from({length: engines}, () => endMs);
    this.freeMs =
      at === -1
        ? [...later, ...ends]
        : [...later.slice(0, at), ...ends, ...later.slice(at)];
  }
}

function isBefore(a: CalendarPrompt, b: CalendarPrompt): boolean {
  return a.dueMs === b.dueMs ? a.key < b.key : a.dueMs < b.dueMs;
}

/**
 * Plans a prompt behind the waiting prompts that go first: those that are due
 * earlier. Prompts that miss their objective wherever they begin go behind all
 * others.
 *
 * @param freeMs - Time from now until each engine is free of prefill, in ms.
 * @param others - The other prompts that wait, in any order.
 * @returns Undefined if there are no engines.
 * @example
 * planPrefill([0, 0, 700], others, {key: 'a#1', prefillMs: 1800, dueMs: 3000})?.startMs;
 */
export function planPrefill(
  freeMs: readonly number[],
  others: readonly CalendarPrompt[],
  own: CalendarPrompt,
): QueuedPrefill | undefined {
  const calendar = new PrefillCalendar(freeMs);
  const ordered = [...others].sort((a, b) => (isBefore(a, b) ? -1 : 1));
  const late: CalendarPrompt[] = [];
  let isBehind = false;
  let ahead = 0;
  const reserveAll = (prompts: readonly CalendarPrompt[], isLate: boolean) => {
    for (const prompt of prompts) {
      const planned = calendar.find(prompt);
      if (planned === undefined) continue;
      if (!isLate && !planned.isInTime) {
        late.push(prompt);
        continue;
      }
      calendar.reserve(planned);
      ahead++;
      isBehind ||= planned.startMs <= 0;
    }
  };
  reserveAll(
    ordered.filter(prompt => isBefore(prompt, own)),
    false,
  );
  const planned = calendar.find(own);
  if (planned === undefined || planned.isInTime)
    return planned && {...planned, isBehind, ahead};
  const lateBefore = late.splice(0);
  reserveAll(
    ordered.filter(prompt => !isBefore(prompt, own)),
    false,
  );
  reserveAll(lateBefore, true);
  const last = calendar.find(own);
  return last && {...last, isBehind, ahead};
}
