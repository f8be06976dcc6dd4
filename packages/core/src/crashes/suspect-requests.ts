/**
 * Requests under which servers have crashed, by what they have in common: their
 * whole content or a part of their prompts. Gates tell each other of every crash,
 * because the next such request may come to any gate.
 */
import {createHash} from 'node:crypto';
import {LRUCache} from 'lru-cache';
import {parseCrash, toCrash} from './crash.js';
import {isPartId} from './fingerprint.js';
import {SuspectTable} from './suspect-table.js';
import {TableSurroundings} from './table-surroundings.js';
import {createLogger} from '../log.js';
import {createCounters} from '../metrics.js';
import type {LogFields} from '../log.js';
import type {Counters} from '../metrics.js';
import type {Crash, CrashedRun} from './crash.js';
import type {CrashReport} from './crash-report.js';
import type {Fingerprint} from './fingerprint.js';
import type {
  AnswerProgress,
  SuspectFeature,
  Verdict,
} from './suspect-feature.js';

/** Default time for which a feature is refused, in ms. */
export const DEFAULT_REFUSAL_MS = 600_000;

/** Time for which a feature is remembered after its newest crash, in ms. */
const RETENTION_MS = 3_600_000;

/**
 * Time for which an answer is remembered, in ms; above the time for which peers
 * repeat older crashes.
 */
const ANSWER_RETENTION_MS = 10_000;

/** Maximum number of reports in one message, which bounds its size. */
const MAX_REPORTS = 64;

/**
 * Time for which an observation of this gate is repeated in its heartbeats, in
 * ms: three heartbeats, as datagrams are lost now and then.
 */
const REPEAT_MS = 3200;

/** Shortest time between two corrections of peers on one feature, in ms. */
const CORRECTION_INTERVAL_MS = 500;

/** Maximum number of parts whose latest answers are remembered. */
const MAX_KNOWN_PARTS = 4096;

/** Maximum number of parts of one prompt that crashes and answers count for. */
const MAX_PARTS = 48;

/** Maximum number of features by which suspects are kept apart. */
const MAX_TRIAL_IDS = 16;

const NO_ENDED: ReadonlyMap<string, number> = new Map();

/** Log of the decisions on suspect requests. */
export interface SuspectLog {
  info(event: string, fields: LogFields): void;
  warn(event: string, fields: LogFields): void;
}

/**
 * Called when a feature is refused from now on.
 *
 * @param isRefused - Returns whether a request is refused because of it.
 */
export type RefusalListener = (
  isRefused: (fingerprint: Fingerprint) => boolean,
) => void;

/** Dependencies of the suspect requests of one gate. */
export interface SuspectRequestsOptions {
  /** Time from the newest crash during which requests are refused, in ms. */
  readonly refusalMs: number;
  readonly log: SuspectLog;
  readonly counters: Counters;
  readonly readNow: () => number;
  /**
   * Sends observations of this process to the others.
   *
   * @default none
   */
  readonly announce?: (reports: readonly CrashReport[]) => void;
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
 * suspects.recordCrash({fingerprint, target: 'i-1'});
 * suspects.judge(fingerprint); // 'suspect'
 */
export class SuspectRequests {
  private readonly table = new SuspectTable();
  /** Features that this gate observed, and the time to repeat them until. */
  private readonly repeatUntil = new Map<string, number>();
  private readonly refusalListeners = new Set<RefusalListener>();
  /** Times at which peers were last corrected, by feature. */
  private readonly correctedAt = new LRUCache<string, number>({
    max: MAX_KNOWN_PARTS,
  });
  /** Times at which the newest answers began, by part. */
  private readonly begunAt = new LRUCache<string, number>({
    max: MAX_KNOWN_PARTS,
  });
  /** Times at which the newest lasting answers began, by part. */
  private readonly provenAt = new LRUCache<string, number>({
    max: MAX_KNOWN_PARTS,
  });

  constructor(private readonly options: SuspectRequestsOptions) {}

  /** Number of remembered features. */
  get size(): number {
    return this.table.size;
  }

  /** Number of features whose requests are refused. */
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
    if (this.table.size === 0) return 'free';
    if (this.listRefusing(fingerprint).length > 0) return 'refused';
    return this.listTrialIds(fingerprint).length > 0 ? 'suspect' : 'free';
  }

  /**
   * Lists the ids of the features for which a request is suspect. Requests that
   * share one run one at a time.
   */
  listTrialIds(fingerprint: Fingerprint): readonly string[] {
    return this.findFeatures(fingerprint)
      .filter(feature =>
        feature.isSuspect(this.describeSurroundings(feature).listExplained()),
      )
      .slice(0, MAX_TRIAL_IDS)
      .map(({id}) => id);
  }

