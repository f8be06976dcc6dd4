/**
 * Bounded queue of streams that wait for a slot of an engine. It absorbs bursts
 * of short streams above the capacity. An unbounded queue would stay filled
 * after the burst and make every answer late.
 */
import {DeadlineOrder, compareRanks, findRankCause} from './admission-order.js';
import {isAllowedWherever} from './queue-entry.js';
import type {AdmissionOrder, OrderDecision} from './admission-order.js';
import type {QueueEntry, QueueOutcome} from './queue-entry.js';

export type {QueueEntry, QueueOutcome} from './queue-entry.js';

/**
 * Share of its objective that a stream may wait in the queue; the rest is
 * needed for prefill.
 */
const WAIT_SHARE = 0.35;

/** Interval at which the queue is checked if no slot is released, in ms. */
const POLL_MS = 20;

/**
 * Weight of the newest stream in the moving average of the time that a stream
 * holds its slot.
 */
const SLOT_TIME_WEIGHT = 0.05;

/** Ratio of prompt sizes up to which both need about as much KV cache. */
const COMPARABLE_SIZE = 2;

/** Assumed slot holding time until the first streams have ended, in ms. */
const INITIAL_SLOT_TIME_MS = 2000;

/** Dependencies of an admission queue. */
export interface AdmissionQueueOptions {
  /** Counts the slots of all engines of the service. */
  readonly countSlots: () => number;
  /** Counts the gates that compete for these slots, including this gate. */
  readonly countGates: () => number;
  readonly readNow: () => number;
  /**
   * Runs one attempt to place a stream, at once or later.
   *
   * @default at once
   */
  readonly schedule?: (attempt: PlacementAttempt) => void;
  /**
   * Ranks the streams.
   *
   * @default all streams have the same rank
   */
  readonly order?: AdmissionOrder;
  /** Called for each decision that the deadlines alone would not have led to. */
  readonly onDecision?: (decision: OrderDecision) => void;
}

/** Attempt to place a stream that waits in the queue. */
export interface PlacementAttempt {
  /** Time at which the stream is due, in ms. */
  readonly dueAt: number;
  readonly run: () => void;
}

interface QueuedStream {
  readonly entry: QueueEntry;
  readonly refuseAt: number;
  readonly settle: (outcome: QueueOutcome) => void;
}

/**
 * Admission queue of one gate for one service.
 *
 * @example
 * const outcome = await queue.enter(entry, signal);
 */
export class AdmissionQueue {
  private waiting: QueuedStream[] = [];
  private averageSlotTimeMs = INITIAL_SLOT_TIME_MS;
  private timer: NodeJS.Timeout | undefined;
  /** True while the streams of the queue are tried one after the other. */
  private isPassing = false;
  private readonly order: AdmissionOrder;

  constructor(private readonly options: AdmissionQueueOptions) {
    this.order = options.order ?? new DeadlineOrder();
  }

  /** Number of streams in the queue. */
  get length(): number {
    return this.waiting.length;
  }

  /**
   * Estimates the wait of one more stream, in ms.
   *
   * @param entry - The stream; streams that go after it don't count.
   * @default a stream that goes after all others
   */
  estimateWaitMs(entry?: QueueEntry): number {
    if (entry === undefined) return this.estimateTurnMs(this.waiting.length);
    const rank = this.order.rank(entry);
    const ahead = this.waiting.filter(
      other => compareRanks(this.order.rank(other.entry), rank) <= 0,
    );
    return this.estimateTurnMs(ahead.length);
  }

  /** Estimates how much longer a stream of the queue waits, in ms. */
  estimateLeftMs(entry: QueueEntry): number {
    const ahead = this.waiting.findIndex(other => other.entry === entry);
    return this.estimateTurnMs(Math.max(0, ahead));
  }

  /** Records the time that a stream held its slot, in ms. */
  recordSlotTime(ms: number): void {
    this.averageSlotTimeMs += (ms - this.averageSlotTimeMs) * SLOT_TIME_WEIGHT;
  }

  /**
   * Waits for a slot. A stream whose estimated wait exceeds its limit is
   * refused at once.
   *
   * @param signal - Aborted when the caller cancels or disconnects.
   */
  enter(entry: QueueEntry, signal: AbortSignal): Promise<QueueOutcome> {
    const now = this.options.readNow();
    const refuseAt = entry.arrivedAt + entry.objectiveMs * WAIT_SHARE;
    const isTooLate = now + this.estimateWaitMs(entry) > refuseAt;
    if (isTooLate || this.isHeldBack(entry, now)) {
      this.order.record(entry, 'refused', now);
      return Promise.resolve('refused');
    }
    return new Promise(resolve => {
      const waiting: QueuedStream = {
        entry,
        refuseAt,
        settle: outcome => {
          if (!this.remove(waiting)) return;
          this.order.record(entry, outcome, this.options.readNow());
          resolve(outcome);
        },
      };
      this.waiting = this.rankStreams([...this.waiting, waiting]);
      signal.addEventListener('abort', () => waiting.settle('left'));
      this.timer ??= setInterval(() => this.advance(true), POLL_MS);
      this.refuseOvertaken(entry, now);
    });
  }

