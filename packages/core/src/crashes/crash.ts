/** Crashes of servers under requests. */
import type {ReportedCrash} from './crash-report.js';
import type {Fingerprint} from './fingerprint.js';

/**
 * Time from the first output of a run within which a crash may still be due to its
 * begin, in ms; above an iteration of an engine.
 */
export const BEGIN_WINDOW_MS = 300;

/** Length of the name of a run's content in the crashes of a prompt part. */
const RUN_LENGTH = 8;

/** Crash of one server under a request. */
export interface Crash {
  /** Incarnation id of the server. */
  readonly target: string;
  /** Time on the monotonic clock, in ms. */
  readonly at: number;
  /** Whether the run had just begun or was still to begin. */
  readonly isEarly: boolean;
  /** Whether the run had sent output. */
  readonly hasBegun: boolean;
  /** Time at which the request was sent to the server, in ms. */
  readonly sentAt: number;
  /** Short name of the content of the request. */
  readonly run: string;
  /** Client account of the request; absent on public routes. */
  readonly account: string | undefined;
}

/** Run of a request under which its server has crashed. */
export interface CrashedRun {
  readonly fingerprint: Fingerprint;
  /** Incarnation id of the server. */
  readonly target: string;
  /**
   * Time at which the request was sent to the server, in ms.
   *
   * @default the time of the crash
   */
  readonly sentAt?: number;
  /** Time of the first output, in ms; absent before. */
  readonly beganAt?: number;
  /**
   * Time at which the server closed the connection, in ms.
   *
   * @default now
   */
  readonly brokenAt?: number;
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
 * Describes the crash of a run.
 *
 * @param now - Time at which the crash became known, in ms.
 * @example
 * feature.addCrash(toCrash(run, performance.now()));
 */
export function toCrash(run: CrashedRun, now: number): Crash {
  const {fingerprint, target, beganAt, brokenAt = now} = run;
  return {
    target,
    at: now,
    isEarly: isEarlyCrash(beganAt, brokenAt),
    hasBegun: beganAt !== undefined,
    sentAt: run.sentAt ?? now,
    run: fingerprint.id.slice(-RUN_LENGTH),
    account: fingerprint.account,
  };
}

/**
 * Reads a crash from the report of a peer.
 *
 * @example
 * feature.addCrash(parseCrash(report.crashes[0], performance.now()));
 */
export function parseCrash(
  {target, ageMs, early, begun, ranMs = 0, run = '', account}: ReportedCrash,
  now: number,
): Crash {
  const at = now - ageMs;
  return {
    target,
    at,
    isEarly: early === true,
    hasBegun: begun === true,
    sentAt: at - ranMs,
    run,
    account,
  };
}
