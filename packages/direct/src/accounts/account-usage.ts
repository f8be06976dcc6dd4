/**
 * Engine time that each account uses at all gates, as decaying sums over the last
 * seconds. Gates tell each other their own sums while room is short.
 */
import {DecayingSums} from './decaying-sums.js';
import {rankAccounts} from './fair-share.js';
import type {FleetConfig} from '../types.js';

/** Time in which a sum decays to 1/e, in ms. */
const MEMORY_MS = 4000;

/** Time for which room counts as short after a stream has waited for it, in ms. */
const SHORT_MS = 5000;

/** Number of accounts that a gate tells its peers; the largest ones. */
export const MAX_TOLD_ACCOUNTS = 32;

/**
 * Longest name of an account that is told, which bounds the bytes. An account with
 * a longer one counts at its own gate only.
 */
export const MAX_TOLD_NAME_LENGTH = 128;

/**
 * Time for which ranks hold, in ms. The sums change within seconds, and ranking 3,700
 * accounts takes 2.3 ms.
 */
const RANKS_MS = 250;

/** Number of accounts up to which one that appears is ranked at once. */
const MAX_EAGER_RANKS = 64;

/** Engine time with which an account that has used none is ranked, in ms. */
const NEWCOMER_MS = 1;

/** Number of accounts with which the competition for room begins. */
const MIN_ACCOUNTS = 2;

/** Entry that requests without an account share. */
export const NO_ACCOUNT = '';

/** What a gate tells its peers of the accounts. */
export interface UsageReport {
  /** Whether streams have lately waited for room at the gate itself. */
  readonly isShort: boolean;
  /** Engine time of its largest accounts at the time of sending, in ms. */
  readonly sums: ReadonlyArray<readonly [string, number]>;
}

interface HeardReport extends UsageReport {
  readonly receivedAt: number;
}

/** Dependencies of {@link AccountUsage}. */
export interface AccountUsageOptions {
  /** Counts the accounts of the configuration. */
  readonly countAccounts: () => number;
  readonly readNow: () => number;
}

/**
 * Usage of the accounts as one gate knows it.
 *
 * @example
 * usage.recordPlacement('acme', 130);
 * usage.readMs('acme');
 */
export class AccountUsage {
  private readonly own = new DecayingSums(MEMORY_MS);
  /** Sums of what peers have told. */
  private readonly told = new DecayingSums(MEMORY_MS);
  private readonly reports = new Map<string, HeardReport>();
  private shortAt = -Infinity;
  private ranks: ReadonlyMap<string, number> = new Map();
  private rankedAt = -Infinity;
  /** Engine time of each account if all used the same, in ms. */
  private equalShareMs = 0;

  constructor(private readonly options: AccountUsageOptions) {}

  /** Whether accounts compete at all under the present configuration. */
  get isEnabled(): boolean {
    return this.options.countAccounts() >= MIN_ACCOUNTS;
  }

  /** Charges an account for a request that was placed, in ms of engine time. */
  recordPlacement(account: string | undefined, ms: number): void {
    if (!this.isEnabled) return;
    this.own.add(account ?? NO_ACCOUNT, ms, this.options.readNow());
  }

  /** Records that a stream waits for room or is refused for lack of it. */
  markShort(): void {
    this.shortAt = this.options.readNow();
  }

  /** Reads the engine time of an account at all gates, in ms. */
  readMs(account: string | undefined): number {
    const now = this.options.readNow();
    const name = account ?? NO_ACCOUNT;
    return this.own.read(name, now) + this.told.read(name, now);
  }

