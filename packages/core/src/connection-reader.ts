/**
 * Reads callers' connections ahead of Node's parser, which decides on everything
 * that is forwarded: joins small chunks, drops trailers, and bounds what the parser
 * holds of a head and what one turn of the event loop reads of bodies.
 */
import {ChunkCoalescer} from './chunk-coalescer.js';
import {HeldReading, ReadTurns} from './read-turns.js';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {MemoryAccount, MemoryClaim} from './memory-account.js';

/** Memory of one header field beside its bytes, in bytes. */
const FIELD_BYTES = 128;

/** Bytes of a head that are not its fields. */
const START_LINE_BYTES = 4 * 1024;

/** Error code of a head for which there is no room. */
export const NO_ROOM_CODE = 'ERR_NO_ROOM';

const CR = 13;
const LF = 10;

/** Limits of what callers' connections may hold. */
export interface ConnectionLimits {
  readonly account: MemoryAccount;
  /** Reads the most bytes of the fields of a head, and of those of a trailer. */
  readonly readMaxHeadBytes: () => number;
  /** Whether a caller that asks is told to send its body. */
  readonly mayContinue: (req: IncomingMessage) => boolean;
}

/** What the next bytes of a connection are. */
type Position =
  | {readonly kind: 'head'}
  | {readonly kind: 'chunks'; readonly chunks: ChunkCoalescer}
  | {readonly kind: 'length'; leftBytes: number}
  /** Not read any more, as the request is refused and the connection closes. */
  | {readonly kind: 'over'};

const HEAD: Position = {kind: 'head'};
const OVER: Position = {kind: 'over'};

/** Shared by the connections of one server. */
interface ReaderContext extends ConnectionLimits {
  readonly server: Server;
  readonly turns: ReadTurns;
}

/**
 * Returns the memory that the head of a request takes, in bytes.
 *
 * @example
 * measureHead(['Host', 'site']); // 8 + 128
 */
export function measureHead(rawHeaders: readonly string[]): number {
  let bytes = (rawHeaders.length / 2) * FIELD_BYTES;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}

/** Reads one connection. */
class ConnectionReader {
  private position: Position = HEAD;
  private readonly parse: (bytes: Buffer) => void;
  /** Set from the first body on that takes more than one read. */
  private reading: HeldReading | undefined;
  /** Whether the last byte began a new line. */
  private isAtLineBegin = false;
  private hasHeadEnded = false;
  /** Whether the head has begun: empty lines may come before it. */
  private hasHeadBegun = false;
  /** Bytes and lines of the head that has not ended. */
  private headBytes = 0;
  private headLines = 0;
  private headClaim: MemoryClaim | undefined;

  constructor(
    private readonly context: ReaderContext,
    private readonly socket: Socket,
  ) {
    const [parse] = socket.listeners('data');
    this.parse = parse as (bytes: Buffer) => void;
    const pausing = socket.listeners('pause');
    const resuming = socket.listeners('resume');
    socket.off('data', this.parse);
    socket.on('data', (bytes: Buffer) => this.read(bytes));
    // Node.js drops its own at a listener for data; without them, a paused
    // connection goes on being read into a buffer.
    socket.on('pause', () => runAll(pausing, socket));
    socket.on('resume', () => {
      // Emitted later than the call, after which the socket may have been paused.
      if (!socket.isPaused() && socket.readableLength === 0)
        runAll(resuming, socket);
    });
    socket.once('close', () => this.close());
  }

  /** Begins a request whose head the parser has just read. */
  begin({headers}: IncomingMessage): void {
    const length = Number(headers['content-length'] ?? 0);
    if (headers['transfer-encoding'] !== undefined) {
      const maxBytes = this.context.readMaxHeadBytes();
      this.position = {kind: 'chunks', chunks: new ChunkCoalescer(maxBytes)};
    } else if (length > 0) this.position = {kind: 'length', leftBytes: length};
  }

  /** Drops what follows. */
  stop(): void {
    this.position = OVER;
    this.close();
  }

  private close(): void {
    if (this.reading !== undefined) this.context.turns.remove(this.reading);
    this.headClaim?.release();
    this.headClaim = undefined;
  }

  private read(bytes: Buffer): void {
    let rest = bytes;
    while (rest.length > 0 && this.position.kind !== 'over') {
      if (this.socket.destroyed) return;
      rest = rest.subarray(this.readNext(rest));
    }
    const {kind} = this.position;
    if (kind === 'chunks' || kind === 'length') {
      this.recordPart(bytes.length);
    } else if (this.reading !== undefined)
      this.context.turns.remove(this.reading);
    this.claimHead();
  }

