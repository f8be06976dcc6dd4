/** Bytes of one answer that are held until they can be used. */
import {ExchangeError, OversizedAnswerError} from '../errors.js';
import type {AnswerBound} from '../errors.js';
import type {ByteBudget} from './byte-budget.js';

/**
 * Bytes that each request may hold beside the budget, so that small answers stay
 * possible while large ones fill it.
 */
const UNCLAIMED_BYTES = 8 * 1024;

const EMPTY = Buffer.alloc(0);

/** Why bytes don't fit: the bound of one answer, or the budget of the gate. */
export type HoldRefusal = 'bound' | 'budget';

/** Limits of {@link HeldBytes}. */
export interface HoldLimits {
  readonly budget: ByteBudget;
  /** Most bytes that are held at a time. */
  readonly maxBytes: number;
}

/**
 * Joins parts into one buffer. Parts are copied, because a target may send one
 * byte in each, and a `Buffer` takes a hundred times that.
 *
 * @example
 * const held = new HeldBytes({budget, maxBytes: 1000});
 * held.offer(part); // undefined: it fits
 * held.removeAll();
 */
export class HeldBytes {
  private buffer: Buffer = EMPTY;
  private size = 0;
  private claimed = 0;

  constructor(private readonly limits: HoldLimits) {}

  /** Number of held bytes. */
  get length(): number {
    return this.size;
  }

  /** The held bytes; invalid after the next `offer`. */
  get bytes(): Buffer {
    return this.buffer.subarray(0, this.size);
  }

  /** Adds a part; returns why if it doesn't fit, and adds nothing then. */
  offer(part: Buffer): HoldRefusal | undefined {
    const size = this.size + part.length;
    if (size > this.limits.maxBytes) return 'bound';
    if (this.size === 0) {
      if (!this.claimCapacity(size)) return 'budget';
      this.buffer = part;
      this.size = size;
      return undefined;
    }
    if (size > this.buffer.length && !this.replaceBuffer(size)) return 'budget';
    part.copy(this.buffer, this.size);
    this.size = size;
    return undefined;
  }

  /**
   * Adds a part.
   *
   * @param bound - Bound that a target passes if the part doesn't fit.
   * @throws ExchangeError if it doesn't fit.
   */
  add(part: Buffer, bound: AnswerBound): void {
    const refusal = this.offer(part);
    if (refusal === 'budget') throw new ExchangeError('no-buffer', true);
    if (refusal !== undefined)
      throw new OversizedAnswerError(bound, this.limits.maxBytes);
  }

  /** Returns the held bytes, which are no longer held then. */
  removeAll(): Buffer {
    const {bytes} = this;
    this.release();
    return bytes;
  }

  /** Drops what is held. */
  release(): void {
    this.limits.budget.release(this.claimed);
    this.claimed = 0;
    this.buffer = EMPTY;
    this.size = 0;
  }

  private replaceBuffer(size: number): boolean {
    const capacity = Math.min(this.limits.maxBytes, Math.max(size * 2, 1024));
    if (!this.claimCapacity(capacity)) return false;
    const buffer = Buffer.allocUnsafeSlow(capacity);
    this.buffer.copy(buffer, 0, 0, this.size);
    this.buffer = buffer;
    return true;
  }

  private claimCapacity(capacity: number): boolean {
    const wanted = Math.max(0, capacity - UNCLAIMED_BYTES);
    const missing = wanted - this.claimed;
    if (missing <= 0) return true;
    if (!this.limits.budget.claim(missing)) return false;
    this.claimed = wanted;
    return true;
  }
}