  /**
   * Ranks an account by how far it is above its fair share; 0 if it is within the
   * share, or if accounts do not compete.
   */
  rank(account: string | undefined): number {
    if (!this.isEnabled) return 0;
    const now = this.options.readNow();
    const name = account ?? NO_ACCOUNT;
    const isNew = !this.ranks.has(name);
    // Otherwise nobody would be above a share while one account uses all room.
    if (isNew && this.own.read(name, now) < NEWCOMER_MS)
      this.own.add(name, NEWCOMER_MS, now);
    const isDue = now - this.rankedAt >= RANKS_MS;
    if (isDue || (isNew && this.ranks.size < MAX_EAGER_RANKS))
      this.rankAll(now);
    return this.ranks.get(name) ?? 0;
  }

  /** Measures how many equal shares an account uses, as of the latest ranks. */
  measureShares(account: string | undefined): number {
    return this.readMs(account) / this.equalShareMs;
  }

  /** Lists the accounts that use most at all gates, the largest first. */
  listLargest(count: number): ReadonlyArray<readonly [string, number]> {
    return [...this.listAll(this.options.readNow())]
      .sort(compareSums)
      .slice(0, count);
  }

  /**
   * Builds the report for the peers; undefined if there is nothing to tell, or no
   * room has lately been short here or at a peer.
   */
  buildReport(): UsageReport | undefined {
    const now = this.options.readNow();
    const isShort = now - this.shortAt < SHORT_MS;
    if (!this.isEnabled || !(isShort || this.isShortElsewhere(now)))
      return undefined;
    const sums = this.own
      .list(now)
      .filter(([name]) => name.length <= MAX_TOLD_NAME_LENGTH)
      .sort(compareSums)
      .slice(0, MAX_TOLD_ACCOUNTS)
      .map(([name, ms]) => [name, Math.round(ms)] as const);
    return sums.length > 0 ? {isShort, sums} : undefined;
  }

  /**
   * Applies the report of a peer, which replaces its earlier one. Without a new
   * one, what it has told decays.
   */
  applyReport(host: string, report: UsageReport | undefined): void {
    const now = this.options.readNow();
    if (report === undefined) return this.expire(now);
    const before = this.reports.get(host);
    if (before !== undefined) {
      const kept = this.told.measureKept(now - before.receivedAt);
      for (const [name, ms] of before.sums)
        this.told.add(name, -ms * kept, now);
    }
    const sums = report.sums.slice(0, MAX_TOLD_ACCOUNTS);
    for (const [name, ms] of sums) this.told.add(name, ms, now);
    this.reports.set(host, {...report, sums, receivedAt: now});
    this.expire(now);
  }

  private listAll(now: number): ReadonlyMap<string, number> {
    const sums = new Map(this.own.list(now));
    for (const [name, ms] of this.told.list(now))
      sums.set(name, (sums.get(name) ?? 0) + ms);
    return sums;
  }

  private rankAll(now: number): void {
    const sums = this.listAll(now);
    let usedMs = 0;
    for (const ms of sums.values()) usedMs += ms;
    this.ranks = rankAccounts(sums, this.ranks);
    this.equalShareMs = usedMs / sums.size;
    this.rankedAt = now;
  }

  private isShortElsewhere(now: number): boolean {
    return [...this.reports.values()].some(
      ({isShort, receivedAt}) => isShort && now - receivedAt < SHORT_MS,
    );
  }

  /** Forgets reports of which nothing is left to count. */
  private expire(now: number): void {
    for (const [host, {receivedAt}] of this.reports) {
      if (now - receivedAt < MEMORY_MS * 10) continue;
      this.reports.delete(host);
      this.told.list(now);
    }
  }
}

/** Compares sums for a list that begins with the largest. */
function compareSums(
  [, a]: readonly [string, number],
  [, b]: readonly [string, number],
): number {
  return b - a;
}

/**
 * Creates the usage of the accounts in the configuration of a gate.
 *
 * @example
 * const usage = createAccountUsage(state, () => performance.now());
 */
export function createAccountUsage(
  facts: {readonly config: FleetConfig | undefined},
  readNow: () => number,
): AccountUsage {
  const countAccounts = () => facts.config?.accounts.length ?? 0;
  return new AccountUsage({countAccounts, readNow});
}
