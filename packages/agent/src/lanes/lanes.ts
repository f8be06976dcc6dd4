/**
 * Length-aware lanes in front of the target: short and long prompts queue
 * apart, each lane with its own slots, so a burst of long prompts cannot
 * take every slot from the short ones.
 */
import type {Lane} from '../target/target.js';

interface Waiter {
  readonly resolve: (granted: boolean) => void;
  readonly timer: NodeJS.Timeout;
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
 * if (await lanes.enter('short', deadlineAt)) { try { ... } finally { lanes.leave('short'); } }
 */
export class Lanes {
  private readonly waiting: Record<Lane, Waiter[]> = {short: [], long: []};
  private readonly inFlight: Record<Lane, number> = {short: 0, long: 0};

  constructor(private readonly slots: Readonly<Record<Lane, number>>) {}

  /**
   * Waits for a slot in `lane`; resolves false when `deadlineAt` passes first,
   * in which case the request never started and is answered "not run".
   */
  enter(lane: Lane, deadlineAt: number): Promise<boolean> {
    if (
      this.inFlight[lane] < this.slots[lane] &&
      this.waiting[lane].length === 0
    ) {
      this.inFlight[lane]++;
      return Promise.resolve(true);
    }
    return new Promise(resolve => {
      const waiter: Waiter = {
        resolve,
        timer: setTimeout(
          () => {
            const queue = this.waiting[lane];
            queue.splice(queue.indexOf(waiter), 1);
            resolve(false);
          },
          Math.max(0, deadlineAt - Date.now()),
        ),
      };
      this.waiting[lane].push(waiter);
    });
  }

  /** Frees a slot of `lane` and hands it to the oldest waiter. */
  leave(lane: Lane): void {
    const next = this.waiting[lane].shift();
    if (next === undefined) {
      this.inFlight[lane]--;
      return;
    }
    clearTimeout(next.timer);
    next.resolve(true);
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
