/** One content under which servers have crashed, and the verdict on it. */
import {SuspectFeature} from './suspect-feature.js';
import type {Crash} from './crash.js';
import type {CrashReport} from './crash-report.js';
import type {AnswerProgress, CrashSurroundings} from './suspect-feature.js';

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
 * Whole content of requests, identified by its fingerprint. Only a whole answer
 * clears it.
 *
 * @example
 * const suspect = new SuspectContent('Wc3kQ0aZ.q8…');
 */
export class SuspectContent extends SuspectFeature {
  override readonly isProven = false;
  override readonly isVerdictShared = true;

  /**
   * Returns whether requests run apart from others. Most streams that a server
   * takes with it have long begun, and are not suspect.
   */
  override isSuspect(): boolean {
    return (
      this.listEarly().length > 0 ||
      this.listCrashes().length >= ANY_CRASHES_TO_SUSPECT
    );
  }

  override isGuilty(surroundings: CrashSurroundings): boolean {
    if (this.listCrashes().length >= ANY_CRASHES_TO_REFUSE) return true;
    const {length} = this.listEarly();
    if (length >= CRASHES_TO_REFUSE_IN_WAVE) return true;
    return length >= CRASHES_TO_REFUSE && !surroundings.isWave();
  }

  override readRefusalMs(refusalMs: number): number {
    return refusalMs;
  }

  /** A fingerprint holds the account already. */
  override isRefusedFor(): boolean {
    return true;
  }

  protected override findClearing(): AnswerProgress {
    return 'whole';
  }

  protected override buildKey({target}: Crash): string {
    return target;
  }

  protected override describeRun(): Partial<CrashReport['crashes'][number]> {
    return {};
  }
}
