/**
 * Which targets are cold, as this gate knows it: from their entries, from their
 * answers, and because their process appeared during traffic.
 */
import type {Counters} from '@nutmeggauge/core';
import type {FactPosition} from '../fleet/fact-position.js';
import {isNewer} from '../fleet/fact-position.js';
import type {ColdBounds} from '../gate-settings.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {ServiceConfig, Target} from '../types.js';

/**
 * Time for which a removed incarnation is remembered, in ms: its entry may have
 * expired during an outage of the store, and a return of it is no start.
 */
const SEEN_RETENTION_MS = 600_000;

/** Where a gate learned that a target is cold. */
export type ColdCause = 'entry' | 'start' | 'answer';

/** A cold target. */
interface ColdTarget {
  readonly service: string;
  readonly until: number;
}

/** An incarnation whose entry was seen. */
interface SeenTarget {
  readonly position: FactPosition;
  /** Time of its removal, in ms; undefined while it has an entry. */
  readonly removedAt: number | undefined;
}

/** Dependencies of {@link ColdTargets}. */
export interface ColdTargetsOptions {
  /** Bounds of the settings; without them, no target is cold. */
  readonly bounds: ColdBounds | undefined;
  readonly findService: (name: string) => ServiceConfig | undefined;
  /** Called when a target turns cold. */
  readonly onCold: (target: string) => void;
  readonly log: DecisionLog;
  readonly counters: Counters;
  readonly readNow: () => number;
}

/**
 * The cold targets of one gate.
 *
 * @example
 * targets.observeEntry(target, 'store', true);
 * targets.findBound('i-1'); // 47
 */
export class ColdTargets {
  private readonly cold = new Map<string, ColdTarget>();
  private readonly seen = new Map<string, SeenTarget>();

  constructor(private readonly options: ColdTargetsOptions) {}

  /** Number of cold targets. */
  get size(): number {
    return this.cold.size;
  }

  /** Returns whether a target is cold. */
  isCold(target: string): boolean {
    return this.findBound(target) !== undefined;
  }

  /**
   * Returns the most requests that a target may get from all gates in any second;
   * undefined if it is not cold.
   */
  findBound(target: string): number | undefined {
    const cold = this.find(target);
    const {bounds} = this.options;
    if (cold === undefined || bounds === undefined) return undefined;
    const start = this.options.findService(cold.service)?.coldStart;
    if (start === undefined) return undefined;
    return Math.floor(start.requestsPerSecond * bounds.overage + bounds.slack);
  }

  /**
   * Returns the share of its cold time that a target has behind it, from 0 to 1;
   * 1 if it is not cold.
   */
  readProgress(target: string): number {
    const cold = this.find(target);
    if (cold === undefined) return 1;
    const start = this.options.findService(cold.service)?.coldStart;
    if (start === undefined) return 1;
    const leftMs = cold.until - this.options.readNow();
    return Math.max(0, 1 - leftMs / start.durationMs);
  }

  /**
   * Observes an entry that is new or says that its target is cold.
   *
   * @param isHearsay - Whether it comes from a peer, which may have read it long
   *   ago.
   * @param isDuringTraffic - Whether the gate has known targets before. Those of
   *   its first read may have run for long.
   */
  observeEntry(
    {id, service, coldLeftMs = 0, position}: Target,
    isHearsay: boolean,
    isDuringTraffic: boolean,
  ): void {
    const start = this.options.findService(service)?.coldStart;
    const seen = this.seen.get(id);
    this.seen.set(id, {position, removedAt: undefined});
    if (start === undefined || this.options.bounds === undefined) return;
    const {durationMs} = start;
    if (seen === undefined && isDuringTraffic)
      this.mark(id, service, durationMs, 'start');
    // The time left was written once; it counts from the first sight only.
    if (seen !== undefined && !isNewer(position, seen.position)) return;
    const statedMs = isHearsay ? Math.min(coldLeftMs, durationMs) : coldLeftMs;
    this.mark(id, service, statedMs, 'entry');
  }

  /** Records what an answer of a target says; 0 ends its cold time. */
  recordAnswer(
    {id, service}: Target,
    coldLeftMs: number | 'malformed' | undefined,
  ): void {
    if (coldLeftMs === undefined) return;
    if (coldLeftMs === 'malformed') {
      this.options.counters.add('cold.malformed');
      return;
    }
    if (this.options.bounds === undefined) return;
    if (this.options.findService(service)?.coldStart === undefined) return;
    if (coldLeftMs === 0) this.endCold(id, 'answer');
    else this.mark(id, service, coldLeftMs, 'answer');
  }

  /** Records that a target was removed. */
  drop(id: string): void {
    this.cold.delete(id);
    const seen = this.seen.get(id);
    if (seen === undefined) return;
    this.seen.set(id, {...seen, removedAt: this.options.readNow()});
  }

  /** Forgets the targets that are warm and those removed long ago. */
  expire(): void {
    const now = this.options.readNow();
    for (const [id, {until}] of this.cold)
      if (until <= now) this.endCold(id, 'time');
    for (const [id, {removedAt}] of this.seen)
      if (removedAt !== undefined && now - removedAt > SEEN_RETENTION_MS)
        this.seen.delete(id);
  }

  private find(target: string): ColdTarget | undefined {
    const cold = this.cold.get(target);
    if (cold === undefined || cold.until <= this.options.readNow())
      return undefined;
    return cold;
  }

  /** Marks a target as cold for `leftMs`; a longer time known before holds. */
  private mark(
    id: string,
    service: string,
    leftMs: number,
    cause: ColdCause,
  ): void {
    const {readNow, log, counters, onCold} = this.options;
    const until = readNow() + leftMs;
    const known = this.find(id);
    if (leftMs <= 0 || (known !== undefined && known.until >= until)) return;
    this.cold.set(id, {service, until});
    if (known !== undefined) return;
    counters.add('cold.targets');
    const bound = this.findBound(id);
    log.info('target_cold', {id, service, leftMs, cause, bound});
    onCold(id);
  }

  private endCold(id: string, cause: 'time' | 'answer'): void {
    if (!this.cold.delete(id)) return;
    this.options.log.info('target_warm', {id, cause});
  }
}