  /** Returns the time for which a request is still refused, in ms. */
  readRefusalLeftMs(fingerprint: Fingerprint): number {
    const leftMs = this.listRefusing(fingerprint).map(feature =>
      this.readLeftMs(feature),
    );
    return Math.max(0, ...leftMs);
  }

  /** Lists the ids of the features for which a request is refused. */
  listRefusingIds(fingerprint: Fingerprint): readonly string[] {
    return this.listRefusing(fingerprint).map(({id}) => id);
  }

  /** Lists the servers that have crashed under requests like this one. */
  listCrashed(fingerprint: Fingerprint): readonly string[] {
    const refusing = this.listRefusing(fingerprint);
    const content = this.table.findContent(fingerprint);
    const features =
      refusing.length > 0 || content === undefined ? refusing : [content];
    return [...new Set(features.flatMap(({targets}) => targets))];
  }

  /** Records that a server has crashed under a request. */
  recordCrash(run: CrashedRun): void {
    const {readNow, counters, log} = this.options;
    const now = readNow();
    const crash = toCrash(run, now);
    const changed = this.listCrashFeatures(run.fingerprint, crash).filter(
      feature => feature.addCrash(crash),
    );
    if (changed.length === 0) return;
    counters.add('suspect.crashes');
    log.warn('request_suspected', {
      content: run.fingerprint.id,
      parts: changed.map(({id}) => id).filter(isPartId),
      target: crash.target,
      early: crash.isEarly,
      crashed: changed[0].targets,
    });
    if (crash.isEarly) this.scheduleRepeat(changed, now);
    this.refuseIfGuilty(changed[0], 'own');
    this.refuseGuiltyParts('own');
    this.announce(changed, now);
  }

  /**
   * Records that an answer to a request has begun, which clears the parts of its
   * prompt.
   */
  recordBegin(fingerprint: Fingerprint): void {
    const now = this.options.readNow();
    for (const id of fingerprint.partIds.slice(0, MAX_PARTS))
      this.begunAt.set(id, now);
    for (const part of this.table.listParts())
      if (!fingerprint.isFeature(part.id)) part.recordOtherBegin(now);
    const parts = this.table.findParts(fingerprint);
    if (parts.length > 0) this.recordProgress(parts, 'begun', now);
  }

  /**
   * Records that an answer to a request has gone on for longer than a crash at its
   * begin takes.
   *
   * @param beganAt - Time of its first output, in ms.
   */
  recordLasting(fingerprint: Fingerprint, beganAt: number): void {
    for (const id of fingerprint.partIds.slice(0, MAX_PARTS))
      this.provenAt.set(id, beganAt);
    const parts = this.table.findParts(fingerprint);
    if (parts.length === 0) return;
    this.recordProgress(parts, 'begun', beganAt);
    this.recordProgress(parts, 'lasted', beganAt);
  }

  /**
   * Records a whole answer to a request, which clears it.
   *
   * @param beganAt - Time of its first output, in ms; now if it came at once.
   */
  recordAnswer(fingerprint: Fingerprint, beganAt?: number): void {
    const now = this.options.readNow();
    this.recordLasting(fingerprint, beganAt ?? now);
    const content = this.table.findContent(fingerprint);
    if (content !== undefined) this.recordProgress([content], 'whole', now);
  }

  /** Merges what a peer knows. */
  merge(reports: readonly CrashReport[]): void {
    for (const report of reports) this.mergeReport(report);
  }

  /** Lists reports of what this gate has observed within the last heartbeats. */
  listRecent(): readonly CrashReport[] {
    const now = this.options.readNow();
    const reports: CrashReport[] = [];
    for (const [id, until] of this.repeatUntil) {
      const feature = this.table.find(id);
      if (until < now || feature === undefined) this.repeatUntil.delete(id);
      else reports.push(feature.toReport(now));
    }
    return reports.slice(-MAX_REPORTS);
  }

  /** Lists reports of all features, refused ones first. */
  listAll(): readonly CrashReport[] {
    const now = this.options.readNow();
    return this.table
      .listByImportance()
      .slice(0, MAX_REPORTS)
      .map(feature => feature.toReport(now));
  }

  /** Hash of the refused features, by which gates compare; absent if none. */
  hashRefused(): string | undefined {
    const refused = this.table.listRefused();
    if (refused.length === 0) return undefined;
    const text = refused.map(({id}) => id).sort();
    return createHash('sha256')
      .update(text.join())
      .digest('base64url')
      .slice(0, 6);
  }

