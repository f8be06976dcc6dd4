/** Server whose answers have neither a length nor chunks. */
import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {openListener} from '@nutmeggauge/core';
import type {Server, Socket} from 'node:net';

/** Time between two parts of an answer, in ms. */
const PART_WAIT_MS = 100;

/** Bytes that a connection gets, and how it ends then. */
export interface UnframedAnswer {
  readonly parts: readonly string[];
  readonly end: 'FIN' | 'RST';
}

/**
 * Builds an answer that only the end of its connection ends.
 *
 * @example
 * buildUnframed('{}', ['X-A: 1']);
 */
export function buildUnframed(
  body: string,
  fields: readonly string[] = [],
): string {
  return `${['HTTP/1.1 200 OK', ...fields].join('\r\n')}\r\n\r\n${body}`;
}

/**
 * Server that sends the same bytes on each connection once it is asked, and ends the
 * connection.
 *
 * @example
 * const server = new UnframedServer();
 * const port = await server.start();
 * server.answer = {parts: [buildUnframed('{}')], end: 'RST'};
 */
export class UnframedServer {
  answer: UnframedAnswer = {parts: [], end: 'FIN'};
  /** First lines of the requests. */
  readonly requests: string[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly server: Server = createServer(socket => {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => this.sockets.delete(socket));
    socket.once('data', part => {
      this.requests.push(part.toString('latin1').split('\r\n')[0]);
      void this.sendAnswer(socket);
    });
  });

  /** Listens on a free loopback port and resolves with the port. */
  start(): Promise<number> {
    return openListener(this.server, {host: '127.0.0.1', port: 0});
  }

  /** Closes the server and its connections. */
  stop(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private async sendAnswer(socket: Socket): Promise<void> {
    const {parts, end} = this.answer;
    const last = parts.length - 1;
    for (const part of parts.slice(0, last)) {
      socket.write(part);
      await sleep(PART_WAIT_MS);
    }
    if (end === 'FIN') return void socket.end(parts[last]);
    socket.write(parts[last], () => socket.resetAndDestroy());
  }
}
