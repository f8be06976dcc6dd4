/**
 * A feature that requests have in common, with the crashes of servers under them
 * and the verdict on it.
 */
import type {Crash} from './crash.js';
import type {CrashReport} from './crash-report.js';

/**
 * How far an answer has come: its first output was received (`begun`), it went on
 * for longer than a crash at its begin takes (`lasted`), or it is complete.
 */
export type AnswerProgress = 'begun' | 'lasted' | 'whole';

/** Maximum number of crashes that are kept of one feature. */
const MAX_CRASHES = 32;

/** Maximum number of crashes in a report, which bounds its size. */
const MAX_REPORTED_CRASHES = 8;

/**
 * Time for which a cleared crash is remembered, in ms; above the time for which
 * peers repeat it.
 */
const CLEARED_RETENTION_MS = 10_000;

/**
 * What a request with a feature may do: run as any other (`free`), run apart
 * from others (`suspect`), or not run (`refused`).
 */
export type Verdict = 'free' | 'suspect' | 'refused';

/** What is known of other crashes when a feature is judged. */
export interface CrashSurroundings {
  /** The present time, in ms. */
  readonly now: number;
  /** Targets whose crash a refused feature explains better. */
  listExplained(): ReadonlySet<string>;
  /** Returns whether servers crash that the feature does not explain. */
  isWave(): boolean;
}

/** Crash that an answer has cleared. */
interface ClearedCrash {
  /** Time at which it was cleared, in ms. */
  readonly at: number;
  /** Whether an answer of this process has cleared it. */
  readonly isOwn: boolean;
}

/**
 * Crashes under requests with one feature since an answer has cleared it. Copies
 * in different gates agree once they have merged the same reports, in any order.
 *
 * @example
 * const feature = new SuspectContent('Wc3kQ0aZ.q8…');
 * feature.addCrash(crash);
 */
export abstract class SuspectFeature {
  private readonly crashes = new Map<string, Crash>();
  /** Crashes that were cleared, by their key. */
  private readonly cleared = new Map<string, ClearedCrash>();
  private readonly progressAt: Record<AnswerProgress, number> = {
    begun: -Infinity,
    lasted: -Infinity,
    whole: -Infinity,
  };
  private isRefusedNow = false;

  constructor(readonly id: string) {}

  /** Whether requests with this feature had good answers shortly before. */
  abstract readonly isProven: boolean;

  /** Whether a gate refuses the feature because a peer does. */
  abstract readonly isVerdictShared: boolean;

  /**
   * Returns whether requests run apart from others.
   *
   * @param explained - Targets whose crash another feature explains.
   */
  abstract isSuspect(explained: ReadonlySet<string>): boolean;

  /** Returns whether the crashes are enough to refuse the feature. */
  abstract isGuilty(surroundings: CrashSurroundings): boolean;

  /**
   * Returns the time for which the feature is refused after its newest crash, in
   * ms.
   *
   * @param refusalMs - The longest such time.
   */
  abstract readRefusalMs(refusalMs: number): number;

  /** Returns whether the verdict holds for the requests of a client account. */
  abstract isRefusedFor(account: string | undefined): boolean;

  /** Returns the progress of a later answer that clears a crash. */
  protected abstract findClearing(crash: Crash): AnswerProgress;

  /** Returns the key under which a crash counts once. */
  protected abstract buildKey(crash: Crash): string;

  /** Whether requests with this feature are refused. */
  get isRefused(): boolean {
    return this.isRefusedNow;
  }

  /** Whether a server has crashed since an answer cleared the feature. */
  get hasCrashes(): boolean {
    return this.crashes.size > 0;
  }

  /** Incarnation ids of the servers that have crashed. */
  get targets(): readonly string[] {
    return [...new Set(this.listCrashes().map(({target}) => target))];
  }

  /** Time of the newest crash; -Infinity without one. */
  get lastCrashAt(): number {
    return Math.max(-Infinity, ...this.listCrashes().map(({at}) => at));
  }

  /** Time of the newest crash or answer. */
  get changedAt(): number {
    return Math.max(this.lastCrashAt, ...Object.values(this.progressAt));
  }

