/**
 * Loopback proxies that forward the messages between two processes one by one,
 * so that a test can act in each gap between two messages.
 */
import {connect, createServer} from 'node:net';
import {createInterface} from 'node:readline';
import {openListener} from '@nutmeggauge/core';
import type {Server, Socket} from 'node:net';

/** Process on the path of a request. */
export type PathProcess = 'gate' | 'agent' | 'target';

/**
 * Called with the name of each message before the message is forwarded. The
 * link forwards nothing more in that direction until the promise resolves, with
 * the process that has been killed if there is one.
 */
export type MessageListener = (
  message: string,
) => Promise<PathProcess | undefined> | undefined;

/** Proxy to one listener. Subclasses know the protocol of its messages. */
export abstract class MessageLink {
  /** Process that connects, and process that listens. */
  protected abstract readonly ends: readonly [PathProcess, PathProcess];
  private readonly server: Server = createServer(caller => this.accept(caller));
  private readonly sockets = new Set<Socket>();

  /** @param address - Address of the listener, `host:port`. */
  constructor(
    private readonly address: string,
    private readonly listener: MessageListener,
  ) {}

  /** Listens on a free loopback port and resolves with `host:port`. */
  async start(): Promise<string> {
    const host = '127.0.0.1';
    const port = await openListener(this.server, {host, port: 0});
    return `${host}:${port}`;
  }

  /** Closes every connection and stops listening. */
  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Calls `receive` with the bytes of each message that arrives on a socket. */
  protected abstract read(
    socket: Socket,
    receive: (message: string) => void,
  ): void;

  /** Returns the name of a message. */
  protected abstract describeMessage(message: string): string;

  private accept(caller: Socket): void {
    const [host, port] = this.address.split(':');
    const target = connect({host, port: Number(port)});
    this.forward(caller, target);
    this.forward(target, caller);
  }

  private forward(from: Socket, to: Socket): void {
    const {ends} = this;
    this.sockets.add(from);
    from.setNoDelay(true);
    let forwarded = Promise.resolve();
    this.read(from, message => {
      forwarded = forwarded.then(async () => {
        const killed = await this.listener(this.describeMessage(message));
        // A killed process sends and receives nothing more.
        const isLost = killed !== undefined && ends.includes(killed);
        if (!isLost && !from.destroyed) to.write(message);
      });
    });
    from.on('error', () => from.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroySoon();
    });
  }
}

/**
 * Proxy between gates and one agent. Names messages by their method, chunks as
 * `chunk 0`, and the answer to a dispatch as `outcome`.
 *
 * @example
 * const address = await new AgentLink('127.0.0.1:7101', message => undefined).start();
 */
export class AgentLink extends MessageLink {
  protected readonly ends = ['gate', 'agent'] as const;

  protected read(socket: Socket, receive: (message: string) => void): void {
    const lines = createInterface({input: socket, crlfDelay: Infinity});
    lines.on('line', line => receive(`${line}\n`));
    // The line reader also emits the errors of its socket.
    lines.on('error', () => socket.destroy());
  }

  protected describeMessage(message: string): string {
    const {method, params} = JSON.parse(message) as {
      readonly method?: string;
      readonly params?: {readonly seq?: number};
    };
    if (method === undefined) return 'outcome';
    return method === 'chunk' ? `chunk ${params?.seq}` : method;
  }
}

/**
 * Proxy between an agent and its target, which speaks HTTP. Names messages
 * `request`, `response`, and by the events of a stream `token 0` and `done`.
 *
 * @example
 * const address = await new TargetLink('127.0.0.1:7201', message => undefined).start();
 */
export class TargetLink extends MessageLink {
  protected readonly ends = ['agent', 'target'] as const;

  protected read(socket: Socket, receive: (message: string) => void): void {
    socket.on('data', (bytes: Buffer) => {
      // An engine may send its last token and the end in one segment.
      for (const part of bytes.toString('latin1').split(/(?<=\n\n)/))
        receive(part);
    });
  }

  protected describeMessage(message: string): string {
    if (message.startsWith('POST ')) return 'request';
    if (message.includes('event: done')) return 'done';
    const seq = /"seq":(\d+)/.exec(message)?.[1];
    return seq === undefined ? 'response' : `token ${seq}`;
  }
}
