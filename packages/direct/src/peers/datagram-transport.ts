/** Sends and receives the datagrams of a gate. */
import {createSocket} from 'node:dgram';
import {lookup} from 'node:dns';
import {isIPv4} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Socket, SocketOptions} from 'node:dgram';
import type {ListenAddress} from '@nutmeggauge/core';

/** Time for the last datagrams to be sent before the socket closes, in ms. */
const FLUSH_MS = 30;

/**
 * Finds the address of a host. The resolver of Node takes a further turn of its
 * queue for each datagram, also if the host is an address already.
 */
const findAddress: NonNullable<SocketOptions['lookup']> = (
  host,
  options,
  done,
) => {
  if (isIPv4(host)) done(null, host, 4);
  else lookup(host, options, done);
};

/** Called with the bytes of each datagram that arrives. */
export type DatagramListener = (bytes: Buffer) => void;

/** Datagrams between the gates; any of them may be lost. */
export abstract class DatagramTransport {
  /** Starts to receive. */
  abstract open(listener: DatagramListener): Promise<void>;

  /** Sends a datagram to the gate on `host`. */
  abstract send(host: string, bytes: Buffer): void;

  /** Sends what has been handed over, and stops. */
  abstract close(): Promise<void>;
}

/** Called with an error of the socket, or of a datagram to `host`. */
export type DatagramErrorListener = (error: Error, host?: string) => void;

/**
 * Datagrams over UDP, at the same port of each gate.
 *
 * @example
 * const transport = new UdpTransport({host: '10.1.0.4', port: 7340}, log);
 * await transport.open(bytes => receive(bytes));
 */
export class UdpTransport extends DatagramTransport {
  private socket: Socket | undefined;

  constructor(
    private readonly address: ListenAddress,
    private readonly onError: DatagramErrorListener,
  ) {
    super();
  }

  override async open(listener: DatagramListener): Promise<void> {
    const {host, port} = this.address;
    const socket = createSocket({type: 'udp4', lookup: findAddress});
    this.socket = socket;
    socket.on('message', listener);
    socket.on('error', error => this.onError(error));
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(port, host, resolve);
    });
  }

  override send(host: string, bytes: Buffer): void {
    this.socket?.send(bytes, this.address.port, host, error => {
      if (error !== null && error !== undefined) this.onError(error, host);
    });
  }

  override async close(): Promise<void> {
    const {socket} = this;
    this.socket = undefined;
    await sleep(FLUSH_MS);
    socket?.close();
  }
}
