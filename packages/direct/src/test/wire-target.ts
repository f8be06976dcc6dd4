/** Raw TCP target that records the bytes of each request that it gets. */
import {createServer} from 'node:net';
import {openListener} from '@nutmeggauge/core';
import {buildListeningTarget} from './build-target.js';
import type {Server, Socket} from 'node:net';
import type {Target} from '../types.js';

/** Time for which bytes after a complete request are awaited, in ms. */
const REST_WAIT_MS = 30;

const HEAD_END = '\r\n\r\n';

/** How the end of a request body is marked. */
export type WireFraming = 'none' | 'length' | 'chunked';

/** A request as its framing delimits it. */
export interface WireRequest {
  readonly method: string;
  readonly path: string;
  /** Header fields by their lower-case names. */
  readonly headers: Readonly<Record<string, string>>;
  readonly framing: WireFraming;
  readonly body: string;
  /** Bytes on the connection after the request. */
  readonly rest: string;
}

/** Answers a request with raw bytes. */
export type WireScript = (request: WireRequest, socket: Socket) => void;

interface ParsedBody {
  readonly framing: WireFraming;
  readonly body: string;
  readonly rest: string;
}

/** Parses a chunked body; undefined until its last chunk has arrived. */
function parseChunks(text: string): Omit<ParsedBody, 'framing'> | undefined {
  let body = '';
  let left = text;
  for (;;) {
    const match = /^([0-9a-fA-F]+)\r\n/.exec(left);
    if (match === null) return undefined;
    const size = Number.parseInt(match[1], 16);
    const end = match[0].length + size;
    if (left.length < end + 2) return undefined;
    body += left.slice(match[0].length, end);
    left = left.slice(end + 2);
    if (size === 0) return {body, rest: left};
  }
}

function parseBody(
  headers: WireRequest['headers'],
  text: string,
): ParsedBody | undefined {
  if (headers['transfer-encoding'] !== undefined) {
    const parsed = parseChunks(text);
    return parsed === undefined ? undefined : {framing: 'chunked', ...parsed};
  }
  const length = headers['content-length'];
  if (length === undefined) return {framing: 'none', body: '', rest: text};
  const size = Number(length);
  if (text.length < size) return undefined;
  return {
    framing: 'length',
    body: text.slice(0, size),
    rest: text.slice(size),
  };
}

/** Parses what one connection has sent; undefined while it is incomplete. */
function parseWireRequest(text: string): WireRequest | undefined {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const [line, ...fields] = text.slice(0, headEnd).split('\r\n');
  const [method, path] = line.split(' ');
  const headers: Record<string, string> = {};
  for (const field of fields) {
    const colon = field.indexOf(':');
    headers[field.slice(0, colon).toLowerCase()] = field
      .slice(colon + 1)
      .trim();
  }
  const parsed = parseBody(headers, text.slice(headEnd + HEAD_END.length));
  return parsed === undefined ? undefined : {method, path, headers, ...parsed};
}

/**
 * Builds the head of a signed answer to a request.
 *
 * @param fields - Further header fields, such as the framing.
 * @example
 * socket.end(buildWireHead(request, ['Content-Length: 0']));
 */
export function buildWireHead(
  request: WireRequest,
  fields: readonly string[] = [],
  status = '200 OK',
): string {
  const lines = [
    `HTTP/1.1 ${status}`,
    `x-test-id: ${request.headers['x-test-id']}`,
    'x-test-signature: signed',
    ...fields,
  ];
  return `${lines.join('\r\n')}${HEAD_END}`;
}

/** Sends a complete, signed answer. */
export function answerOnWire(request: WireRequest, socket: Socket): void {
  const bodyLine = request.method === 'HEAD' ? '' : 'whole';
  socket.end(buildWireHead(request, ['Content-Length: 5']) + bodyLine);
}

/**
 * TCP target that parses requests strictly by their framing and lets a script
 * answer them.
 *
 * @example
 * const target = await openWireTarget('t1', 'orders', answerOnWire);
 */
export class WireTarget {
  readonly requests: WireRequest[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(
    private readonly id: string,
    private readonly service: string,
    private readonly script: WireScript,
  ) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** Entry of the target for the store. */
  get entry(): Target {
    return buildListeningTarget(this.id, this.service, this.server);
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await openListener(this.server, {host: '127.0.0.1', port: 0});
  }

  /** Closes the target and its connections. */
  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => this.sockets.delete(socket));
    let text = '';
    let timer: NodeJS.Timeout | undefined;
    socket.on('data', part => {
      text += part.toString('latin1');
      if (timer !== undefined || parseWireRequest(text) === undefined) return;
      timer = setTimeout(() => this.finish(text, socket), REST_WAIT_MS);
    });
  }

  private finish(text: string, socket: Socket): void {
    const request = parseWireRequest(text);
    if (request === undefined || socket.destroyed) return;
    this.requests.push(request);
    this.script(request, socket);
  }
}

/**
 * Starts a raw target.
 *
 * @example
 * const target = await openWireTarget('t1', 'orders', answerOnWire);
 */
export async function openWireTarget(
  id: string,
  service: string,
  script: WireScript,
): Promise<WireTarget> {
  const target = new WireTarget(id, service, script);
  await target.start();
  return target;
}
