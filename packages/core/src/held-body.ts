/** Body of a request that is charged to the memory account as it arrives. */
import type {MemoryClaim} from './memory-account.js';

/** First capacity, in bytes. */
const MIN_CAPACITY_BYTES = 4 * 1024;

/** Room in a buffer above which the body is copied into one of its size. */
const MAX_SLACK_SHARE = 0.25;

const EMPTY = Buffer.alloc(0);

/** Why a body is not taken. */
export type BodyFault =
  /** It is larger than the limit. */
  | 'too_large'
  /** There is no room for it. */
  | 'no_room';

/** Limits of a body. */
export interface BodyLimits {
  /** Largest body, in bytes. */
  readonly maxBytes: number;
  /** Length that the head announces, in bytes; undefined for chunks. */
  readonly announcedBytes: number | undefined;
  /** Bytes that are held for the head. */
  readonly headBytes: number;
  readonly claim: MemoryClaim;
}

/**
 * Joins the parts of a body. A body without a length gets a buffer twice as large
 * when it is full, one with a length a buffer of its size once a quarter has come.
 *
 * @example
 * const body = new HeldBody({maxBytes, announcedBytes, headBytes: 0, claim});
 * body.add(part); // undefined: it fits
 * body.finish();
 */
export class HeldBody {
  private buffer: Buffer = EMPTY;
  private size = 0;

  constructor(private readonly limits: BodyLimits) {}

  /** Adds a part; returns why it doesn't fit, and holds nothing then. */
  add(part: Buffer): BodyFault | undefined {
    const size = this.size + part.length;
    if (size > this.limits.maxBytes) return this.refuse('too_large');
    if (this.size === 0) {
      if (!this.claimCapacity(size)) return this.refuse('no_room');
      this.buffer = part;
    } else {
      if (size > this.buffer.length && !this.replaceBuffer(size))
        return this.refuse('no_room');
      part.copy(this.buffer, this.size);
    }
    this.size = size;
    this.limits.claim.markProgress();
    return undefined;
  }

  /** Returns the whole body, which is charged from now on with what it holds. */
  finish(): Buffer {
    const {buffer, size} = this;
    const hasSlack = buffer.length - size > buffer.length * MAX_SLACK_SHARE;
    const bytes = buffer.subarray(0, size);
    this.drop();
    this.limits.claim.settle();
    this.claimCapacity(hasSlack ? size : buffer.length);
    return hasSlack ? Buffer.from(bytes) : bytes;
  }

  /** Drops what is held. */
  drop(): void {
    this.buffer = EMPTY;
    this.size = 0;
  }

  private refuse(fault: BodyFault): BodyFault {
    this.drop();
    return fault;
  }

  private replaceBuffer(size: number): boolean {
    const {maxBytes, announcedBytes} = this.limits;
    const wanted = Math.max(size, this.buffer.length * 2, MIN_CAPACITY_BYTES);
    const most = announcedBytes ?? maxBytes;
    const isMostlyThere = size * 4 >= most;
    const capacity =
      announcedBytes !== undefined && isMostlyThere
        ? Math.max(most, size)
        : Math.min(wanted, Math.max(most, size));
    if (!this.claimCapacity(capacity)) return false;
    const buffer = Buffer.allocUnsafeSlow(capacity);
    this.buffer.copy(buffer, 0, 0, this.size);
    this.buffer = buffer;
    return true;
  }

  private claimCapacity(bytes: number): boolean {
    const {headBytes, claim} = this.limits;
    return claim.setBytes(headBytes + bytes);
  }
}
