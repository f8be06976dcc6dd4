/**
 * Requests under which servers have crashed, by their content. Gates tell each
 * other of every crash, because a caller may send the request again at any gate.
 */
import {createHash} from 'node:crypto';
import {SuspectTable} from './suspect-table.js';
import {createLogger} from '../log.js';
import {createCounters} from '../metrics.js';
import type {LogFields} from '../log.js';
import type {Counters} from '../metrics.js';
import type {CrashReport} from './crash-report.js';
import type {Fingerprint} from './fingerprint.js';
import type {SuspectRequest, Verdict} from './suspect-request.js';

/** Default time for which a content is refused, in ms. */
export const DEFAULT_REFUSAL_MS = 600_000;

/** Time for which a content is remembered after its newest crash, in ms. */
const RETENTION_MS = 3_600_000;

/**
 * Time for which a whole answer is remembered, in ms; above the time for which
 * peers repeat older crashes.
 */
const ANSWER_RETENTION_MS = 10_000;

/** Maximum number of reports in one message, which bounds its size. */
const MAX_REPORTS = 64;

/**
 * Time for which an observation of this gate is repeated in its heartbeats, in
 * ms: three heartbeats, as datagrams are lost now and then.
 */
const REPEAT_MS = 3200;

/** Period around the crashes of a content in which others form a wave, in ms. */
const WAVE_WINDOW_MS = 5000;

/** Number of crashes that a content does not explain and that form a wave. */
const WAVE_CRASHES = 2;

/** Log of the decisions on suspect requests. */
export interface SuspectLog {
  info(event: string, fields: LogFields): void;
  warn(event: string, fields: LogFields): void;
}

/** Called when requests with a content are refused from now on. */
export type RefusalListener = (content: string) => void;

/** Dependencies of the suspect requests of one gate. */
export interface SuspectRequestsOptions {
  /** Time from the newest crash during which requests are refused, in ms. */
  readonly refusalMs: number;
  readonly log: SuspectLog;
  readonly counters: Counters;
  readonly readNow: () => number;
  /**
   * Sends an observation of this process to the others.
   *
   * @default none
   */
  readonly announce?: (report: CrashReport) => void;
  /**
   * Passes a report on that told something new, where not every process hears
   * every other one.
   *
   * @default none
   */
  readonly forward?: (report: CrashReport) => void;
  /**
   * Lists the times at which servers ended, by incarnation id, also of those that
   * ended under no known request.
   *
   * @default none
   */
  readonly listEnded?: () => ReadonlyMap<string, number>;
  /**
   * Called for each crash that a peer reports.
   *
   * @default none
   */
  readonly onPeerCrash?: (target: string) => void;
}

/**
 * Suspect requests that one gate knows.
 *
 * @example
 * suspects.recordCrash(fingerprint.id, 'i-1', true);
 * suspects.judge(fingerprint); // 'suspect'
 */
export class SuspectRequests {
  private readonly table = new SuspectTable();
  /** Contents that this gate observed, and the time to repeat them until. */
  private readonly repeatUntil = new Map<string, number>();
  private readonly refusalListeners = new Set<RefusalListener>();

  constructor(private readonly options: SuspectRequestsOptions) {}

  /** Number of remembered contents. */
  get size(): number {
    return this.table.size;
  }

  /** Number of contents whose requests are refused. */
  countRefused(): number {
    return this.table.listRefused().length;
  }

  /** Registers a listener for refusals; returns a function that removes it. */
  onRefusal(listener: RefusalListener): () => void {
    this.refusalListeners.add(listener);
    return () => void this.refusalListeners.delete(listener);
  }

  /** Judges what a request may do. */
  judge(fingerprint: Fingerprint): Verdict {
    const suspect = this.table.find(fingerprint);
    if (suspect === undefined) return 'free';
    if (this.readLeftMs(suspect) > 0) return 'refused';
    return suspect.isSuspect ? 'suspect' : 'free';
  }

