/**
 * Answers requests that Node's parser can't read with a typed error, and closes
 * their connections. Earlier requests on such a connection get their own answers
 * first: an error in their place would be taken for the outcome of a request that
 * may have run.
 */
import {NO_ROOM_CODE} from './connection-reader.js';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/**
 * Time for which a refused connection is read on after its answer, in ms: closing
 * one with unread data resets it, and the caller may lose the answer.
 */
const LINGER_MS = 500;

/** Why a request could not be read. */
export type UnreadableReason =
  /** A method that the parser doesn't know, or CONNECT. */
  | 'unknown_method'
  | 'malformed_request'
  /** The caller's bytes ended within the request. */
  | 'incomplete_request'
  | 'head_too_large'
  | 'chunk_extensions_too_large'
  | 'request_too_slow'
  /** There is no memory for its head. */
  | 'no_memory';

interface Refusal {
  readonly status: string;
  readonly reason: UnreadableReason;
  /**
   * Time after which the caller may come back, in s.
   *
   * @default a retry would not help
   */
  readonly retryAfterS?: number;
}

/** Refusals by the error codes of Node.js; the statuses are its defaults. */
const REFUSALS: ReadonlyMap<string, Refusal> = new Map<string, Refusal>([
  ['HPE_INVALID_METHOD', {status: '400 Bad Request', reason: 'unknown_method'}],
  [
    'HPE_INVALID_EOF_STATE',
    {status: '400 Bad Request', reason: 'incomplete_request'},
  ],
  [
    'HPE_HEADER_OVERFLOW',
    {
      status: '431 Request Header Fields Too Large',
      reason: 'head_too_large',
    },
  ],
  [
    'HPE_CHUNK_EXTENSIONS_OVERFLOW',
    {
      status: '413 Payload Too Large',
      reason: 'chunk_extensions_too_large',
    },
  ],
  [
    'ERR_HTTP_REQUEST_TIMEOUT',
    {status: '408 Request Timeout', reason: 'request_too_slow'},
  ],
  [
    NO_ROOM_CODE,
    {
      status: '503 Service Unavailable',
      reason: 'no_memory',
      retryAfterS: 1,
    },
  ],
]);

const CONNECT_REFUSAL: Refusal = {
  status: '400 Bad Request',
  reason: 'unknown_method',
};

const MALFORMED: Refusal = {
  status: '400 Bad Request',
  reason: 'malformed_request',
};

/** A request that could not be read. */
export interface UnreadableRequest {
  readonly reason: UnreadableReason;
  /** Error code of Node.js. */
  readonly code: string;
  /** Status of the answer; absent if none could be sent. */
  readonly status: number | undefined;
}

/** Options of {@link UnreadableRequests}. */
export interface UnreadableRequestsOptions {
  /** Renders the JSON body of an answer. */
  readonly renderBody: (reason: UnreadableReason) => object;
  /** Called once for each request that could not be read. */
  readonly record: (request: UnreadableRequest) => void;
}

/**
 * Refuses the unreadable requests of HTTP servers.
 *
 * @example
 * new UnreadableRequests({renderBody, record}).observe(server);
 */
export class UnreadableRequests {
  private readonly open = new WeakMap<Duplex, Set<ServerResponse>>();
  private readonly refused = new WeakSet<Duplex>();

  constructor(private readonly options: UnreadableRequestsOptions) {}

  /** Refuses the unreadable requests of a server. */
  observe(server: Server): void {
    server.prependListener('request', (req, res) => this.add(req, res));
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      const {code = ''} = error;
      const isUnread = code.startsWith('HPE_') || REFUSALS.has(code);
      if (!isUnread) {
        socket.destroy(error);
        return;
      }
      void this.refuse(socket, code, REFUSALS.get(code) ?? MALFORMED);
    });
    // Node.js closes the connection of a CONNECT unanswered by default.
    server.on('connect', (_, socket) => {
      socket.on('error', () => undefined);
      void this.refuse(socket, 'CONNECT', CONNECT_REFUSAL);
      socket.resume();
    });
  }

  private add({socket}: IncomingMessage, res: ServerResponse): void {
    const responses = this.open.get(socket) ?? new Set();
    this.open.set(socket, responses.add(res));
    res.once('close', () => responses.delete(res));
  }

  private async refuse(
    socket: Duplex,
    code: string,
    refusal: Refusal,
  ): Promise<void> {
    // The parser fails again on each later part of the same request.
    if (this.refused.has(socket)) return;
    this.refused.add(socket);
    const open = [...(this.open.get(socket) ?? [])];
    const earlier = open.filter(res => res.req.complete);
    // The end of a caller's bytes is a disconnect for its earlier requests.
    if (!socket.readableEnded && code !== 'CONNECT')
      await Promise.all(earlier.map(waitForClose));
    const isBegun = open.some(res => !res.closed && isUnsafe(res));
    const canAnswer = socket.writable && !isBegun;
    this.options.record({
      reason: refusal.reason,
      code,
      status: canAnswer ? Number.parseInt(refusal.status, 10) : undefined,
    });
    if (!canAnswer) {
      socket.destroy();
      return;
    }
    endWithAnswer(socket, this.renderAnswer(refusal));
  }

  private renderAnswer({status, reason, retryAfterS}: Refusal): string {
    const body = JSON.stringify(this.options.renderBody(reason));
    return [
      `HTTP/1.1 ${status}`,
      'Content-Type: application/json',
      `Content-Length: ${Buffer.byteLength(body)}`,
      ...(retryAfterS === undefined ? [] : [`Retry-After: ${retryAfterS}`]),
      'Connection: close',
      '',
      body,
    ].join('\r\n');
  }
}

/**
 * Returns true if an error on the connection could be taken for a part of this
 * answer, or for the outcome of a request that was read completely.
 */
function isUnsafe(res: ServerResponse): boolean {
  return res.headersSent || res.req.complete;
}

function waitForClose(res: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    if (res.closed) resolve();
    else res.once('close', resolve);
  });
}

function endWithAnswer(socket: Duplex, answer: string): void {
  socket.end(answer);
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.once('close', () => clearTimeout(timer));
}