  /** Records a read within a body. */
  private recordPart(bytes: number): void {
    const {turns} = this.context;
    this.reading ??= new HeldReading(this.socket);
    turns.add(this.reading);
    turns.recordRead(bytes);
  }

  /** Reads what belongs together; returns the number of bytes. */
  private readNext(bytes: Buffer): number {
    const {position} = this;
    if (position.kind === 'chunks') return this.readChunks(bytes, position);
    if (position.kind === 'head') return this.readHead(bytes);
    if (position.kind === 'over') return bytes.length;
    const used = Math.min(bytes.length, position.leftBytes);
    position.leftBytes -= used;
    if (position.leftBytes === 0) this.position = HEAD;
    this.parse(bytes.subarray(0, used));
    return used;
  }

  private readChunks(
    bytes: Buffer,
    {chunks}: Extract<Position, {kind: 'chunks'}>,
  ): number {
    const {framed, used, isEnded, fault} = chunks.push(bytes);
    if (isEnded) this.position = HEAD;
    if (framed.length > 0) this.parse(framed);
    if (fault !== undefined) this.refuse(fault);
    return used;
  }

  /** Passes a head on, at most to its end. */
  private readHead(bytes: Buffer): number {
    const end = this.findHeadEnd(bytes);
    if (this.headBytes > this.context.readMaxHeadBytes() + START_LINE_BYTES) {
      this.refuse('HPE_HEADER_OVERFLOW');
      return bytes.length;
    }
    const part = end === bytes.length ? bytes : bytes.subarray(0, end);
    this.parse(part);
    if (this.hasHeadEnded) {
      this.headBytes = 0;
      this.headLines = 0;
    }
    return end;
  }

  /** Finds the end of an empty line, or of the bytes. */
  private findHeadEnd(bytes: Buffer): number {
    let at = 0;
    this.hasHeadEnded = false;
    while (at < bytes.length) {
      if (this.isAtLineBegin && bytes[at] === CR) {
        at++;
        this.headBytes++;
        continue;
      }
      if (this.isAtLineBegin && this.hasHeadBegun && bytes[at] === LF) {
        this.isAtLineBegin = false;
        this.hasHeadBegun = false;
        this.hasHeadEnded = true;
        return at + 1;
      }
      if (bytes[at] !== CR && bytes[at] !== LF) this.hasHeadBegun = true;
      const lineEnd = bytes.indexOf(LF, at);
      this.isAtLineBegin = lineEnd !== -1;
      const next = lineEnd === -1 ? bytes.length : lineEnd + 1;
      if (lineEnd !== -1 && this.hasHeadBegun) this.headLines++;
      this.headBytes += next - at;
      at = next;
    }
    return at;
  }

  /** Charges what the parser holds of a head that has not ended. */
  private claimHead(): void {
    const isUnfinished = this.position.kind === 'head' && this.headBytes > 0;
    if (!isUnfinished) {
      this.headClaim?.release();
      this.headClaim = undefined;
      return;
    }
    this.headClaim ??= this.context.account.open(undefined, {
      onGiveUp: () => this.refuse(NO_ROOM_CODE),
    });
    const held = this.headBytes + this.headLines * FIELD_BYTES;
    if (!this.headClaim.setBytes(held)) this.refuse(NO_ROOM_CODE);
    else this.headClaim.markProgress();
  }

  /** Refuses the request as one that can't be read. */
  private refuse(code: string): void {
    this.stop();
    const error = Object.assign(new Error(`request not read: ${code}`), {code});
    const isHandled = this.context.server.emit(
      'clientError',
      error,
      this.socket,
    );
    if (!isHandled) this.socket.destroy();
  }
}

function runAll(
  listeners: ReturnType<Socket['listeners']>,
  socket: Socket,
): void {
  for (const listener of listeners) listener.call(socket);
}

/**
 * Reads the connections of a server. To be called before other listeners for
 * requests are added.
 *
 * @example
 * readConnections(server, {account, readMaxHeadBytes: () => 16_384, mayContinue});
 */
export function readConnections(
  server: Server,
  limits: ConnectionLimits,
): void {
  const context = {...limits, server, turns: new ReadTurns()};
  const readers = new WeakMap<Socket, ConnectionReader>();
  const begin = (req: IncomingMessage) => readers.get(req.socket)?.begin(req);
  server.on('connection', (socket: Socket) =>
    readers.set(socket, new ConnectionReader(context, socket)),
  );
  server.prependListener('request', begin);
  server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
    if (limits.mayContinue(req)) res.writeContinue();
    server.emit('request', req, res);
  });
  server.on('checkExpectation', (req: IncomingMessage, res: ServerResponse) => {
    begin(req);
    res.writeHead(417);
    res.end();
  });
  server.on('connect', (_, socket: Socket) => readers.get(socket)?.stop());
}
