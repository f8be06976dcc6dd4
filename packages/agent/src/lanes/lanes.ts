/**
 * Separate queues for short and long prompts in front of the target. Each lane
 * has its own slots, so a burst of long prompts cannot take the slots of short
 * prompts.
 */
/** Queue in which a request waits for a slot at the target. */
export type Lane = 'short' | 'long';

/** Reason why a request left its lane's queue without a slot. */
export type LaneRefusal = 'deadline_in_queue' | 'cancelled_in_queue';

interface Waiter {
  readonly finish: (refusal: LaneRefusal | undefined) => void;
}

/** Numbers of queued and in-flight requests, summed over all lanes. */
export interface LaneStats {
  readonly queued: number;
  readonly inFlight: number;
}

/**
 * Two FIFO lanes, each with a limit on requests in flight.
 *
 * @example
 * const lanes = createLanes({short: 48, long: 4});
 * if ((await lanes.enter('short', deadlineAt, signal)) === undefined) { try { ... } finally { lanes.leave('short'); } }
 */
export class Lanes {
  private readonly waiting: Record<Lane, Waiter[]> = {short: [], long: []};
  private readonly inFlight: Record<Lane, number> = {short: 0, long: 0};

  constructor(private readonly slots: Readonly<Record<Lane, number>>) {}

  /**
   * Waits for a slot in `lane`. Resolves with undefined once the request has a
   * slot, or with a reason when `deadlineAt` passes or `signal` aborts first. A
   * request that gets a reason has not started and is answered "not run".
   */
  enter(
    lane: Lane,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<LaneRefusal | undefined> {
    const queue = this.waiting[lane];
    if (this.inFlight[lane] < this.slots[lane] && queue.length === 0) {
      this.inFlight[lane]++;
      return Promise.resolve(undefined);
    }
    return new Promise(resolve => {
      const leaveQueue = (refusal: LaneRefusal) => {
        queue.splice(queue.indexOf(waiter), 1);
        waiter.finish(refusal);
      };
      const cancel = () => leaveQueue('cancelled_in_queue');
      const timer = setTimeout(
        () => leaveQueue('deadline_in_queue'),
        Math.max(0, deadlineAt - Date.now()),
      );
      const waiter: Waiter = {
        finish: refusal => {
          clearTimeout(timer);
          signal.removeEventListener('abort', cancel);
          resolve(refusal);
        },
      };
      signal.addEventListener('abort', cancel, {once: true});
      queue.push(waiter);
    });
  }

  /** Frees a slot of `lane` and gives it to the longest-waiting request. */
  leave(lane: Lane): void {
    const next = this.waiting[lane].shift();
    if (next === undefined) {
      this.inFlight[lane]--;
      return;
    }
    next.finish(undefined);
  }

  /** Returns the queued and in-flight requests, summed over both lanes. */
  readStats(): LaneStats {
    return {
      queued: this.waiting.short.length + this.waiting.long.length,
      inFlight: this.inFlight.short + this.inFlight.long,
    };
  }
}

/**
 * Creates lanes with the given numbers of slots.
 *
 * @example
 * const lanes = createLanes({short: 48, long: 4});
 */
export function createLanes(slots: Readonly<Record<Lane, number>>): Lanes {
  return new Lanes(slots);
}
