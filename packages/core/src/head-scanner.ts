/** Finds the head of a further answer in a body whose end its connection marks. */
import {BoundedBody} from './bounded-body.js';

/** Begin of every status line of HTTP/1. */
const STATUS_LINE_BEGIN = Buffer.from('HTTP/1.');

/** Version and status, with the byte that follows them. */
const STATUS = /^HTTP\/1\.[01] [1-5]\d\d[ \r\n]$/;
const STATUS_BYTES = 13;

/** A status that replaces what is missing of a version and status. */
const ANY_STATUS = 'HTTP/1.1 200 ';

const FIELD_LINE = /^([\w!#$%&'*+.^`|~-]+):(.*)$/;
const FIELD_LINE_PART = /^[\w!#$%&'*+.^`|~-]*(?::.*)?$/;

/** Largest head, in bytes; the HTTP parser of Node.js accepts no larger one. */
const MAX_HEAD_BYTES = 16 * 1024;

const LINE_END = '\n'.charCodeAt(0);

/** Header fields by their lower-case names. */
export type HeadFields = Readonly<Record<string, string>>;

/** Result of a scan. */
export interface ScannedBytes {
  /** Bytes that are not part of a further head. */
  readonly body: Buffer;
  /** Whether the head of a further answer follows them. */
  readonly hasHead: boolean;
}

/** Bytes that begin like a status line. */
interface ParsedHead {
  readonly state: 'complete' | 'incomplete' | 'none';
  readonly fields: HeadFields;
  /** Index at which the search for the next head goes on. */
  readonly next: number;
}

function readLine(bytes: Buffer, start: number, end: number): string {
  const line = bytes.toString('latin1', start, end);
  return line.endsWith('\r') ? line.slice(0, -1) : line;
}

/**
 * Parses what begins at `start` like a status line.
 *
 * @param earlier - Result for fewer of the bytes, where parsing goes on.
 */
function parseHead(
  bytes: Buffer,
  start: number,
  earlier?: ParsedHead,
): ParsedHead {
  const fields: Record<string, string> = {...earlier?.fields};
  const status = bytes.toString('latin1', start, start + STATUS_BYTES);
  if (!STATUS.test(status + ANY_STATUS.slice(status.length)))
    return {state: 'none', fields, next: start + 1};
  if (status.length < STATUS_BYTES)
    return {state: 'incomplete', fields, next: start};
  const limit = start + MAX_HEAD_BYTES;
  // Skips larger heads that begin within these bytes, so that the search stays linear.
  const tooLong: ParsedHead = {
    state: 'none',
    fields: {},
    next: start + MAX_HEAD_BYTES / 2,
  };
  let lineStart = earlier?.next ?? start;
  for (;;) {
    const lineEnd = bytes.subarray(0, limit).indexOf(LINE_END, lineStart);
    const isStatusLine = lineStart === start;
    if (lineEnd < 0 && bytes.length >= limit) return tooLong;
    const line = readLine(
      bytes,
      lineStart,
      lineEnd < 0 ? bytes.length : lineEnd,
    );
    const [, name, value] = FIELD_LINE.exec(line) ?? [];
    if (!isStatusLine && name !== undefined)
      fields[name.toLowerCase()] = value.trim();
    if (lineEnd < 0) {
      const isOpen = isStatusLine || FIELD_LINE_PART.test(line);
      return {state: isOpen ? 'incomplete' : 'none', fields, next: lineStart};
    }
    if (line === '') return {state: 'complete', fields, next: lineEnd + 1};
    if (!isStatusLine && name === undefined)
      return {state: 'none', fields, next: lineStart};
    lineStart = lineEnd + 1;
  }
}

/** Finds the next place at which a status line may begin; -1 if there is none. */
function findBegin(bytes: Buffer, from: number): number {
  const index = bytes.indexOf(STATUS_LINE_BEGIN, from);
  if (index >= 0) return index;
  const longest = Math.min(STATUS_LINE_BEGIN.length - 1, bytes.length - from);
  for (let length = longest; length > 0; length--) {
    const begin = STATUS_LINE_BEGIN.subarray(0, length);
    if (bytes.subarray(-length).equals(begin)) return bytes.length - length;
  }
  return -1;
}

/**
 * Scans a body for heads of answers. What may be the begin of a head is held until
 * that is known; other bytes are returned at once and unchanged.
 *
 * @example
 * const scanner = new HeadScanner(fields => fields['x-request-id'] !== undefined);
 * scanner.push(Buffer.from('body')); // {body: 'body', hasHead: false}
 */
export class HeadScanner {
  private held = new BoundedBody(Infinity);
  private heldBytes = 0;
  /** Result for the held bytes, which begin like a status line. */
  private parsed: ParsedHead | undefined;

  /** @param isAnswer - Returns whether a head with these fields is an answer's. */
  constructor(private readonly isAnswer: (fields: HeadFields) => boolean) {}

  /** Adds a part of the body. */
  push(part: Buffer): ScannedBytes {
    const bytes = this.mergeHeld(part);
    if (bytes === undefined) return {body: Buffer.alloc(0), hasHead: false};
    let start = findBegin(bytes, 0);
    while (start >= 0) {
      const earlier = start === 0 ? this.parsed : undefined;
      const head = parseHead(bytes, start, earlier);
      const {state, fields, next} = head;
      this.parsed = undefined;
      if (state === 'incomplete') {
        this.parsed = {...head, next: next - start};
        this.hold(bytes.subarray(start));
        return {body: bytes.subarray(0, start), hasHead: false};
      }
      if (state === 'complete' && this.isAnswer(fields))
        return {body: bytes.subarray(0, start), hasHead: true};
      start = findBegin(bytes, next);
    }
    return {body: bytes, hasHead: false};
  }

  /** Ends the body. A head that is incomplete there counts if it is an answer's. */
  finish(): ScannedBytes {
    const body = this.removeHeld();
    if (body.length < STATUS_BYTES || !this.isAnswer(parseHead(body, 0).fields))
      return {body, hasHead: false};
    return {body: Buffer.alloc(0), hasHead: true};
  }

  /** Joins held bytes and a part; undefined if more is needed to tell them apart. */
  private mergeHeld(part: Buffer): Buffer | undefined {
    if (this.heldBytes === 0) return part;
    this.hold(part);
    const isUndecided =
      this.heldBytes > STATUS_BYTES + part.length &&
      this.heldBytes < MAX_HEAD_BYTES &&
      !part.includes(LINE_END);
    return isUndecided ? undefined : this.removeHeld();
  }

  private hold(bytes: Buffer): void {
    this.held.add(bytes);
    this.heldBytes += bytes.length;
  }

  private removeHeld(): Buffer {
    if (this.heldBytes === 0) return Buffer.alloc(0);
    const bytes = this.held.readBytes();
    this.held = new BoundedBody(Infinity);
    this.heldBytes = 0;
    return bytes;
  }
}
