/** The peers of a gate, by host. */
import {NO_POSITION, isNewer, pickNewest} from '../fleet/fact-position.js';
import type {FactPosition} from '../fleet/fact-position.js';
import type {Heartbeat} from './messages.js';

/**
 * Silence after which a peer's placements are dropped, in ms: three heartbeats.
 */
const PEER_TIMEOUT_MS = 3200;

/** Silence after which a peer no longer counts for shared budgets, in ms. */
const BUDGET_SHARE_TIMEOUT_MS = 30_000;

/** Silence after which a peer is no longer contacted, in ms. */
const PEER_RETENTION_MS = 120_000;

/** A peer as its heartbeats describe it. */
export interface Peer {
  readonly host: string;
  /** Absent before its first heartbeat, and after it is lost. */
  incarnation: string | undefined;
  /** Last heartbeat on the monotonic clock; -Infinity before the first. */
  lastHeartbeatAt: number;
  /** When it became known. */
  readonly discoveredAt: number;
  configVersion: number;
  position: FactPosition;
  factsAgeMs: number;
  /**
   * Since when the store has answered it without an outage; Infinity in one.
   */
  contactSince: number;
}

/**
 * The peers of one gate.
 *
 * @example
 * const table = new PeerTable('10.1.0.4', () => performance.now());
 */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  constructor(
    private readonly ownHost: string,
    private readonly readNow: () => number,
  ) {}

  /** Hosts of all peers that are not forgotten. */
  listHosts(): readonly string[] {
    return [...this.peers.keys()];
  }

  /** Peers with a recent heartbeat. */
  listAlive(): readonly Peer[] {
    return this.listHeardFromWithin(PEER_TIMEOUT_MS);
  }

  /** Number of gates that share budgets, this one included. */
  countBudgetMembers(): number {
    return 1 + this.listHeardFromWithin(BUDGET_SHARE_TIMEOUT_MS).length;
  }

  /** True after the first heartbeat of a peer. */
  isHeardFrom(host: string): boolean {
    return (this.peers.get(host)?.lastHeartbeatAt ?? -Infinity) >= 0;
  }

  /** Finds a peer, or adds it. */
  findOrAddPeer(host: string): Peer {
    const known = this.peers.get(host);
    if (known !== undefined) return known;
    const peer: Peer = {
      host,
      incarnation: undefined,
      lastHeartbeatAt: -Infinity,
      discoveredAt: this.readNow(),
      configVersion: 0,
      position: NO_POSITION,
      factsAgeMs: Infinity,
      contactSince: Infinity,
    };
    if (host !== this.ownHost) this.peers.set(host, peer);
    return peer;
  }

  /** Records a heartbeat; returns whether it is the peer's first. */
  recordHeartbeat(peer: Peer, heartbeat: Heartbeat): boolean {
    const isFirst = peer.lastHeartbeatAt === -Infinity;
    peer.lastHeartbeatAt = this.readNow();
    peer.configVersion = heartbeat.configVersion;
    const {era, revision} = heartbeat;
    peer.position = {era, revision};
    peer.factsAgeMs = heartbeat.factsAgeMs;
    peer.contactSince =
      heartbeat.contactMs > 0
        ? peer.lastHeartbeatAt - heartbeat.contactMs
        : Infinity;
    for (const host of heartbeat.peers) this.findOrAddPeer(host);
    return isFirst;
  }

  /**
   * Lists silent peers that have not been dropped yet, and forgets those that
   * have been silent for long.
   */
  expireSilent(): readonly Peer[] {
    const now = this.readNow();
    const silent: Peer[] = [];
    for (const peer of this.peers.values()) {
      const silentMs = now - Math.max(peer.lastHeartbeatAt, peer.discoveredAt);
      if (silentMs > PEER_TIMEOUT_MS && peer.incarnation !== undefined)
        silent.push(peer);
      if (silentMs > PEER_RETENTION_MS) this.peers.delete(peer.host);
    }
    return silent;
  }

  /**
   * Age of the freshest confirmation that facts at `position` are current, in
   * ms, by a peer of the same era that knows nothing newer.
   */
  readConfirmedAgeMs(position: FactPosition): number {
    let age = Infinity;
    for (const peer of this.peers.values())
      if (
        peer.position.era === position.era &&
        !isNewer(peer.position, position)
      )
        age = Math.min(
          age,
          this.readNow() - peer.lastHeartbeatAt + peer.factsAgeMs,
        );
    return age;
  }

  /**
   * Newest position of a live peer that the store has answered since before
   * `since`.
   */
  findPositionWithoutOutage(since: number): FactPosition {
    return pickNewest(
      this.listAlive()
        .filter(({contactSince: contactAt}) => contactAt <= since)
        .map(({position}) => position),
    );
  }

  private listHeardFromWithin(ms: number): readonly Peer[] {
    const since = this.readNow() - ms;
    return [...this.peers.values()].filter(
      peer => peer.lastHeartbeatAt > since,
    );
  }
}
