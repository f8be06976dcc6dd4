/**
 * A loopback TCP proxy that injects network faults: delay, connection resets,
 * and loss of bytes in one direction or both.
 */
import {connect, createServer} from 'node:net';
import {setImmediate as waitForImmediate} from 'node:timers/promises';
import {observeEnd, openListener, waitMs} from '@nutmeggauge/core';
import type {Server, Socket} from 'node:net';

/** How a link treats connections and their bytes. */
export type LinkMode =
  | 'pass'
  /** Bytes are forwarded after a delay. */
  | 'delay'
  /** New connections are reset. */
  | 'refuse'
  /** Bytes are dropped in both directions, without a reset. */
  | 'silent'
  /** Bytes are dropped in one direction. */
  | 'cut-to-target'
  | 'cut-to-caller';

/** Delay of forwarded bytes in mode `delay`, in ms. */
const DELAY_MS = 150;

/**
 * Forwards TCP connections to one target and injects faults.
 *
 * @example
 * const link = new FaultyLink(storePort);
 * const port = await link.start();
 * link.mode = 'silent';
 */
export class FaultyLink {
  mode: LinkMode = 'pass';
  /**
   * Open sockets to callers and to the target. A silent link forwards no end of
   * a connection, so both sockets of a connection are closed separately.
   */
  private readonly sockets = new Set<Socket>();
  private readonly server: Server = createServer(
    {allowHalfOpen: true},
    caller => this.accept(caller),
  );

  constructor(
    private readonly targetPort: number,
    private readonly targetHost = '127.0.0.1',
  ) {}

  /** Listens on a free loopback port and resolves with the port. */
  start(): Promise<number> {
    return openListener(this.server, {host: '127.0.0.1', port: 0});
  }

  /** Resets every open connection; those that are half-closed are closed. */
  dropConnections(): void {
    for (const socket of this.sockets) dropSocket(socket);
  }

  /** Closes every connection and stops listening. */
  stop(): void {
    this.server.close();
    this.dropConnections();
  }

  private accept(caller: Socket): void {
    if (this.mode === 'refuse') {
      caller.resetAndDestroy();
      return;
    }
    const target = connect({
      host: this.targetHost,
      port: this.targetPort,
      allowHalfOpen: true,
    });
    this.forward(caller, target, 'cut-to-target');
    this.forward(target, caller, 'cut-to-caller');
  }

  private forward(from: Socket, to: Socket, cutMode: LinkMode): void {
    this.sockets.add(from);
    const direction = new LinkDirection();
    const send = (step: () => void) => {
      if (this.mode === 'silent' || this.mode === cutMode) direction.markCut();
      direction.send(this.mode === 'delay' ? DELAY_MS : 0, step);
    };
    from.on('data', bytes => send(() => to.write(bytes)));
    void observeEnd(from).then(end => {
      if (end === 'closed') send(() => to.end());
    });
    // A reset is forwarded unless the mode drops this direction.
    from.on('error', () => send(() => dropSocket(to)));
    from.on('close', () => {
      this.sockets.delete(from);
      send(() => to.destroySoon());
    });
  }
}

/**
 * One direction of a connection. As in TCP, bytes keep their order, and nothing
 * follows bytes that were dropped.
 */
class LinkDirection {
  private isCut = false;
  private lastStep = Promise.resolve();

  /** Drops everything from now on. */
  markCut(): void {
    this.isCut = true;
  }

  /** Sends bytes or an end after a delay, in ms, and after what is on its way. */
  send(delayMs: number, step: () => void): void {
    if (this.isCut) return;
    // Bytes and a reset that arrive together go on together.
    const due = delayMs > 0 ? waitMs(delayMs) : waitForImmediate();
    this.lastStep = this.lastStep.then(() => due).then(step);
  }
}

/**
 * Resets a connection. A half-closed one is closed instead, because resetting such a
 * socket makes Node 20 spin.
 */
function dropSocket(socket: Socket): void {
  const isHalfClosed = socket.writableFinished || socket.readableEnded;
  if (isHalfClosed) socket.destroy();
  else socket.resetAndDestroy();
}
