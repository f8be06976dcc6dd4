/** One part of prompts under which servers have crashed, and the verdict on it. */
import {SuspectFeature} from './suspect-feature.js';
import type {Crash} from './crash.js';
import type {CrashReport} from './crash-report.js';
import type {AnswerProgress, CrashSurroundings} from './suspect-feature.js';

/** Number of crashed servers that refuse a part. */
const CRASHES_TO_REFUSE = 3;

/** The same while servers crash that the part does not explain. */
const CRASHES_TO_REFUSE_IN_WAVE = 4;

/**
 * Number of different contents among the crashes of a refused part. Crashes under
 * a single content may be due to its other parts.
 */
const CONTENTS_TO_REFUSE = 2;

/**
 * Time for which peers may clear a proven part after a crash before it is refused,
 * in ms; a few round trips within a region.
 */
const CLEARING_TIME_MS = 60;

/** Time for which a part counts as proven after an answer that lasted, in ms. */
const PROVEN_MS = 60_000;

/**
 * Time for which a part is refused at first while no answer without it has begun
 * since its crashes, in ms.
 */
const UNCOMPARED_REFUSAL_MS = 1000;

/** Time for which a proven part is refused at first, in ms. */
const PROVEN_REFUSAL_MS = 10_000;

/**
 * Part of prompts that requests share, for one service. An answer that begins
 * clears it, whatever else the request holds.
 *
 * A part with good answers shortly before is proven. Requests with it are common,
 * and many of them are broken off when servers crash at the same moment for
 * another reason. Only crashes in sequence count against it, each of a run that was
 * sent after the one before.
 *
 * @example
 * const suspect = new SuspectPart('part:chat/5c1e07a2');
 */
export class SuspectPart extends SuspectFeature {
  override readonly isVerdictShared = false;
  /** Time of the newest begin of an answer without this part, in ms. */
  private comparedAt = -Infinity;

  override get isProven(): boolean {
    const firstAt = Math.min(Infinity, ...this.listEarly().map(({at}) => at));
    return this.readProgressAt('lasted') > firstAt - PROVEN_MS;
  }

  /**
   * Returns whether no answer is known to have ever begun, or the crashes would be
   * enough to refuse the part. Other parts are those that sound requests share, and
   * the sooner one of these begins, the sooner the part is cleared.
   */
  override isSuspect(explained: ReadonlySet<string>): boolean {
    const open = this.listOpen(explained);
    if (this.readProgressAt('begun') === -Infinity) return open.length > 0;
    return (
      countTargets(open) >= CRASHES_TO_REFUSE &&
      countContents(open) >= CONTENTS_TO_REFUSE
    );
  }

  override isGuilty(surroundings: CrashSurroundings): boolean {
    if (this.listEarly().length < CRASHES_TO_REFUSE) return false;
    const isFresh = surroundings.now - this.lastCrashAt < CLEARING_TIME_MS;
    if (this.isProven && isFresh && !this.isRefused) return false;
    const open = this.listOpen(surroundings.listExplained());
    const count = this.isProven ? countRounds(open) : countTargets(open);
    if (count < CRASHES_TO_REFUSE) return false;
    if (countContents(open) < CONTENTS_TO_REFUSE) return false;
    return count >= CRASHES_TO_REFUSE_IN_WAVE || !surroundings.isWave();
  }

  /**
   * A part that may be innocent is tried again soon, and later after each further
   * crash: one with good answers before, or one of all requests while servers
   * answer none.
   */
  override readRefusalMs(refusalMs: number): number {
    const early = this.listEarly();
    const isCompared = early.some(({at}) => at <= this.comparedAt);
    if (isCompared && !this.isProven) return refusalMs;
    const firstMs = isCompared ? PROVEN_REFUSAL_MS : UNCOMPARED_REFUSAL_MS;
    const further = Math.max(0, countTargets(early) - CRASHES_TO_REFUSE);
    return Math.min(refusalMs, firstMs * 2 ** further);
  }

  /** Records that an answer to a request without this part has begun. */
  recordOtherBegin(at: number): void {
    this.comparedAt = at;
  }

  /**
   * Another account's requests are refused only after a crash of their own,
   * because callers name the parts of their prompts themselves.
   */
  override isRefusedFor(account: string | undefined): boolean {
    return this.listEarly().some(crash => crash.account === account);
  }

  protected override findClearing({hasBegun}: Crash): AnswerProgress {
    return hasBegun ? 'lasted' : 'begun';
  }

  protected override buildKey({target, run}: Crash): string {
    return `${target} ${run}`;
  }

  protected override describeRun({
    at,
    sentAt,
    run,
    account,
  }: Crash): Partial<CrashReport['crashes'][number]> {
    return {ranMs: Math.max(0, Math.round(at - sentAt)), run, account};
  }

  private listOpen(explained: ReadonlySet<string>): readonly Crash[] {
    return this.listEarly().filter(({target}) => !explained.has(target));
  }
}

function countTargets(crashes: readonly Crash[]): number {
  return new Set(crashes.map(({target}) => target)).size;
}

function countContents(crashes: readonly Crash[]): number {
  return new Set(crashes.map(({run}) => run)).size;
}

/** Counts the crashes in the longest sequence in which none overlap. */
function countRounds(crashes: readonly Crash[]): number {
  let lastCrashAt = -Infinity;
  let rounds = 0;
  for (const {at, sentAt} of [...crashes].sort((a, b) => a.at - b.at)) {
    if (sentAt < lastCrashAt) continue;
    lastCrashAt = at;
    rounds++;
  }
  return rounds;
}
