/**
 * Bounds what one turn of the event loop reads of request bodies. While a turn runs,
 * the process answers nobody.
 */
import type {Socket} from 'node:net';

/** Most bytes of bodies that are read in one turn, beside the last read. */
const TURN_BYTES = 256 * 1024;

/** Connections that are read again in each turn after their reading was held. */
const RESUMED_PER_TURN = 16;

/**
 * Connection whose reading can be held, whoever else resumes it.
 *
 * @example
 * const reading = new HeldReading(socket);
 * reading.hold();
 * socket.resume(); // reads from `release` on
 */
export class HeldReading {
  private isHeld = false;
  private isWanted: boolean;
  private readonly resumeSocket: () => void;
  private readonly pauseSocket: () => void;

  constructor(private readonly socket: Socket) {
    this.isWanted = !socket.isPaused();
    this.resumeSocket = socket.resume.bind(socket);
    this.pauseSocket = socket.pause.bind(socket);
    socket.resume = () => {
      this.isWanted = true;
      if (!this.isHeld) this.resumeSocket();
      return socket;
    };
    socket.pause = () => {
      this.isWanted = false;
      this.pauseSocket();
      return socket;
    };
  }

  /** Whether the connection is not open any more. */
  get isOver(): boolean {
    return this.socket.destroyed;
  }

  /** Stops reading. */
  hold(): void {
    this.isHeld = true;
    this.pauseSocket();
  }

  /** Reads on, unless a reader of the socket has paused it. */
  release(): void {
    this.isHeld = false;
    if (this.isWanted) this.resumeSocket();
  }
}

/**
 * Shares the turns of the event loop among the connections whose requests have not
 * arrived whole. Each is read again after all others; heads are read at any time.
 *
 * @example
 * turns.add(reading);
 * turns.recordRead(bytes.length);
 */
export class ReadTurns {
  private leftBytes = TURN_BYTES;
  private isTurnBegun = false;
  /** Connections that are read. */
  private readonly reading = new Set<HeldReading>();
  /** Connections whose reading is held, longest held first. */
  private readonly held = new Set<HeldReading>();

  /** Adds a connection within a body. */
  add(reading: HeldReading): void {
    if (this.held.has(reading)) return;
    // Behind the others, as it has just been read.
    this.reading.delete(reading);
    this.reading.add(reading);
    if (this.leftBytes <= 0) this.holdAll();
  }

  /** Removes a connection whose body has arrived, or that has closed. */
  remove(reading: HeldReading): void {
    this.reading.delete(reading);
    if (this.held.delete(reading)) reading.release();
  }

  /** Counts bytes that were read in this turn. */
  recordRead(bytes: number): void {
    this.leftBytes -= bytes;
    this.startTurn();
    if (this.leftBytes <= 0) this.holdAll();
  }

  private startTurn(): void {
    if (this.isTurnBegun) return;
    this.isTurnBegun = true;
    setImmediate(() => this.endTurn());
  }

  private holdAll(): void {
    for (const reading of this.reading) {
      reading.hold();
      this.held.add(reading);
    }
    this.reading.clear();
  }

  private endTurn(): void {
    this.isTurnBegun = false;
    this.leftBytes = TURN_BYTES;
    let count = 0;
    for (const reading of this.held) {
      if (count++ === RESUMED_PER_TURN) break;
      this.held.delete(reading);
      if (reading.isOver) continue;
      this.reading.add(reading);
      reading.release();
    }
    if (this.held.size > 0) this.startTurn();
  }
}
