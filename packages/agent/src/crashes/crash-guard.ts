/**
 * Keeps requests away from the target of this agent under which targets have
 * crashed, and finds out under which requests this target crashes.
 */
import {createDispatchFingerprint} from '@nutmeggauge/core';
import type {
  DispatchOutcome,
  DispatchRequest,
  ServerAddress,
  ServerCheck,
  SuspectRequests,
} from '@nutmeggauge/core';

/** Outcomes that a crash of the target causes. */
const CRASH_REASONS: ReadonlySet<string> = new Set([
  'target_failed',
  'target_stream_broken',
  'target_stream_ended',
]);

/**
 * Time within which broken runs belong to the same crash, in ms; below the time
 * in which a target starts again.
 */
const SAME_CRASH_MS = 200;

/** Run of a request at the target. */
export interface TargetRun {
  readonly request: DispatchRequest;
  /** Time at which the request was sent to the target, in epoch ms. */
  readonly sentAt: number;
  /** Time of the first token, in epoch ms; absent before. */
  readonly firstTokenAt: number | undefined;
  /** Whether the run was cancelled by its caller or by its deadline. */
  readonly isCancelled: boolean;
}

/** Dependencies of a crash guard. */
export interface CrashGuardOptions {
  /** Id of the target in configuration records. */
  readonly targetId: string;
  readonly address: ServerAddress;
  readonly serverCheck: ServerCheck;
  readonly suspects: SuspectRequests;
  readonly readNow: () => number;
}

/**
 * Guards one target.
 *
 * @example
 * if (guard.readRefusalLeftMs(request) > 0) refuse();
 * await guard.recordOutcome({request, firstTokenAt, isCancelled: false}, outcome);
 */
export class CrashGuard {
  private latestCrash: {readonly id: string; readonly at: number} | undefined;

  constructor(private readonly options: CrashGuardOptions) {}

  /** Returns the time for which a request is still refused, in ms. */
  readRefusalLeftMs(request: DispatchRequest): number {
    const fingerprint = createDispatchFingerprint(request);
    return this.options.suspects.readRefusalLeftMs(fingerprint);
  }

  /** Registers a listener for requests that are refused from now on. */
  onRefusal(
    listener: (isRefused: (r: DispatchRequest) => boolean) => void,
  ): void {
    this.options.suspects.onRefusal(isRefused =>
      listener(request => isRefused(createDispatchFingerprint(request))),
    );
  }

  /** Records that the answer to a request has begun. */
  recordBegin(request: DispatchRequest): void {
    this.options.suspects.recordBegin(createDispatchFingerprint(request));
  }

  /** Records how a run ended; resolves when a crash of the target is recorded. */
  async recordOutcome(run: TargetRun, outcome: DispatchOutcome): Promise<void> {
    const {suspects, serverCheck, address} = this.options;
    const fingerprint = createDispatchFingerprint(run.request);
    const {sentAt, firstTokenAt: beganAt} = run;
    if (outcome.status === 'done')
      return suspects.recordAnswer(fingerprint, beganAt);
    const isBroken =
      outcome.status === 'unknown' && CRASH_REASONS.has(outcome.reason);
    if (!isBroken || run.isCancelled) return;
    const brokenAt = this.options.readNow();
    if ((await serverCheck.check(address)) !== 'ended') return;
    const target = this.findCrash(brokenAt);
    suspects.recordCrash({fingerprint, target, sentAt, beganAt, brokenAt});
  }

  /** Returns the id of the crash that broke a run off at `at`. */
  private findCrash(at: number): string {
    const {latestCrash} = this;
    if (latestCrash !== undefined && at - latestCrash.at < SAME_CRASH_MS)
      return latestCrash.id;
    this.latestCrash = {id: `${this.options.targetId}@${at}`, at};
    return this.latestCrash.id;
  }
}