  /** Returns whether a newcomer has to wait even if a slot is free. */
  isOutranked(entry: QueueEntry): boolean {
    // Others may wait for KV cache, or for zones, that the newcomer does not need.
    const comparable = this.waiting.filter(
      other =>
        other.entry.promptTokens <= entry.promptTokens * COMPARABLE_SIZE &&
        isAllowedWherever(other.entry, entry),
    );
    if (comparable.length === 0) return false;
    const rank = this.order.rank(entry);
    const goesFirst = ({entry: other}: QueuedStream) =>
      compareRanks(this.order.rank(other), rank) < 0;
    return rank.account > 0 || comparable.some(goesFirst);
  }

  /**
   * Refuses streams that have waited too long and places the next streams. Those of
   * accounts above their fair share are placed only at an interval, which leaves
   * a released slot to the other gates for a moment.
   */
  advance(isAtInterval = false): void {
    const now = this.options.readNow();
    for (const waiting of [...this.waiting])
      if (waiting.refuseAt <= now) waiting.settle('refused');
    if (this.isPassing || this.waiting.length === 0) return;
    this.isPassing = true;
    const streams = this.rankStreams(this.waiting);
    const isDue = ({entry}: QueuedStream) =>
      isAtInterval || this.order.rank(entry).account === 0;
    this.tryNext(streams.filter(isDue), Infinity);
  }

  /**
   * Tries to place the streams one after the other. Smaller prompts may overtake
   * a prompt that finds too little free KV cache.
   */
  private tryNext(
    streams: readonly QueuedStream[],
    blockedPromptTokens: number,
  ): void {
    const [next, ...others] = streams.filter(
      stream =>
        this.waiting.includes(stream) &&
        stream.entry.promptTokens < blockedPromptTokens,
    );
    if (next === undefined) {
      this.isPassing = false;
      return;
    }
    const {entry, refuseAt} = next;
    const run = () => {
      if (!this.waiting.includes(next))
        return this.tryNext(others, blockedPromptTokens);
      const result = entry.tryPlace();
      if (!result) return this.tryNext(others, entry.promptTokens);
      if (result === true) this.notifyOvertaken(next);
      next.settle(result === true ? 'placed' : 'refused');
      this.tryNext(this.rankStreams(others), blockedPromptTokens);
    };
    if (this.options.schedule === undefined) run();
    else this.options.schedule({dueAt: refuseAt, run});
  }

  /** Estimates the time until the next slot after those of other streams, in ms. */
  private estimateTurnMs(ahead: number): number {
    const slots = Math.max(1, this.options.countSlots());
    const competingStreams = (ahead + 1) * this.options.countGates();
    return (competingStreams * this.averageSlotTimeMs) / slots;
  }

  /**
   * Sorts streams by rank, and those of equal rank by their deadline: short
   * streams overtake long ones until the deadline of the long ones is earlier.
   */
  private rankStreams(streams: readonly QueuedStream[]): QueuedStream[] {
    const ranked = streams.map(stream => ({
      stream,
      rank: this.order.rank(stream.entry),
    }));
    ranked.sort(
      (a, b) =>
        compareRanks(a.rank, b.rank) || a.stream.refuseAt - b.stream.refuseAt,
    );
    return ranked.map(({stream}) => stream);
  }

  /**
   * Refuses the streams that go after a newcomer and can't be placed in time any
   * more, the last one first.
   */
  private refuseOvertaken(newcomer: QueueEntry, now: number): void {
    const rank = this.order.rank(newcomer);
    for (let i = this.waiting.length - 1; i >= 0; i--) {
      const {entry, refuseAt, settle} = this.waiting[i];
      if (compareRanks(rank, this.order.rank(entry)) >= 0) return;
      if (now + this.estimateTurnMs(i) <= refuseAt) continue;
      this.notify('gave_way', entry, newcomer);
      settle('refused');
    }
  }

  private isHeldBack(stream: QueueEntry, now: number): boolean {
    const cause = this.order.findHoldCause(stream, now);
    if (cause === undefined) return false;
    const rank = this.order.rank(stream);
    this.options.onDecision?.({kind: 'held_back', cause, stream, rank});
    return true;
  }

  /** Reports that a stream goes before one with an earlier deadline. */
  private notifyOvertaken({entry, refuseAt}: QueuedStream): void {
    const rank = this.order.rank(entry);
    const overtaken = this.waiting.find(
      other =>
        other.refuseAt < refuseAt &&
        compareRanks(rank, this.order.rank(other.entry)) < 0,
    );
    if (overtaken !== undefined)
      this.notify('overtook', entry, overtaken.entry);
  }

  private notify(
    kind: OrderDecision['kind'],
    stream: QueueEntry,
    other: QueueEntry,
  ): void {
    const rank = this.order.rank(stream);
    const otherRank = this.order.rank(other);
    const cause = findRankCause(rank, otherRank);
    if (cause === undefined) return;
    this.options.onDecision?.({kind, cause, stream, rank, other, otherRank});
  }

  /** Removes a stream; returns false if it no longer waits. */
  private remove(waiting: QueuedStream): boolean {
    const length = this.waiting.length;
    this.waiting = this.waiting.filter(other => other !== waiting);
    if (this.waiting.length === 0 && this.timer !== undefined) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
    return this.waiting.length < length;
  }
}

/**
 * Creates an empty admission queue.
 *
 * @example
 * const queue = createAdmissionQueue({countSlots: () => 176, countGates: () => 5, readNow});
 */
export function createAdmissionQueue(
  options: AdmissionQueueOptions,
): AdmissionQueue {
  return new AdmissionQueue(options);
}
