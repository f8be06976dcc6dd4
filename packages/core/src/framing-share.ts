/** How much of what arrives of a request is its body. */
import type {IncomingMessage} from 'node:http';

/**
 * Most bytes of a request that are not its body, beside a multiple of the body:
 * chunks of one byte take six, and a hundred times the time of larger ones. One
 * read may hold as many bytes of later requests.
 */
const MAX_FRAMING_BYTES = 64 * 1024;
const MAX_FRAMING_MULTIPLE = 2;

const shares = new WeakMap<IncomingMessage, FramingShare>();

/**
 * Checks whether the chunks of a request are too small to be worth parsing.
 *
 * @example
 * const framing = resolveFramingShare(req);
 * framing.add(part); // false: too small
 */
export class FramingShare {
  private readonly readBefore: number;
  private bodyBytes = 0;

  constructor(private readonly req: IncomingMessage) {
    this.readBefore = req.socket.bytesRead;
  }

  /** Adds a part of the body; returns false if the chunks are too small. */
  add(part: Buffer): boolean {
    const {socket, readableLength} = this.req;
    this.bodyBytes += part.length;
    const body = this.bodyBytes + readableLength;
    const framing = socket.bytesRead - this.readBefore - body;
    return framing <= MAX_FRAMING_BYTES + MAX_FRAMING_MULTIPLE * body;
  }
}

/**
 * Returns the share of a request; it goes on where an earlier reader has stopped.
 *
 * @example
 * resolveFramingShare(req).add(part);
 */
export function resolveFramingShare(req: IncomingMessage): FramingShare {
  const share = shares.get(req) ?? new FramingShare(req);
  shares.set(req, share);
  return share;
}
