/**
 * A loopback TCP proxy that injects network faults: delay, connection resets,
 * and loss of bytes in one direction or both.
 */
import {connect, createServer} from 'node:net';
import {observeEnd, openListener} from '@nutmeggauge/core';
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
    from.on('data', bytes =>
      this.sendUnlessCut(cutMode, () => to.write(bytes)),
    );
    void observeEnd(from).then(end => {
      if (end === 'closed') this.sendUnlessCut(cutMode, () => to.end());
    });
    // A reset is forwarded unless the mode drops this direction.
    from.on('error', () => this.sendUnlessCut(cutMode, () => dropSocket(to)));
    from.on('close', () => {
      this.sockets.delete(from);
      this.sendUnlessCut(cutMode, () => to.destroySoon());
    });
  }

  private sendUnlessCut(cutMode: LinkMode, send: () => void): void {
    if (this.mode === 'silent' || this.mode === cutMode) return;
    if (this.mode === 'delay') setTimeout(send, DELAY_MS);
    // Bytes and a reset that arrive together go on together.
    else setImmediate(send);
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