  /** Lists all crashes. */
  listCrashes(): readonly Crash[] {
    return [...this.crashes.values()];
  }

  /** Lists the crashes soon after the begin of a run. */
  listEarly(): readonly Crash[] {
    return this.listCrashes().filter(({isEarly}) => isEarly);
  }

  /** Returns when the newest answer came so far, in ms. */
  readProgressAt(progress: AnswerProgress): number {
    return this.progressAt[progress];
  }

  /** Adds a crash; returns false if it is known or was cleared by an answer. */
  addCrash(crash: Crash): boolean {
    const key = this.buildKey(crash);
    // The delay of a report makes its crash look later than it was.
    if (this.cleared.has(key) || this.isCleared(crash)) return false;
    const known = this.crashes.get(key);
    if (known !== undefined && (known.isEarly || !crash.isEarly)) return false;
    this.crashes.set(key, crash);
    if (this.crashes.size > MAX_CRASHES) this.dropOldest();
    return true;
  }

  /**
   * Records how far an answer has come, which drops crashes that it clears.
   *
   * @param isOwn - Whether it is an answer of this process.
   * @returns whether a crash was dropped.
   */
  recordProgress(progress: AnswerProgress, at: number, isOwn = false): boolean {
    this.progressAt[progress] = Math.max(this.progressAt[progress], at);
    const before = this.crashes.size;
    for (const [key, crash] of this.crashes) {
      if (!this.isCleared(crash)) continue;
      this.crashes.delete(key);
      this.cleared.set(key, {at, isOwn});
    }
    if (this.crashes.size === 0) this.isRefusedNow = false;
    return this.crashes.size < before;
  }

  /** Refuses the feature from now on. */
  markRefused(): void {
    this.isRefusedNow = true;
  }

  /** Ends the refusal, but keeps the crashes. */
  endRefusal(): void {
    this.isRefusedNow = false;
  }

  /** Returns whether an answer of this process has lately cleared a crash. */
  isClearedHere(crash: Crash): boolean {
    return this.cleared.get(this.buildKey(crash))?.isOwn === true;
  }

  /** Forgets cleared crashes that no peer repeats any more. */
  expireCleared(now: number): void {
    for (const [key, {at}] of this.cleared)
      if (now - at > CLEARED_RETENTION_MS) this.cleared.delete(key);
  }

  /** Builds the report for peers. */
  toReport(now: number): CrashReport {
    const toAge = (at: number) => Math.max(0, Math.round(now - at));
    const toOptionalAge = (at: number) =>
      at === -Infinity ? undefined : toAge(at);
    return {
      content: this.id,
      crashes: this.pickReported().map(crash => ({
        target: crash.target,
        ageMs: toAge(crash.at),
        early: crash.isEarly ? true : undefined,
        begun: crash.hasBegun ? true : undefined,
        ...this.describeRun(crash),
      })),
      answeredMs: toOptionalAge(this.progressAt.whole),
      begunMs: toOptionalAge(this.progressAt.begun),
      lastedMs: toOptionalAge(this.progressAt.lasted),
      refused: this.isRefusedNow ? true : undefined,
    };
  }

  /** Describes the run of a crash for peers, as far as the verdict needs it. */
  protected abstract describeRun(
    crash: Crash,
  ): Partial<CrashReport['crashes'][number]>;

  /** Picks the newest crashes that tell of another target or run. */
  private pickReported(): readonly Crash[] {
    if (this.crashes.size <= MAX_REPORTED_CRASHES) return this.listCrashes();
    const seen = new Set<string>();
    const telling = [...this.crashes.values()]
      .sort((a, b) => b.at - a.at)
      .filter(({target, run}) => {
        const isNew = !seen.has(target) || !seen.has(run);
        seen.add(target).add(run);
        return isNew;
      });
    return telling.slice(0, MAX_REPORTED_CRASHES);
  }

  private isCleared(crash: Crash): boolean {
    return crash.at <= this.progressAt[this.findClearing(crash)];
  }

  private dropOldest(): void {
    const [oldest] = [...this.crashes].sort(([, a], [, b]) => a.at - b.at);
    this.crashes.delete(oldest[0]);
  }
}