  /** Forgets features whose newest crash or answer is long past. */
  expire(): void {
    const now = this.options.readNow();
    this.refuseGuiltyParts('own');
    for (const feature of this.table.list()) {
      feature.expireCleared(now);
      if (feature.isRefused && this.readLeftMs(feature) === 0)
        this.endRefusal(feature);
      const retentionMs =
        feature.targets.length === 0 ? ANSWER_RETENTION_MS : RETENTION_MS;
      if (now - feature.changedAt > retentionMs) this.table.drop(feature);
    }
  }

  private findFeatures(fingerprint: Fingerprint): readonly SuspectFeature[] {
    const content = this.table.findContent(fingerprint);
    const parts = this.table.findParts(fingerprint);
    const features = content === undefined ? parts : [content, ...parts];
    return features.filter(({hasCrashes}) => hasCrashes);
  }

  /**
   * Lists the features that refuse a request. Parts that were never seen apart
   * refuse only requests with all of them; one with some of them runs as a
   * suspect, and tells them apart.
   */
  private listRefusing(fingerprint: Fingerprint): readonly SuspectFeature[] {
    return this.findFeatures(fingerprint).filter(
      feature =>
        this.readLeftMs(feature) > 0 &&
        feature.isRefusedFor(fingerprint.account) &&
        this.describeSurroundings(feature)
          .listRivals()
          .every(rival => fingerprint.isFeature(rival.id)),
    );
  }

  private describeSurroundings(feature: SuspectFeature): TableSurroundings {
    return new TableSurroundings(
      feature,
      this.table,
      this.options.readNow(),
      () => this.options.listEnded?.() ?? NO_ENDED,
    );
  }

  /** Lists the features of a crashed run; its parts only for an early crash. */
  private listCrashFeatures(
    fingerprint: Fingerprint,
    {isEarly}: Crash,
  ): readonly SuspectFeature[] {
    const content = this.table.findOrAdd(fingerprint.id);
    if (!isEarly) return [content];
    const parts = this.pickParts(fingerprint).map(id =>
      this.findOrAddFeature(id),
    );
    return [content, ...parts];
  }

  /** Picks parts to suspect; those without good answers go first. */
  private pickParts({partIds}: Fingerprint): readonly string[] {
    if (partIds.length <= MAX_PARTS) return partIds;
    const unproven = partIds.filter(id => !this.provenAt.has(id));
    return [...new Set([...unproven, ...partIds])].slice(0, MAX_PARTS);
  }

  /** Finds a feature, or adds it with what is known of earlier answers. */
  private findOrAddFeature(id: string): SuspectFeature {
    const known = this.table.find(id);
    if (known !== undefined) return known;
    const feature = this.table.findOrAdd(id);
    const begunAt = this.begunAt.get(id);
    if (begunAt !== undefined) feature.recordProgress('begun', begunAt);
    const provenAt = this.provenAt.get(id);
    if (provenAt !== undefined) feature.recordProgress('lasted', provenAt);
    return feature;
  }

  private recordProgress(
    features: readonly SuspectFeature[],
    progress: AnswerProgress,
    at: number,
  ): void {
    const now = this.options.readNow();
    const cleared = features.filter(feature => {
      const {targets} = feature;
      if (!feature.recordProgress(progress, at, true)) return false;
      this.recordCleared(feature, targets, 'own');
      return true;
    });
    if (cleared.length === 0) return;
    this.refuseGuiltyParts('own');
    this.scheduleRepeat(cleared, now);
    this.announce(cleared, now);
  }

  private scheduleRepeat(
    features: readonly SuspectFeature[],
    now: number,
  ): void {
    for (const {id} of features) this.repeatUntil.set(id, now + REPEAT_MS);
  }

  private announce(features: readonly SuspectFeature[], now: number): void {
    this.options.announce?.(features.map(feature => feature.toReport(now)));
  }

  /** Lets one request at a time run again, whose crash would renew the refusal. */
  private endRefusal(feature: SuspectFeature): void {
    feature.endRefusal();
    this.options.counters.add('suspect.refusal_ended');
    this.options.log.info('request_refusal_ended', {
      content: feature.id,
      crashed: feature.targets,
    });
  }

  private readLeftMs(feature: SuspectFeature): number {
    if (!feature.isRefused) return 0;
    const {refusalMs, readNow} = this.options;
    const endsAt = feature.lastCrashAt + feature.readRefusalMs(refusalMs);
    return Math.max(0, endsAt - readNow());
  }

