/**
 * Passes configuration records between gates, so that a gate gets new records
 * while the configuration service is unreachable. A gate validates a record and
 * accepts it only if its version is higher than the current one.
 */
import {createServer} from 'node:net';
import {
  RpcMethod,
  createLogger,
  createRpcLink,
  openListener,
  openRpcLink,
  readPort,
} from '@nutmeggauge/core';
import type {
  ConfigWatcher,
  Counters,
  ListenAddress,
  RpcLink,
} from '@nutmeggauge/core';

/** Options of a peer relay. */
export interface PeerRelayOptions {
  /** Address on which other gates connect to this one. */
  readonly listen: ListenAddress;
  /** Relay addresses of other gates, `host:port`. */
  readonly peers: readonly string[];
  /** Interval between queries to each peer, in ms. */
  readonly periodMs: number;
  readonly watcher: ConfigWatcher;
  readonly counters: Counters;
}

/** Timeout for a peer's answer, in ms. */
const CALL_TIMEOUT_MS = 2000;

/**
 * Queries peer gates for newer configuration records and answers their queries.
 *
 * @example
 * const relay = new PeerRelay({listen, peers: ['10.0.1.4:7340'], periodMs: 2000, watcher, counters});
 * await relay.start();
 */
export class PeerRelay {
  private readonly server = createServer(socket =>
    this.accept(createRpcLink(socket, this.options.counters)),
  );
  private readonly incoming = new Set<RpcLink>();
  private readonly outgoing = new Map<string, RpcLink>();
  private readonly log = createLogger('relay');
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PeerRelayOptions) {}

  /** The bound port, after `start`. */
  get port(): number {
    return readPort(this.server);
  }

  async start(): Promise<void> {
    await openListener(this.server, this.options.listen);
    this.fetchFromPeers();
    this.timer = setInterval(
      () => this.fetchFromPeers(),
      this.options.periodMs,
    );
  }

  stop(): void {
    clearInterval(this.timer);
    this.server.close();
    for (const link of [...this.incoming, ...this.outgoing.values()])
      link.close();
  }

  private accept(link: RpcLink): void {
    const {watcher} = this.options;
    this.incoming.add(link);
    link.onClose(() => this.incoming.delete(link));
    link.handle(RpcMethod.recordVersion, () => watcher.version);
    link.handle(RpcMethod.record, () => watcher.current ?? null);
  }

  private fetchFromPeers(): void {
    for (const peer of this.options.peers) {
      void this.fetchNewerRecord(peer).catch(() =>
        this.options.counters.add('relay.peer_failed'),
      );
    }
  }

  private async fetchNewerRecord(peer: string): Promise<void> {
    const {watcher, counters} = this.options;
    const link = this.outgoing.get(peer) ?? (await this.openLink(peer));
    const version = await link.call<number>(
      RpcMethod.recordVersion,
      {},
      CALL_TIMEOUT_MS,
    );
    if (version <= watcher.version) return;
    const record = await link.call<unknown>(
      RpcMethod.record,
      {},
      CALL_TIMEOUT_MS,
    );
    if (!watcher.offer(record)) return;
    counters.add('relay.records_taken');
    this.log.info('record_taken_from_peer', {peer, version});
  }

  private async openLink(peer: string): Promise<RpcLink> {
    const link = await openRpcLink(peer, this.options.counters);
    this.outgoing.set(peer, link);
    link.onClose(() => this.outgoing.delete(peer));
    return link;
  }
}
