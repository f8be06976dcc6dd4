/**
 * Order of the streams that wait for a slot, and which of them give way. Streams
 * of equal rank are ordered by their deadline.
 */
import {ServedShares} from './served-shares.js';
import type {QueueEntry, QueueOutcome} from './queue-entry.js';

/** Rank of a stream whose urgency is owed a slot; it goes before all others. */
const OWED_RANK = -1;

/**
 * Lead of the placed share of an urgency over that of a more urgent one above which
 * it is held back. A lead of 0.05 is tolerated.
 */
const TOLERATED_LEAD = 0.03;

/**
 * Time after the refusal of a more urgent stream for which others are held back, in
 * ms. Without such refusals, nobody needs the slots that holding back leaves free.
 */
const HOLD_MS = 1000;

/** What ranks two streams differently. */
export type RankCause = 'urgency' | 'account';

/** Rank of a waiting stream; the lowest goes first. */
export interface AdmissionRank {
  readonly urgency: number;
  /** Rank of its account; 0 if the account is within its fair share. */
  readonly account: number;
}

/** A decision that the deadlines alone would not have led to. */
export interface OrderDecision {
  /**
   * A stream was placed before one with an earlier deadline (`overtook`), was
   * refused so that another can be placed in time (`gave_way`), or was refused on
   * arrival in favour of later ones (`held_back`).
   */
  readonly kind: 'overtook' | 'gave_way' | 'held_back';
  readonly cause: RankCause;
  readonly stream: QueueEntry;
  readonly rank: AdmissionRank;
  /**
   * The stream that was overtaken, or for which the other gave way; absent for one
   * that is held back.
   */
  readonly other?: QueueEntry;
  readonly otherRank?: AdmissionRank;
}

/** Rank of all streams where nothing but the deadline orders them. */
const EQUAL_RANK: AdmissionRank = {urgency: 0, account: 0};

/**
 * Compares two ranks; negative if `a` goes first.
 *
 * @example
 * compareRanks({urgency: 0, account: 1}, {urgency: 1, account: 0}); // -1
 */
export function compareRanks(a: AdmissionRank, b: AdmissionRank): number {
  return a.urgency - b.urgency || a.account - b.account;
}

/**
 * Finds what ranks two streams differently; undefined for equal ranks.
 *
 * @example
 * findRankCause({urgency: 0, account: 0}, {urgency: 1, account: 0}); // 'urgency'
 */
export function findRankCause(
  a: AdmissionRank,
  b: AdmissionRank,
): RankCause | undefined {
  if (a.urgency !== b.urgency) return 'urgency';
  return a.account === b.account ? undefined : 'account';
}

/** Ranks the streams of one admission queue. */
export abstract class AdmissionOrder {
  /** Ranks a stream at present. */
  abstract rank(entry: QueueEntry): AdmissionRank;

  /** Finds why a stream is to be refused in favour of later ones, if it is. */
  abstract findHoldCause(entry: QueueEntry, now: number): RankCause | undefined;

  /** Records the outcome of a stream that was offered to the queue. */
  abstract record(entry: QueueEntry, outcome: QueueOutcome, now: number): void;
}

/** Order by the deadline alone. */
export class DeadlineOrder extends AdmissionOrder {
  override rank(): AdmissionRank {
    return EQUAL_RANK;
  }

  override findHoldCause(): undefined {
    return undefined;
  }

  override record(): void {}
}

/**
 * Order by urgency. An urgency of which far too few streams are placed goes first;
 * one of which more are placed than of a more urgent one is held back, as streams
 * with a late deadline would otherwise outlast those that wait for a short time.
 */
export class UrgencyOrder extends AdmissionOrder {
  private readonly shares = new ServedShares();
  /** Urgencies of the streams that have been offered. */
  private readonly known = new Set<number>();
  /** Time of the latest refusal of each urgency, in ms. */
  private readonly refusedAt = new Map<number, number>();

  override rank({urgency = 0}: QueueEntry): AdmissionRank {
    const isOwed = this.known.size > 1 && this.shares.isOwed(String(urgency));
    return {urgency: isOwed ? OWED_RANK : urgency, account: 0};
  }

  override findHoldCause(
    {urgency = 0}: QueueEntry,
    now: number,
  ): RankCause | undefined {
    const share = this.shares.measureShare(String(urgency));
    const isAhead = [...this.known].some(
      other =>
        other < urgency &&
        now - (this.refusedAt.get(other) ?? -Infinity) < HOLD_MS &&
        this.shares.measureShare(String(other)) < share - TOLERATED_LEAD,
    );
    return isAhead ? 'urgency' : undefined;
  }

  override record(
    {urgency = 0}: QueueEntry,
    outcome: QueueOutcome,
    now: number,
  ): void {
    if (outcome === 'left') return;
    this.known.add(urgency);
    if (outcome === 'refused') this.refusedAt.set(urgency, now);
    this.shares.record(String(urgency), outcome, now);
  }
}
