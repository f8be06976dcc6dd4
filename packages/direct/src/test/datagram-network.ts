/** Network in memory that carries datagrams between the gates of a test. */
import {DatagramTransport} from '../peers/datagram-transport.js';
import type {DatagramListener} from '../peers/datagram-transport.js';

/** Datagram on its way from one host to another. */
export interface SentDatagram {
  readonly from: string;
  readonly to: string;
  readonly bytes: Buffer;
}

/**
 * Network with a delay; a datagram to a host without a gate is lost.
 *
 * @example
 * const network = new DatagramNetwork(() => 1);
 * const transport = network.connect('10.1.0.4');
 */
export class DatagramNetwork {
  private readonly listeners = new Map<string, DatagramListener>();

  /**
   * @param findDelayMs - Returns the delay between two hosts, in ms; undefined
   *   if the datagram is lost.
   * @param onSend - Called with each datagram that is sent.
   */
  constructor(
    private readonly findDelayMs: (
      from: string,
      to: string,
    ) => number | undefined,
    private readonly onSend: (datagram: SentDatagram) => void = () => undefined,
  ) {}

  /** Connects a host to the network. */
  connect(host: string): DatagramTransport {
    return new MemoryTransport(this, host);
  }

  /** Hands the datagrams for a host to a listener from now on. */
  addListener(host: string, listener: DatagramListener): void {
    this.listeners.set(host, listener);
  }

  /** Loses the datagrams for a host from now on. */
  removeListener(host: string): void {
    this.listeners.delete(host);
  }

  /** Delivers a datagram after its delay. */
  forward(from: string, to: string, bytes: Buffer): void {
    this.onSend({from, to, bytes});
    const delayMs = this.findDelayMs(from, to);
    if (delayMs === undefined) return;
    setTimeout(() => this.listeners.get(to)?.(bytes), delayMs);
  }
}

class MemoryTransport extends DatagramTransport {
  constructor(
    private readonly network: DatagramNetwork,
    private readonly host: string,
  ) {
    super();
  }

  override async open(listener: DatagramListener): Promise<void> {
    this.network.addListener(this.host, listener);
  }

  override send(host: string, bytes: Buffer): void {
    this.network.forward(this.host, host, bytes);
  }

  override async close(): Promise<void> {
    this.network.removeListener(this.host);
  }
}