  /** Returns the time for which a request is still refused, in ms. */
  readRefusalLeftMs(fingerprint: Fingerprint): number {
    const suspect = this.table.find(fingerprint);
    return suspect === undefined ? 0 : this.readLeftMs(suspect);
  }

  /** Lists the servers that have crashed under a request. */
  listCrashed(fingerprint: Fingerprint): readonly string[] {
    return this.table.find(fingerprint)?.targets ?? [];
  }

  /**
   * Records that a server has crashed under a request.
   *
   * @param isEarly - Whether the run had just begun or was still to begin.
   */
  recordCrash(content: string, target: string, isEarly: boolean): void {
    const {readNow, counters, log} = this.options;
    const now = readNow();
    const suspect = this.table.findOrAdd(content);
    if (!suspect.addCrash({target, at: now, isEarly})) return;
    counters.add('suspect.crashes');
    log.warn('request_suspected', {
      content,
      target,
      early: isEarly,
      crashed: suspect.targets,
    });
    if (isEarly) this.repeatUntil.set(content, now + REPEAT_MS);
    this.refuseIfGuilty(suspect, 'own');
    this.options.announce?.(suspect.toReport(now));
  }

  /** Records a whole answer to a request, which clears it. */
  recordAnswer(fingerprint: Fingerprint): void {
    const suspect = this.table.find(fingerprint);
    if (suspect === undefined || suspect.targets.length === 0) return;
    const now = this.options.readNow();
    this.recordCleared(suspect, 'own');
    suspect.recordAnswer(now);
    this.repeatUntil.set(suspect.content, now + REPEAT_MS);
    this.options.announce?.(suspect.toReport(now));
  }

  /** Merges what a peer knows. */
  merge(reports: readonly CrashReport[]): void {
    for (const report of reports) this.mergeReport(report);
  }

  /** Lists reports of what this gate has observed within the last heartbeats. */
  listRecent(): readonly CrashReport[] {
    const now = this.options.readNow();
    const reports: CrashReport[] = [];
    for (const [content, until] of this.repeatUntil) {
      const suspect = this.table.findContent(content);
      if (until < now || suspect === undefined)
        this.repeatUntil.delete(content);
      else reports.push(suspect.toReport(now));
    }
    return reports.slice(-MAX_REPORTS);
  }

  /** Lists reports of all contents, refused ones first. */
  listAll(): readonly CrashReport[] {
    const now = this.options.readNow();
    return this.table
      .listByImportance()
      .slice(0, MAX_REPORTS)
      .map(suspect => suspect.toReport(now));
  }

  /** Hash of the refused contents, by which gates compare; absent if none. */
  hashRefused(): string | undefined {
    const refused = this.table.listRefused();
    if (refused.length === 0) return undefined;
    const text = refused.map(({content}) => content).sort();
    return createHash('sha256')
      .update(text.join())
      .digest('base64url')
      .slice(0, 6);
  }

  /** Forgets contents whose newest crash or answer is long past. */
  expire(): void {
    const now = this.options.readNow();
    for (const suspect of this.table.list()) {
      if (suspect.isRefused && this.readLeftMs(suspect) === 0)
        this.endRefusal(suspect);
      const retentionMs =
        suspect.targets.length === 0 ? ANSWER_RETENTION_MS : RETENTION_MS;
      if (now - suspect.changedAt > retentionMs) this.table.drop(suspect);
    }
  }

  /** Lets one request at a time run again, whose crash would renew the refusal. */
  private endRefusal(suspect: SuspectRequest): void {
    suspect.endRefusal();
    this.options.counters.add('suspect.refusal_ended');
    this.options.log.info('request_refusal_ended', {
      content: suspect.content,
      crashed: suspect.targets,
    });
  }

  private readLeftMs(suspect: SuspectRequest): number {
    if (!suspect.isRefused) return 0;
    const {refusalMs, readNow} = this.options;
    return Math.max(0, suspect.lastCrashAt + refusalMs - readNow());
  }

