/** Load on an admission queue: streams of several kinds compete for slots. */
import {setMaxListeners} from 'node:events';
import {createAdmissionQueue} from '../admission/admission-queue.js';
import {createRandom} from './create-random.js';
import type {AdmissionOrder} from '../admission/admission-order.js';
import type {AdmissionQueue} from '../admission/admission-queue.js';

/** Streams that arrive at random at one rate. */
export interface LoadKind {
  readonly name: string;
  readonly perSecond: number;
  /** Time for which a stream holds its slot, in ms. */
  readonly holdMs: number;
  readonly objectiveMs: number;
  readonly promptTokens: number;
  readonly urgency?: number;
  readonly account?: string;
  /** Time from which the streams arrive, in ms; 0 unless given. */
  readonly startsAt?: number;
  /** Number of times that a caller sends a refused stream again; 0 unless given. */
  readonly repeats?: number;
}

/** What became of the streams of one kind. */
export interface KindOutcome {
  offered: number;
  placed: number;
  /** Placed streams that had waited longer than half of their objective. */
  late: number;
  refused: number;
  /** Longest time between the arrival of a stream and its refusal, in ms. */
  slowestRefusalMs: number;
  /** Times between arrival and placement of placed streams, in ms. */
  readonly waitsMs: number[];
  /** Times of the placements, in ms. */
  readonly placedAt: number[];
}

/** Time after a refusal at which a caller sends its stream again, in ms. */
const REPEAT_MS = 10;

/** Interval at which a queue places streams of all ranks, in ms. */
const INTERVAL_MS = 20;

/** Options of a load. */
export interface AdmissionLoadOptions {
  readonly slots: number;
  /** Creates the order of each queue; the deadline alone unless given. */
  readonly createOrder?: (
    readNow: () => number,
    gate: number,
  ) => AdmissionOrder;
  /** Number of gates, among which the streams are spread at random. */
  readonly gates?: number;
  /** Called when a stream is placed by a gate. */
  readonly onPlaced?: (gate: number, kind: LoadKind, now: number) => void;
  /** Called at the end of each ms. */
  readonly onTick?: (now: number) => void;
}

/**
 * Plays a load on the queues of gates that share slots.
 *
 * @example
 * const load = new AdmissionLoad({slots: 80}, kinds);
 * await load.run(20_000);
 * load.outcomes.get('short')?.placed;
 */
export class AdmissionLoad {
  readonly outcomes = new Map<string, KindOutcome>();
  private now = 0;
  private readonly random = createRandom(11);
  private readonly queues: AdmissionQueue[];
  private readonly releases = new Map<number, number>();
  private readonly repeated = new Map<number, Array<() => void>>();
  private readonly abort = new AbortController();
  private freeSlots: number;

  constructor(
    private readonly options: AdmissionLoadOptions,
    private readonly kinds: readonly LoadKind[],
  ) {
    const {slots, gates = 1, createOrder} = options;
    this.freeSlots = slots;
    setMaxListeners(0, this.abort.signal);
    const readNow = () => this.now;
    this.queues = Array.from({length: gates}, (_, gate) =>
      createAdmissionQueue({
        countSlots: () => slots,
        countGates: () => gates,
        readNow,
        order: createOrder?.(readNow, gate),
      }),
    );
    for (const {name} of kinds)
      this.outcomes.set(name, {
        offered: 0,
        placed: 0,
        late: 0,
        refused: 0,
        slowestRefusalMs: 0,
        waitsMs: [],
        placedAt: [],
      });
  }

  /** Plays the load for a time, in ms. */
  async run(ms: number): Promise<void> {
    for (; this.now < ms; this.now++) {
      this.freeSlots += this.releases.get(this.now) ?? 0;
      this.releases.delete(this.now);
      // No gate is always the first to see a slot that was released.
      const first = this.pickGate();
      for (let i = 0; i < this.queues.length; i++)
        this.advance((first + i) % this.queues.length);
      for (const repeat of this.repeated.get(this.now) ?? []) repeat();
      this.repeated.delete(this.now);
      for (const kind of this.kinds) {
        const isRunning = this.now >= (kind.startsAt ?? 0);
        if (isRunning && this.random() < kind.perSecond / 1000)
          this.offer(kind, this.pickGate(), kind.repeats ?? 0);
      }
      await Promise.resolve();
      this.options.onTick?.(this.now);
    }
    this.abort.abort();
  }

  /** Finds the outcome of a kind. */
  find(name: string): KindOutcome {
    const outcome = this.outcomes.get(name);
    if (outcome === undefined) throw new Error(`no kind ${name}`);
    return outcome;
  }

  /** Measures the share of the offered streams of a kind that were placed. */
  measurePlaced(name: string): number {
    const {placed, refused} = this.find(name);
    return placed / (placed + refused);
  }

  private offer(kind: LoadKind, gate: number, repeats: number): void {
    const outcome = this.find(kind.name);
    const arrivedAt = this.now;
    const queue = this.queues[gate];
    outcome.offered++;
    const entry = {
      ...kind,
      arrivedAt,
      tryPlace: () => this.tryPlace(kind, gate, arrivedAt),
    };
    if (!queue.isOutranked(entry) && entry.tryPlace()) return;
    void queue.enter(entry, this.abort.signal).then(end => {
      if (end !== 'refused') return;
      outcome.refused++;
      const ms = this.now - arrivedAt;
      outcome.slowestRefusalMs = Math.max(outcome.slowestRefusalMs, ms);
      if (repeats === 0) return;
      const again = this.repeated.get(this.now + REPEAT_MS) ?? [];
      again.push(() => this.offer(kind, this.pickGate(), repeats - 1));
      this.repeated.set(this.now + REPEAT_MS, again);
    });
  }

  private advance(gate: number): void {
    // The intervals of the gates do not begin at the same time.
    const isAtInterval = (this.now + 7 * gate) % INTERVAL_MS === 0;
    this.queues[gate].advance(isAtInterval);
  }

  private pickGate(): number {
    return Math.floor(this.random() * this.queues.length);
  }

  private tryPlace(kind: LoadKind, gate: number, arrivedAt: number): boolean {
    if (this.freeSlots === 0) return false;
    this.freeSlots--;
    const holdMs = Math.round(kind.holdMs * (0.5 + this.random()));
    const endsAt = this.now + holdMs;
    // Recorded at the start of the stream, which leaves the average as it is.
    this.queues[gate].recordSlotTime(holdMs);
    this.releases.set(endsAt, (this.releases.get(endsAt) ?? 0) + 1);
    const outcome = this.find(kind.name);
    const waitedMs = this.now - arrivedAt;
    outcome.placed++;
    outcome.waitsMs.push(waitedMs);
    outcome.placedAt.push(this.now);
    if (waitedMs > kind.objectiveMs / 2) outcome.late++;
    this.options.onPlaced?.(gate, kind, this.now);
    return true;
  }
}
