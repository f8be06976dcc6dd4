/**
 * Joins the chunks of a request body before Node's parser reads them: the parser
 * takes microseconds for each chunk, however small it is.
 */

/** Why a chunked body can't be read, as an error code of Node's parser. */
export type ChunkFault =
  | 'HPE_INVALID_CHUNK_SIZE'
  | 'HPE_STRICT'
  | 'HPE_CHUNK_EXTENSIONS_OVERFLOW'
  | 'HPE_HEADER_OVERFLOW';

/** What a read of a chunked body gave. */
export interface CoalescedChunks {
  /** At most one chunk, and the end of the body if it was reached; may be empty. */
  readonly framed: Buffer;
  /** Number of bytes that were used; what follows a body belongs to no chunk. */
  readonly used: number;
  readonly isEnded: boolean;
  /** Why the rest can't be read. */
  readonly fault: ChunkFault | undefined;
}

/** Most bytes of the extension of one chunk, as Node's parser has it. */
const MAX_EXTENSION_BYTES = 16 * 1024;

/** Most bytes of the extensions of all chunks, beside a multiple of the body. */
const MAX_EXTENSIONS_BYTES = 64 * 1024;
const MAX_EXTENSIONS_MULTIPLE = 2;

/** Most hexadecimal digits of the size of a chunk. */
const MAX_SIZE_DIGITS = 12;

/** Length from which data is copied natively. */
const MIN_NATIVE_COPY_BYTES = 48;

/** Room for the size of a joined chunk before its data, and for the ends behind. */
const SIZE_ROOM = 10;
const END_ROOM = 16;

const CR = 13;
const LF = 10;
const SEMICOLON = 59;
const SPACE = 32;
const TAB = 9;

const LAST_CHUNK = '0\r\n\r\n';

/** Where a read stopped. */
type ChunkState =
  | 'size'
  | 'extension'
  | 'size-end'
  | 'data'
  | 'data-end'
  | 'data-line-end'
  | 'trailer-begin'
  | 'trailer-line'
  | 'last-line-end'
  | 'ended';

let scratch = Buffer.allocUnsafeSlow(64 * 1024 + SIZE_ROOM + END_ROOM);

/** Returns the value of a hexadecimal digit; -1 for any other byte. */
function toHexValue(byte: number): number {
  if (byte >= 48 && byte <= 57) return byte - 48;
  const lower = byte | 32;
  return lower >= 97 && lower <= 102 ? lower - 87 : -1;
}

/**
 * Rewrites one chunked body with at most one chunk for each read. Extensions and
 * trailers are counted and dropped.
 *
 * @example
 * const chunks = new ChunkCoalescer(16_384);
 * chunks.push(Buffer.from('1\r\na\r\n1\r\nb\r\n')).framed; // '2\r\nab\r\n'
 */
export class ChunkCoalescer {
  private state: ChunkState = 'size';
  private digits = 0;
  private size = 0;
  /** Bytes of the extension of this chunk, of those before it, and of the body. */
  private extensionBytes = 0;
  private extensionsBytes = 0;
  private bodyBytes = 0;
  private trailerBytes = 0;

  /** @param maxTrailerBytes - Most bytes of all trailer fields. */
  constructor(private readonly maxTrailerBytes: number) {}

