/**
 * Permits to send requests to targets that name a limit or are cold. For each, one
 * gate hands out the permits of all gates: its home, which every gate finds
 * from the list of gates without further coordination.
 */
import {HomeTable} from '@nutmeggauge/core';
import {PermitBucket} from './permit-bucket.js';
import type {Counters} from '@nutmeggauge/core';
import type {ColdPermits} from './cold-permits.js';
import type {RequestLimits} from './request-limits.js';

/**
 * Time after which a home that has not answered counts as unable to, in ms:
 * longer than a round trip between regions.
 */
const ANSWER_TIMEOUT_MS = 100;

/** Time until a home that has not answered is asked again, in ms. */
const UNANSWERED_WAIT_MS = 500;

/** Time until a gate that is no home of the target is asked again, in ms. */
const NO_HOME_WAIT_MS = 200;

/** Question of a gate whether it may send a request to a target. */
export interface PermitQuestion {
  readonly from: string;
  readonly number: number;
  readonly target: string;
  /**
   * Limit that the asking gate knows, which the home may not know yet; null if the
   * target is only cold.
   */
  readonly perSecond: number | null;
  /** Most requests in any second if the target is cold, as the asking gate knows. */
  readonly coldBound?: number;
}

/** What restricts the requests to a target, as one gate knows it. */
type Restriction = Pick<PermitQuestion, 'perSecond' | 'coldBound'>;

/** Answer of the home of a target. */
export interface PermitAnswer {
  readonly number: number;
  /** 0 if the permit is granted, else the time until one is free, in ms. */
  readonly waitMs: number;
}

/** Sends the questions of one gate to its peers. */
export abstract class PermitMessenger {
  /** Asks a peer; the answer may be lost. */
  abstract askPermit(host: string, question: PermitQuestion): void;
}

/** Dependencies of {@link Permits}. */
export interface PermitsOptions {
  /** Host of this gate. */
  readonly host: string;
  readonly limits: RequestLimits;
  /** Permits of cold targets; absent if no target is cold ever. */
  readonly cold?: ColdPermits;
  readonly listGates: () => readonly string[];
  readonly messenger: PermitMessenger;
  readonly counters: Counters;
  readonly readNow: () => number;
}

/**
 * Permits of one gate, and those that it hands out.
 *
 * @example
 * if (await permits.claim('i-1')) send();
 */
export class Permits {
  private readonly homes = new HomeTable();
  /** Permits of the targets whose home this gate is. */
  private readonly buckets = new Map<string, PermitBucket>();
  /** Time from which a permit may be asked for again, by target. */
  private readonly blockedUntil = new Map<string, number>();
  /** Questions without an answer yet, by their number. */
  private readonly questions = new Map<number, (waitMs: number) => void>();
  private lastNumber = 0;

  constructor(private readonly options: PermitsOptions) {}

  /** Returns whether a target names a limit. */
  isLimited(target: string): boolean {
    return this.options.limits.find(target) !== undefined;
  }

  /** Returns whether no permit for a target can be had at present. */
  isBlocked(target: string): boolean {
    return this.readWaitMs(target) > 0;
  }

  /** Returns the time until a permit may be asked for, in ms; 0 for now. */
  readWaitMs(target: string): number {
    if (this.findRestriction(target) === undefined) return 0;
    const until = this.blockedUntil.get(target) ?? 0;
    return Math.max(0, until - this.options.readNow());
  }

  /**
   * Claims a permit for one request; every request to a target without a limit
   * that is not cold has one. After a refusal, the target is blocked until the
   * next permit.
   */
  async claim(target: string): Promise<boolean> {
    const restriction = this.findRestriction(target);
    if (restriction === undefined) return true;
    if (this.isBlocked(target)) return false;
    const {counters, cold, readNow} = this.options;
    const askedAt = readNow();
    const waitMs = await this.askHome(target, restriction);
    const isCold = restriction.coldBound !== undefined;
    const kind = isCold ? 'cold' : 'limit';
    counters.add(waitMs === 0 ? `${kind}.granted` : `${kind}.refused`);
    if (waitMs === 0) this.blockedUntil.delete(target);
    else this.blockedUntil.set(target, readNow() + waitMs);
    if (waitMs === 0 && isCold) cold?.hold(target, askedAt);
    return waitMs === 0;
  }

  /** Answers the question of a peer. */
  answer({number, target, perSecond, coldBound}: PermitQuestion): PermitAnswer {
    const {limits, host} = this.options;
    if (this.findHome(target) !== host) {
      this.buckets.delete(target);
      return {number, waitMs: NO_HOME_WAIT_MS};
    }
    const known = limits.find(target) ?? perSecond;
    const asked = {perSecond: known, coldBound};
    return {number, waitMs: this.claimOwn(target, asked)};
  }

  /** Receives the answer of a home. */
  receive({number, waitMs}: PermitAnswer): void {
    this.questions.get(number)?.(waitMs);
  }

  /** Forgets a target that was removed. */
  drop(target: string): void {
    this.buckets.delete(target);
    this.blockedUntil.delete(target);
    this.homes.remove(target);
  }

  private findRestriction(target: string): Restriction | undefined {
    const {limits, cold} = this.options;
    const perSecond = limits.find(target) ?? null;
    const coldBound = cold?.findBound(target);
    if (perSecond === null && coldBound === undefined) return undefined;
    return {perSecond, coldBound};
  }

  private findHome(target: string): string | undefined {
    this.homes.setIds(this.options.listGates());
    return this.homes.findHome(target);
  }

  private async askHome(
    target: string,
    restriction: Restriction,
  ): Promise<number> {
    const {host, readNow} = this.options;
    const home = this.findHome(target) ?? host;
    if (home === host) return this.claimOwn(target, restriction);
    this.buckets.delete(target);
    // Other requests go elsewhere until the answer has arrived.
    this.blockedUntil.set(target, readNow() + ANSWER_TIMEOUT_MS);
    return this.askPeer(home, target, restriction);
  }

  private askPeer(
    home: string,
    target: string,
    restriction: Restriction,
  ): Promise<number> {
    const {host, messenger, counters} = this.options;
    const number = ++this.lastNumber;
    return new Promise(resolve => {
      const settle = (waitMs: number) => {
        clearTimeout(timer);
        this.questions.delete(number);
        resolve(waitMs);
      };
      const timer = setTimeout(() => {
        counters.add('limit.unanswered');
        settle(UNANSWERED_WAIT_MS);
      }, ANSWER_TIMEOUT_MS);
      this.questions.set(number, settle);
      messenger.askPermit(home, {from: host, number, target, ...restriction});
    });
  }

  private claimOwn(
    target: string,
    {perSecond, coldBound}: Restriction,
  ): number {
    const {cold} = this.options;
    const bound = findLowest(coldBound, cold?.findBound(target));
    const coldMs = bound === undefined ? 0 : (cold?.give(target, bound) ?? 0);
    if (coldMs > 0 || perSecond === null) return coldMs;
    const now = this.options.readNow();
    let bucket = this.buckets.get(target);
    if (bucket === undefined) {
      bucket = new PermitBucket(now);
      this.buckets.set(target, bucket);
    }
    return bucket.claim(perSecond, now);
  }
}

/** Returns the lowest of the known bounds; undefined if none is known. */
function findLowest(...bounds: ReadonlyArray<number | undefined>) {
  const known = bounds.filter(bound => bound !== undefined);
  return known.length === 0 ? undefined : Math.min(...known);
}