  private mergeReport(report: CrashReport): void {
    const now = this.options.readNow();
    // An answer may come before the crashes that it clears.
    let isChanged = this.table.findContent(report.content) === undefined;
    const suspect = this.table.findOrAdd(report.content);
    if (report.answeredMs !== undefined)
      isChanged =
        this.mergeAnswer(suspect, now - report.answeredMs) || isChanged;
    for (const {target, ageMs, early} of report.crashes) {
      const crash = {target, at: now - ageMs, isEarly: early === true};
      if (!suspect.addCrash(crash)) continue;
      isChanged = true;
      this.options.onPeerCrash?.(target);
    }
    if (isChanged) this.options.forward?.(suspect.toReport(now));
    if (report.refused === true && suspect.targets.length > 0)
      this.refuse(suspect, 'peer');
    else this.refuseIfGuilty(suspect, 'peer');
  }

  /** Merges a whole answer; returns whether it dropped crashes. */
  private mergeAnswer(suspect: SuspectRequest, at: number): boolean {
    const before = suspect.targets.length;
    const wasRefused = suspect.isRefused;
    suspect.recordAnswer(at);
    if (wasRefused && before > 0 && !suspect.isRefused)
      this.recordCleared(suspect, 'peer');
    return suspect.targets.length < before;
  }

  private refuseIfGuilty(suspect: SuspectRequest, source: string): void {
    if (suspect.isGuilty(() => this.isWave(suspect)))
      this.refuse(suspect, source);
  }

  private refuse(suspect: SuspectRequest, source: string): void {
    const {refusalMs, readNow, counters, log} = this.options;
    const leftMs = suspect.lastCrashAt + refusalMs - readNow();
    if (suspect.isRefused || leftMs <= 0) return;
    suspect.markRefused();
    counters.add('suspect.condemned');
    log.warn('request_condemned', {
      content: suspect.content,
      source,
      crashed: suspect.targets,
      early: suspect.listEarly().length,
      leftMs: Math.round(leftMs),
    });
    for (const listener of [...this.refusalListeners])
      listener(suspect.content);
  }

  /**
   * Returns whether servers crash that neither the content nor a refused content
   * explains: innocent requests may then be hit twice by chance.
   */
  private isWave(suspect: SuspectRequest): boolean {
    const early = suspect.listEarly().map(({at}) => at);
    const since = Math.min(...early) - WAVE_WINDOW_MS;
    const until = Math.max(...early) + WAVE_WINDOW_MS;
    const explained = new Set(suspect.targets);
    const isNear = (at: number) => at >= since && at <= until;
    const ended = this.options.listEnded?.() ?? new Map<string, number>();
    const unexplained = new Set(
      [...ended].filter(([, at]) => isNear(at)).map(([target]) => target),
    );
    for (const other of this.table.list()) {
      if (other === suspect) continue;
      for (const {target, at} of other.listCrashes())
        if (other.isRefused) explained.add(target);
        else if (isNear(at)) unexplained.add(target);
    }
    for (const target of explained) unexplained.delete(target);
    return unexplained.size >= WAVE_CRASHES;
  }

  private recordCleared(
    {content, targets}: SuspectRequest,
    source: string,
  ): void {
    this.options.counters.add('suspect.cleared');
    this.options.log.info('request_cleared', {
      content,
      source,
      crashed: targets,
    });
  }
}

/**
 * Creates suspect requests that are not connected to other processes.
 *
 * @example
 * const suspects = createSuspectRequests({refusalMs: 600_000, readNow: Date.now});
 */
export function createSuspectRequests(
  options: Partial<SuspectRequestsOptions> = {},
): SuspectRequests {
  return new SuspectRequests({
    refusalMs: DEFAULT_REFUSAL_MS,
    log: createLogger('crashes'),
    counters: createCounters(),
    readNow: () => performance.now(),
    ...options,
  });
}