  /**
   * Takes what was read.
   *
   * @returns A view of a buffer that the next call of any coalescer overwrites.
   */
  push(bytes: Buffer): CoalescedChunks {
    if (scratch.length < bytes.length + SIZE_ROOM + END_ROOM)
      scratch = Buffer.allocUnsafeSlow(bytes.length + SIZE_ROOM + END_ROOM);
    const out = scratch;
    let outAt = SIZE_ROOM;
    let at = 0;
    let fault: ChunkFault | undefined;
    const {length} = bytes;
    while (at < length && fault === undefined && this.state !== 'ended') {
      if (this.state === 'data') {
        const end = Math.min(length, at + this.size);
        const count = end - at;
        if (count < MIN_NATIVE_COPY_BYTES)
          while (at < end) out[outAt++] = bytes[at++];
        else {
          bytes.copy(out, outAt, at, end);
          outAt += count;
          at = end;
        }
        this.size -= count;
        this.bodyBytes += count;
        if (this.size === 0) this.state = 'data-end';
        continue;
      }
      if (this.state === 'trailer-line') {
        const lineEnd = bytes.indexOf(LF, at);
        const end = lineEnd === -1 ? length : lineEnd + 1;
        this.trailerBytes += end - at;
        at = end;
        if (lineEnd !== -1) this.state = 'trailer-begin';
        if (this.trailerBytes > this.maxTrailerBytes)
          fault = 'HPE_HEADER_OVERFLOW';
        continue;
      }
      if (this.state === 'trailer-begin' && bytes[at] !== CR) {
        this.state = 'trailer-line';
        continue;
      }
      fault = this.step(bytes[at++]);
    }
    const isEnded = this.state === 'ended';
    return {
      framed: renderChunk(out, outAt, isEnded),
      used: at,
      isEnded,
      fault,
    };
  }

  /** Takes a byte that is no data; returns why it can't be there. */
  private step(byte: number): ChunkFault | undefined {
    switch (this.state) {
      case 'size':
        return this.stepSize(byte);
      case 'extension':
        if (byte === CR) this.state = 'size-end';
        else if (byte === LF) return 'HPE_STRICT';
        else if (!this.countExtension()) return 'HPE_CHUNK_EXTENSIONS_OVERFLOW';
        return undefined;
      case 'size-end':
        this.digits = 0;
        this.extensionBytes = 0;
        return this.stepTo(
          byte === LF,
          this.size === 0 ? 'trailer-begin' : 'data',
        );
      case 'data-end':
        return this.stepTo(byte === CR, 'data-line-end');
      case 'data-line-end':
        return this.stepTo(byte === LF, 'size');
      case 'trailer-begin':
        return this.stepTo(byte === CR, 'last-line-end');
      default:
        return this.stepTo(byte === LF, 'ended');
    }
  }

  private stepTo(
    isExpected: boolean,
    state: ChunkState,
  ): ChunkFault | undefined {
    if (!isExpected) return 'HPE_STRICT';
    this.state = state;
    return undefined;
  }

  private stepSize(byte: number): ChunkFault | undefined {
    const digit = toHexValue(byte);
    if (digit >= 0) {
      this.size = this.size * 16 + digit;
      return ++this.digits > MAX_SIZE_DIGITS
        ? 'HPE_INVALID_CHUNK_SIZE'
        : undefined;
    }
    if (this.digits === 0) return 'HPE_INVALID_CHUNK_SIZE';
    if (byte === CR) this.state = 'size-end';
    else if (byte === SEMICOLON || byte === SPACE || byte === TAB)
      this.state = 'extension';
    else return 'HPE_INVALID_CHUNK_SIZE';
    return undefined;
  }

  /** Counts a byte of an extension; returns false if there are too many. */
  private countExtension(): boolean {
    this.extensionsBytes++;
    if (++this.extensionBytes > MAX_EXTENSION_BYTES) return false;
    const allowed = MAX_EXTENSIONS_MULTIPLE * this.bodyBytes;
    return this.extensionsBytes <= MAX_EXTENSIONS_BYTES + allowed;
  }
}

/** Puts the framing of one chunk around the data that stands at `SIZE_ROOM`. */
function renderChunk(out: Buffer, dataEnd: number, isEnded: boolean): Buffer {
  const size = dataEnd - SIZE_ROOM;
  let start = SIZE_ROOM;
  let end = dataEnd;
  if (size > 0) {
    const line = `${size.toString(16)}\r\n`;
    start -= line.length;
    out.write(line, start, 'latin1');
    out[end++] = CR;
    out[end++] = LF;
  }
  if (isEnded) end += out.write(LAST_CHUNK, end, 'latin1');
  return out.subarray(start, end);
}
