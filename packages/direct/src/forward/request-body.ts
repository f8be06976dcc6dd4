/** Body of a caller's request, and the header fields that delimit it. */
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';
import type {RawHeaders} from '../types.js';

/**
 * How the end of a request body is marked: by its length, by its last chunk, or
 * not at all, as there is no body.
 */
export type RequestFraming = 'none' | 'length' | 'chunked';

/** Whole body of a request. */
export interface RequestBody {
  readonly bytes: Buffer;
  readonly framing: RequestFraming;
}

const CONTENT_LENGTH = 'Content-Length';
const TRANSFER_ENCODING = 'Transfer-Encoding';

const FRAMING_FIELDS: ReadonlySet<string> = new Set([
  CONTENT_LENGTH.toLowerCase(),
  TRANSFER_ENCODING.toLowerCase(),
]);

/** Asks for an interim answer before a body is sent. */
const EXPECT = 'expect';

/**
 * Returns how the body of a received request was delimited.
 *
 * @example
 * findRequestFraming({'content-length': '0'}); // 'length'
 */
export function findRequestFraming(
  headers: IncomingHttpHeaders,
): RequestFraming {
  if (headers['transfer-encoding'] !== undefined) return 'chunked';
  return headers['content-length'] === undefined ? 'none' : 'length';
}

function isDropped(name: string, {framing}: RequestBody): boolean {
  if (FRAMING_FIELDS.has(name)) return true;
  // Node.js sends the head early if this field is present, with chunks.
  return name === EXPECT && framing === 'none';
}

/**
 * Builds the header fields of a request whose body is delimited in the same way
 * as the caller's, whatever the method. Framing fields in `headers` are replaced.
 *
 * @returns Values by field name; a field that came several times keeps its order.
 * @example
 * buildFramedHeaders(['Host', 'site'], {bytes, framing: 'length'});
 */
export function buildFramedHeaders(
  headers: RawHeaders,
  body: RequestBody,
): OutgoingHttpHeaders {
  const names = new Map<string, string>();
  // A caller may send a field named like a property of all objects.
  const fields = Object.create(null) as Record<string, string[]>;
  for (let i = 0; i < headers.length; i += 2) {
    const key = headers[i].toLowerCase();
    if (isDropped(key, body)) continue;
    const name = names.get(key) ?? headers[i];
    names.set(key, name);
    (fields[name] ??= []).push(headers[i + 1]);
  }
  if (body.framing === 'length')
    fields[CONTENT_LENGTH] = [String(body.bytes.length)];
  if (body.framing === 'chunked') fields[TRANSFER_ENCODING] = ['chunked'];
  return fields;
}
