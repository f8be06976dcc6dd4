/**
 * Bounded queue of streams that wait for a slot of an engine. It answers a
 * burst of short streams above the capacity: an unbounded queue would outlive
 * the burst and make every answer late.
 */

/**
 * Share of its objective that a stream may wait; the rest is needed for
 * prefill.
 */
const WAIT_SHARE = 0.35;

/** How often the queue is checked while no slot is released, in ms. */
const POLL_MS = 20;

/**
 * Weight of the newest stream in the moving average of the time that a slot is
 * held.
 */
const SLOT_TIME_WEIGHT = 0.05;

/** Assumed time that a slot is held until streams have ended, in ms. */
const INITIAL_SLOT_TIME_MS = 2000;

/** How a wait ended. */
export type QueueOutcome = 'placed' | 'refused' | 'left';

/** A stream that wants a slot. */
export interface QueueEntry {
  /** When the stream arrived, on the monotonic clock, in ms. */
  readonly arrivedAt: number;
  readonly objectiveMs: number;
  /** Tokens of the prompt, which need KV cache besides a slot. */
  readonly promptTokens: number;
  /** Takes a slot if one is free. */
  tryPlace(): boolean;
}

/** Dependencies of a queue. */
export interface AdmissionQueueOptions {
  /** Slots of all engines together. */
  readonly countSlots: () => number;
  /** Gates that compete for the same slots, this one included. */
  readonly countGates: () => number;
  readonly readNow: () => number;
}

interface Waiting {
  readonly entry: QueueEntry;
  readonly giveUpAt: number;
  readonly settle: (outcome: QueueOutcome) => void;
}

/**
 * The queue of one gate for one service.
 *
 * @example
 * const outcome = await queue.enter(entry, left);
 */
export class AdmissionQueue {
  private waiting: Waiting[] = [];
  private slotTimeMs = INITIAL_SLOT_TIME_MS;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: AdmissionQueueOptions) {}

  /** Streams in the queue. */
  get length(): number {
    return this.waiting.length;
  }

  /** Predicted wait of one more stream, in ms. */
  estimateWaitMs(): number {
    const slots = Math.max(1, this.options.countSlots());
    const ahead = (this.waiting.length + 1) * this.options.countGates();
    return (ahead * this.slotTimeMs) / slots;
  }

  /** Records how long a stream held its slot. */
  recordSlotTime(ms: number): void {
    this.slotTimeMs += (ms - this.slotTimeMs) * SLOT_TIME_WEIGHT;
  }

  /**
   * Waits for a slot. A stream that cannot be served in time is refused at
   * once.
   *
   * @param signal - Aborted when the caller leaves.
   */
  enter(entry: QueueEntry, signal: AbortSignal): Promise<QueueOutcome> {
    const now = this.options.readNow();
    const giveUpAt = entry.arrivedAt + entry.objectiveMs * WAIT_SHARE;
    if (now + this.estimateWaitMs() > giveUpAt)
      return Promise.resolve('refused');
    return new Promise(resolve => {
      const waiting: Waiting = {
        entry,
        giveUpAt,
        settle: outcome => {
          this.remove(waiting);
          resolve(outcome);
        },
      };
      // Earliest deadline first: short streams pass long ones, until those have
      // waited as well.
      this.waiting.push(waiting);
      this.waiting.sort((a, b) => a.giveUpAt - b.giveUpAt);
      signal.addEventListener('abort', () => waiting.settle('left'));
      this.timer ??= setInterval(() => this.advance(), POLL_MS);
    });
  }

  /** Hands out free slots. */
  advance(): void {
    const now = this.options.readNow();
    for (const waiting of [...this.waiting])
      if (waiting.giveUpAt <= now) waiting.settle('refused');
    // A prompt without KV cache must not block smaller ones.
    let tooLarge = Infinity;
    for (const waiting of [...this.waiting]) {
      const {entry} = waiting;
      if (entry.promptTokens >= tooLarge) continue;
      if (entry.tryPlace()) waiting.settle('placed');
      else tooLarge = entry.promptTokens;
    }
  }

  private remove(waiting: Waiting): void {
    this.waiting = this.waiting.filter(other => other !== waiting);
    if (this.waiting.length > 0 || this.timer === undefined) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }
}

/**
 * The queues of one gate, one for each service of engines.
 *
 * @example
 * queues.find('chat').enter(entry, signal);
 */
export class AdmissionQueues {
  private readonly queues = new Map<string, AdmissionQueue>();

  constructor(
    private readonly createQueue: (service: string) => AdmissionQueue,
  ) {}

  /** Finds the queue of a service. */
  find(service: string): AdmissionQueue {
    let queue = this.queues.get(service);
    if (queue === undefined) {
      queue = this.createQueue(service);
      this.queues.set(service, queue);
    }
    return queue;
  }

  /** Hands out free slots. */
  advance(): void {
    for (const queue of this.queues.values())
      if (queue.length > 0) queue.advance();
  }
}

/**
 * Creates an empty queue.
 *
 * @example
 * const line = createAdmissionQueue({countSlots: () => 176, countGates: () => 5, readNow});
 */
export function createAdmissionQueue(
  options: AdmissionQueueOptions,
): AdmissionQueue {
  return new AdmissionQueue(options);
}
