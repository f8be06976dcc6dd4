/** Sums of times or counts, by name, that decay exponentially. */

/** Sum below which a name is dropped from lists. */
const NEGLIGIBLE = 0.5;

interface Sum {
  readonly amount: number;
  /** Time up to which the sum has decayed, in ms. */
  readonly at: number;
}

/**
 * Decaying sums of times or counts.
 *
 * @example
 * const sums = new DecayingSums(4000);
 * sums.add('acme', 120, performance.now());
 * sums.read('acme', performance.now());
 */
export class DecayingSums {
  private readonly sums = new Map<string, Sum>();

  /** @param memoryMs - Time in which a sum decays to 1/e, in ms. */
  constructor(private readonly memoryMs: number) {}

  /** Number of names. */
  get size(): number {
    return this.sums.size;
  }

  /** Adds an amount, or takes one away that was added before. */
  add(name: string, amount: number, now: number): void {
    this.sums.set(name, {amount: this.read(name, now) + amount, at: now});
  }

  /** Reads the sum of a name; never below 0. */
  read(name: string, now: number): number {
    const sum = this.sums.get(name);
    if (sum === undefined) return 0;
    return Math.max(0, sum.amount * this.measureKept(now - sum.at));
  }

  /** Drops negligible sums and lists the others. */
  list(now: number): Array<readonly [string, number]> {
    const listed: Array<readonly [string, number]> = [];
    for (const name of [...this.sums.keys()]) {
      const amount = this.read(name, now);
      if (amount < NEGLIGIBLE) this.sums.delete(name);
      else listed.push([name, amount]);
    }
    return listed;
  }

  /** Measures the part of a sum that is left after a time. */
  measureKept(ms: number): number {
    return Math.exp(-ms / this.memoryMs);
  }
}
