/**
 * Length-aware lanes in front of the target: short and long prompts queue
 * apart, each lane with its own slots, so a burst of long prompts cannot
 * take every slot from the short ones.
 */
/** Lane that a request waits in for a slot at the target. */
export type Lane = 'short' | 'long';

/** Why a request left a lane without a slot. */
export type LaneRefusal = 'deadline_in_queue' | 'cancelled_in_queue';

interface Waiter {
  readonly finish: (refusal: LaneRefusal | undefined) => void;
}

/** Queue figures of one lane. */
export interface LaneFigures {
  readonly queued: number;
  readonly inFlight: number;
}

/**
 * Two FIFO lanes with slot limits.
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
   * Waits for a slot in `lane`. Resolves undefined once it has one, or with
   * the reason when `deadlineAt` passes or `signal` aborts first; the request
   * then never started and is answered "not run".
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

  /** Frees a slot of `lane` and hands it to the oldest waiter. */
  leave(lane: Lane): void {
    const next = this.waiting[lane].shift();
    if (next === undefined) {
      this.inFlight[lane]--;
      return;
    }
    next.finish(undefined);
  }

  /** Figures of both lanes together. */
  read(): LaneFigures {
    return {
      queued: this.waiting.short.length + this.waiting.long.length,
      inFlight: this.inFlight.short + this.inFlight.long,
    };
  }
}

/**
 * Creates lanes with the given slots.
 *
 * @example
 * const lanes = createLanes({short: 48, long: 4});
 */
export function createLanes(slots: Readonly<Record<Lane, number>>): Lanes {
  return new Lanes(slots);
}
