/** One content under which servers have crashed, and the verdict on it. */
import type {CrashReport} from './crash-report.js';

/** Number of crashes soon after the begin of a run that refuse a content. */
const CRASHES_TO_REFUSE = 2;

/** The same while servers crash that the content does not explain. */
const CRASHES_TO_REFUSE_IN_WAVE = 3;

/**
 * Number of crashes at any time of a run that refuse a content. Streams that
 * run beside the cause of a crash are answered whole long before.
 */
const ANY_CRASHES_TO_REFUSE = 6;

/** Number of crashes at any time of a run that make a content suspect. */
const ANY_CRASHES_TO_SUSPECT = 3;

/**
 * Time from the first output of a run within which a crash may still be due to its
 * begin, in ms; above an iteration of an engine.
 */
const BEGIN_WINDOW_MS = 300;

/** Crash of one server under a request. */
export interface Crash {
  /** Incarnation id of the server. */
  readonly target: string;
  /** Time on the monotonic clock, in ms. */
  readonly at: number;
  /** Whether the run had just begun or was still to begin. */
  readonly isEarly: boolean;
}

/**
 * Returns whether a run that a server broke off had just begun or was still to
 * begin.
 *
 * @param beganAt - Time of the first output, in ms; absent before.
 * @example
 * isEarlyCrash(undefined, performance.now()); // true
 */
export function isEarlyCrash(
  beganAt: number | undefined,
  brokenAt: number,
): boolean {
  return beganAt === undefined || brokenAt - beganAt <= BEGIN_WINDOW_MS;
}

/**
 * What a request with a content may do: run as any other (`free`), run apart
 * from others (`suspect`), or not run (`refused`).
 */
export type Verdict = 'free' | 'suspect' | 'refused';

/**
 * Crashes under one content since its last whole answer. Copies in different
 * gates agree once they have merged the same reports, in any order.
 *
 * @example
 * const suspect = new SuspectRequest('Wc3kQ0aZ.q8…');
 * suspect.addCrash({target: 'i-1', at: now, isEarly: true});
 */
export class SuspectRequest {
  private readonly crashes = new Map<string, Crash>();
  /** Servers whose crash an answer has cleared. */
  private readonly clearedTargets = new Set<string>();
  private answeredAt = -Infinity;
  private isRefusedNow = false;

  constructor(readonly content: string) {}

  /** Whether requests with this content are refused. */
  get isRefused(): boolean {
    return this.isRefusedNow;
  }

  /**
   * Whether requests run apart from others. Most streams that a server takes
   * with it have long begun, and are not suspect.
   */
  get isSuspect(): boolean {
    return (
      this.listEarly().length > 0 || this.crashes.size >= ANY_CRASHES_TO_SUSPECT
    );
  }

  /** Incarnation ids of the servers that have crashed. */
  get targets(): readonly string[] {
    return [...this.crashes.keys()];
  }

  /** Time of the newest crash; -Infinity without one. */
  get lastCrashAt(): number {
    return Math.max(-Infinity, ...[...this.crashes.values()].map(c => c.at));
  }

  /** Time of the newest crash or whole answer. */
  get changedAt(): number {
    return Math.max(this.lastCrashAt, this.answeredAt);
  }

  /** Lists all crashes. */
  listCrashes(): readonly Crash[] {
    return [...this.crashes.values()];
  }

  /** Lists the crashes soon after the begin of a run. */
  listEarly(): readonly Crash[] {
    return this.listCrashes().filter(({isEarly}) => isEarly);
  }

  /** Adds a crash; returns false if it is known or was cleared by an answer. */
  addCrash(crash: Crash): boolean {
    // The delay of a report makes its crash look later than it was.
    if (this.clearedTargets.has(crash.target)) return false;
    if (crash.at <= this.answeredAt) return false;
    const known = this.crashes.get(crash.target);
    if (known !== undefined && (known.isEarly || !crash.isEarly)) return false;
    this.crashes.set(crash.target, crash);
    return true;
  }

  /** Records a whole answer, which drops all earlier crashes. */
  recordAnswer(at: number): void {
    this.answeredAt = Math.max(this.answeredAt, at);
    for (const {target, at: crashedAt} of this.crashes.values()) {
      if (crashedAt > this.answeredAt) continue;
      this.crashes.delete(target);
      this.clearedTargets.add(target);
    }
    if (this.crashes.size === 0) this.isRefusedNow = false;
  }

  /** Refuses the content from now on. */
  markRefused(): void {
    this.isRefusedNow = true;
  }

  /** Ends the refusal, but keeps the crashes. */
  endRefusal(): void {
    this.isRefusedNow = false;
  }

  /**
   * Returns whether the crashes are enough to refuse the content.
   *
   * @param isWave - Returns whether servers crash that the content does not
   *   explain; called only if that decides.
   */
  isGuilty(isWave: () => boolean): boolean {
    if (this.crashes.size >= ANY_CRASHES_TO_REFUSE) return true;
    const {length} = this.listEarly();
    if (length >= CRASHES_TO_REFUSE_IN_WAVE) return true;
    return length >= CRASHES_TO_REFUSE && !isWave();
  }

  /** Builds the report for peers. */
  toReport(now: number): CrashReport {
    const toAge = (at: number) => Math.max(0, Math.round(now - at));
    return {
      content: this.content,
      crashes: [...this.crashes.values()].map(({target, at, isEarly}) => ({
        target,
        ageMs: toAge(at),
        early: isEarly ? true : undefined,
      })),
      answeredMs:
        this.answeredAt === -Infinity ? undefined : toAge(this.answeredAt),
      refused: this.isRefusedNow ? true : undefined,
    };
  }
}