  private mergeReport(report: CrashReport): void {
    const now = this.options.readNow();
    // An answer may come before the crashes that it clears.
    let isChanged = this.table.find(report.content) === undefined;
    const feature = this.findOrAddFeature(report.content);
    isChanged = this.mergeProgress(feature, report, now) || isChanged;
    const crashes = report.crashes.map(crash => parseCrash(crash, now));
    for (const crash of crashes) {
      if (!feature.addCrash(crash)) continue;
      isChanged = true;
      this.options.onPeerCrash?.(crash.target);
    }
    if (isChanged) this.options.forward?.(feature.toReport(now));
    if (crashes.some(crash => feature.isClearedHere(crash)))
      this.announceAgain(feature, now);
    const isRefusedByPeer =
      report.refused === true &&
      feature.isVerdictShared &&
      feature.targets.length > 0;
    if (isRefusedByPeer) this.refuse(feature, 'peer');
    else this.refuseIfGuilty(feature, 'peer');
    const isNewVerdict =
      report.refused === true && isPartId(feature.id) && !feature.isRefused;
    if (isChanged || isNewVerdict)
      this.refuseGuiltyParts('peer', isNewVerdict ? feature.id : undefined);
  }

  /**
   * Announces again what has cleared a crash that a peer still counts, as that gate
   * was suspended or the announcement was lost.
   */
  private announceAgain(feature: SuspectFeature, now: number): void {
    const toldAt = this.correctedAt.get(feature.id) ?? -Infinity;
    if (now - toldAt < CORRECTION_INTERVAL_MS) return;
    this.correctedAt.set(feature.id, now);
    this.announce([feature], now);
  }

  /** Merges answers; returns whether they dropped crashes. */
  private mergeProgress(
    feature: SuspectFeature,
    {begunMs, lastedMs, answeredMs}: CrashReport,
    now: number,
  ): boolean {
    const {isRefused, targets} = feature;
    const ages = {begun: begunMs, lasted: lastedMs, whole: answeredMs};
    let hasDropped = false;
    for (const [progress, ageMs] of Object.entries(ages))
      if (ageMs !== undefined)
        hasDropped =
          feature.recordProgress(progress as AnswerProgress, now - ageMs) ||
          hasDropped;
    if (hasDropped && isRefused && !feature.isRefused)
      this.recordCleared(feature, targets, 'peer');
    return hasDropped;
  }

  private refuseIfGuilty(feature: SuspectFeature, source: string): void {
    if (isPartId(feature.id)) return;
    if (feature.isGuilty(this.describeSurroundings(feature)))
      this.refuse(feature, source);
  }

  /**
   * Judges all parts anew. A part with more crashes may explain those of others, so
   * it goes first, and all gates come to the same verdicts. A wave of other crashes
   * delays a refusal, but neither ends one nor outweighs that of a peer.
   *
   * @param refusedByPeer - Id of a part that a peer refuses.
   */
  private refuseGuiltyParts(source: string, refusedByPeer?: string): void {
    let isOneFreed = false;
    for (const part of this.table.listPartsByCrashes()) {
      const surroundings = this.describeSurroundings(part);
      const isWaveOver = part.isRefused || part.id === refusedByPeer;
      const isGuilty = part.isGuilty({
        now: this.options.readNow(),
        listExplained: () => surroundings.listExplained(),
        isWave: () => !isWaveOver && surroundings.isWave(),
      });
      if (isGuilty) {
        this.refuse(part, source);
      } else if (part.isRefused) {
        part.endRefusal();
        isOneFreed = true;
      }
    }
    // Parts that were inseparable from a freed one now refuse requests alone.
    if (isOneFreed)
      for (const feature of this.table.listRefused())
        this.notifyRefusal(feature);
  }

  private refuse(feature: SuspectFeature, source: string): void {
    const {refusalMs, readNow, counters, log} = this.options;
    const endsAt = feature.lastCrashAt + feature.readRefusalMs(refusalMs);
    const leftMs = endsAt - readNow();
    if (feature.isRefused || leftMs <= 0) return;
    feature.markRefused();
    counters.add('suspect.condemned');
    log.warn('request_condemned', {
      content: feature.id,
      source,
      crashed: feature.targets,
      early: feature.listEarly().length,
      leftMs: Math.round(leftMs),
    });
    this.notifyRefusal(feature);
  }

  private notifyRefusal({id}: SuspectFeature): void {
    const isRefused = (fingerprint: Fingerprint) =>
      fingerprint.isFeature(id) && this.judge(fingerprint) === 'refused';
    for (const listener of [...this.refusalListeners]) listener(isRefused);
  }

  /** Records that answers have cleared crashes of a feature. */
  private recordCleared(
    feature: SuspectFeature,
    crashed: readonly string[],
    source: string,
  ): void {
    const {counters, log} = this.options;
    counters.add('suspect.cleared');
    log.info('request_cleared', {content: feature.id, source, crashed});
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
