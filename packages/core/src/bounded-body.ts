/** Body of a message of which only so many bytes are accepted. */

import {OversizedBodyError} from './errors.js';

/** First capacity, in bytes. */
const MIN_CAPACITY_BYTES = 1024;

/**
 * Joins the parts of a body up to a bound. Parts are copied, because a sender may
 * put one byte into each, and a `Buffer` takes a hundred times that.
 *
 * @example
 * const body = new BoundedBody(1000);
 * body.add(part); // true: it fits
 * body.readText();
 */
export class BoundedBody {
  private buffer: Buffer = Buffer.alloc(0);
  private size = 0;

  /** @param maxBytes - Most bytes that are accepted. */
  constructor(private readonly maxBytes: number) {}

  /** Adds a part; returns false, and adds nothing, if it passes the bound. */
  add(part: Buffer): boolean {
    const size = this.size + part.length;
    if (size > this.maxBytes) return false;
    if (size > this.buffer.length) this.replaceBuffer(size);
    part.copy(this.buffer, this.size);
    this.size = size;
    return true;
  }

  /** Returns the body in a buffer of its size. */
  readBytes(): Buffer {
    return Buffer.from(this.buffer.subarray(0, this.size));
  }

  /** Returns the body as UTF-8 text. */
  readText(): string {
    return this.buffer.toString('utf8', 0, this.size);
  }

  private replaceBuffer(size: number): void {
    const wanted = Math.max(size, this.buffer.length * 2, MIN_CAPACITY_BYTES);
    const buffer = Buffer.allocUnsafeSlow(Math.min(wanted, this.maxBytes));
    this.buffer.copy(buffer, 0, 0, this.size);
    this.buffer = buffer;
  }
}

/**
 * Reads a body as UTF-8 text.
 *
 * @param maxBytes - Most bytes that are accepted; the rest is not read.
 * @throws OversizedBodyError if the body is larger, or the error of `body`.
 * @example
 * const text = await readBoundedText(response.body, 1024);
 */
export async function readBoundedText(
  body: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<string> {
  const bounded = new BoundedBody(maxBytes);
  for await (const part of body)
    if (!bounded.add(part)) throw new OversizedBodyError('body', maxBytes);
  return bounded.readText();
}
