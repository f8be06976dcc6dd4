/**
 * A loopback TCP proxy that injects faults: delay, resets, one-way loss,
 * silence.
 */
import {connect, createServer} from 'node:net';
import {openListener} from '@nutmeggauge/core';
import type {Server, Socket} from 'node:net';

/** What a link does to its bytes. */
export type LinkMode =
  | 'pass'
  /** Bytes arrive late. */
  | 'delay'
  /** New connections are reset. */
  | 'refuse'
  /** Nothing arrives in either direction, without a reset. */
  | 'silent'
  /** One direction is lost. */
  | 'cut-to-target'
  | 'cut-to-caller';

/** Delay, in ms. */
const DELAY_MS = 150;

/**
 * One link.
 *
 * @example
 * const link = new FaultyLink(storePort);
 * const port = await link.start();
 * link.mode = 'silent';
 */
export class FaultyLink {
  mode: LinkMode = 'pass';
  /**
   * Open sockets of both sides. A silent link does not propagate an end, so
   * each is closed by itself.
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

  /** Listens on a free port of loopback and resolves with it. */
  start(): Promise<number> {
    return openListener(this.server, {host: '127.0.0.1', port: 0});
  }

  /**
   * Resets every open connection. Half-closed ones are closed: resetting them
   * makes Node 20 spin.
   */
  dropAll(): void {
    for (const socket of this.sockets) {
      if (socket.writableEnded || socket.readableEnded) socket.destroy();
      else socket.resetAndDestroy();
    }
  }

  /** Closes every connection and stops listening. */
  stop(): void {
    this.server.close();
    this.dropAll();
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

  private forward(from: Socket, to: Socket, cut: LinkMode): void {
    this.sockets.add(from);
    from.on('data', bytes => this.sendUnlessCut(cut, () => to.write(bytes)));
    from.on('end', () => this.sendUnlessCut(cut, () => to.end()));
    // A reset is propagated, unless the link is silent.
    from.on('error', () => this.sendUnlessCut(cut, () => to.resetAndDestroy()));
    from.on('close', () => {
      this.sockets.delete(from);
      this.sendUnlessCut(cut, () => to.destroySoon());
    });
  }

  private sendUnlessCut(cut: LinkMode, send: () => void): void {
    if (this.mode === 'silent' || this.mode === cut) return;
    if (this.mode === 'delay') setTimeout(send, DELAY_MS);
    else send();
  }
}
