/** The peers of a gate, by host. */
import {NO_POSITION, isNewer, pickNewest} from '../fleet/fact-position.js';
import type {FactPosition} from '../fleet/fact-position.js';
import type {Heartbeat} from './messages.js';

/**
 * Silence after which a peer's placements are dropped, in ms: three heartbeats.
 */
const SILENT_MS = 3200;

/** Silence after which a peer no longer counts for shared budgets, in ms. */
const FORGET_BUDGET_MS = 30_000;

/** Silence after which a peer is no longer contacted, in ms. */
const FORGET_MS = 120_000;

/** A peer as its heartbeats describe it. */
export interface Peer {
  readonly host: string;
  /** Absent before its first heartbeat, and after it is lost. */
  incarnation: string | undefined;
  /** Last heartbeat on the monotonic clock; -Infinity before the first. */
  heardAt: number;
  /** When it became known. */
  readonly knownAt: number;
  configVersion: number;
  position: FactPosition;
  factsAgeMs: number;
  /**
   * Since when the store has answered it without an outage; Infinity in one.
   */
  contactAt: number;
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
    return this.listHeardWithin(SILENT_MS);
  }

  /** Number of gates that share budgets, this one included. */
  countSharing(): number {
    return 1 + this.listHeardWithin(FORGET_BUDGET_MS).length;
  }

  /** True after the first heartbeat of a peer. */
  isHeard(host: string): boolean {
    return (this.peers.get(host)?.heardAt ?? -Infinity) >= 0;
  }

  /** Finds a peer, or adds it. */
  readPeer(host: string): Peer {
    const known = this.peers.get(host);
    if (known !== undefined) return known;
    const peer: Peer = {
      host,
      incarnation: undefined,
      heardAt: -Infinity,
      knownAt: this.readNow(),
      configVersion: 0,
      position: NO_POSITION,
      factsAgeMs: Infinity,
      contactAt: Infinity,
    };
    if (host !== this.ownHost) this.peers.set(host, peer);
    return peer;
  }

  /** Records a heartbeat; returns whether it is the peer's first. */
  recordHeartbeat(peer: Peer, heartbeat: Heartbeat): boolean {
    const isFirst = peer.heardAt === -Infinity;
    peer.heardAt = this.readNow();
    peer.configVersion = heartbeat.configVersion;
    const {era, revision} = heartbeat;
    peer.position = {era, revision};
    peer.factsAgeMs = heartbeat.factsAgeMs;
    peer.contactAt =
      heartbeat.contactMs > 0 ? peer.heardAt - heartbeat.contactMs : Infinity;
    for (const host of heartbeat.peers) this.readPeer(host);
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
      const silentMs = now - Math.max(peer.heardAt, peer.knownAt);
      if (silentMs > SILENT_MS && peer.incarnation !== undefined)
        silent.push(peer);
      if (silentMs > FORGET_MS) this.peers.delete(peer.host);
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
        age = Math.min(age, this.readNow() - peer.heardAt + peer.factsAgeMs);
    return age;
  }

  /**
   * Newest position of a live peer that the store has answered since before
   * `since`.
   */
  findPositionInContact(since: number): FactPosition {
    return pickNewest(
      this.listAlive()
        .filter(({contactAt}) => contactAt <= since)
        .map(({position}) => position),
    );
  }

  private listHeardWithin(ms: number): readonly Peer[] {
    const since = this.readNow() - ms;
    return [...this.peers.values()].filter(peer => peer.heardAt > since);
  }
}
