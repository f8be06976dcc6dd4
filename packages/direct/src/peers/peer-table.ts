/** Tracks the peers of a gate by host, and drops those that stay silent. */
import {findHome} from '@nutmeggauge/core';
import {NO_POSITION, isNewer, pickNewest} from '../fleet/fact-position.js';
import {GrantShare} from './grant-share.js';
import {hashHosts} from './member-hash.js';
import type {FactPosition} from '../fleet/fact-position.js';
import type {Heartbeat} from './messages.js';
import type {RelayPeer} from './zone-relay.js';

/**
 * Time without a heartbeat after which a peer counts as lost and its placements
 * are dropped, in ms; three heartbeat intervals and a margin.
 */
const PEER_TIMEOUT_MS = 3200;

/**
 * Time without a heartbeat after which a peer no longer counts for shared
 * budgets, in ms.
 */
const BUDGET_SHARE_TIMEOUT_MS = 30_000;

/**
 * Time without a heartbeat after which a peer is no longer contacted, in ms.
 */
const PEER_RETENTION_MS = 120_000;

/** State of a peer according to its heartbeats. */
export interface Peer {
  readonly host: string;
  /** Availability zone; undefined until the peer has named it. */
  zone: string | undefined;
  /** Absent before the first heartbeat of the peer and after its loss. */
  incarnation: string | undefined;
  /**
   * Time of the last heartbeat on the monotonic clock, in ms; -Infinity before
   * the first.
   */
  lastHeartbeatAt: number;
  /** Time of the discovery of the peer on the monotonic clock, in ms. */
  readonly discoveredAt: number;
  configVersion: number;
  position: FactPosition;
  factsAgeMs: number;
  /**
   * Time since which the store has answered the peer without an outage, on the
   * monotonic clock, in ms; Infinity during an outage.
   */
  contactSince: number;
  /** Hash of the contents that the peer refuses; absent if there are none. */
  refusedHash: string | undefined;
  /** Largest recent delay of the peer's event loop, in ms. */
  lagMs: number;
  /** Hash of the live gates that the peer knows; absent if it sends none. */
  members: number | undefined;
  /** Whether the peer has said that it shuts down. */
  hasLeft: boolean;
}

/**
 * Keeps the state of the peers of one gate.
 *
 * @example
 * const table = new PeerTable('10.1.0.4', () => performance.now());
 */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();
  private readonly grantShare = new GrantShare(PEER_TIMEOUT_MS);

  constructor(
    private readonly ownHost: string,
    private readonly readNow: () => number,
  ) {}

  /** Lists the hosts of all known peers, live or not. */
  listHosts(): readonly string[] {
    return [...this.peers.keys()];
  }

  /** Lists peers with a recent heartbeat. */
  listAlive(): readonly Peer[] {
    return this.listWithRecentHeartbeat(PEER_TIMEOUT_MS);
  }

  /** Lists the live peers with what the relay of datagrams goes by. */
  listRelayPeers(): readonly RelayPeer[] {
    const now = this.readNow();
    return this.listAlive().map(({host, zone, lastHeartbeatAt}) => ({
      host,
      zone,
      silentMs: now - lastHeartbeatAt,
    }));
  }

  /**
   * Measures the share of the known peers that are live; 1 if no peer is known.
   * Peers that have shut down do not count.
   */
  measureHeardShare(): number {
    const present = [...this.peers.values()].filter(({hasLeft}) => !hasLeft);
    if (present.length === 0) return 1;
    const live = this.listAlive().filter(({hasLeft}) => !hasLeft);
    return live.length / present.length;
  }

  /**
   * Hashes the hosts of the live gates, including this gate. Gates compare their
   * hashes to find out whether they know the same gates.
   */
  hashMembers(): number {
    const alive = this.listAlive().map(({host}) => host);
    const hash = hashHosts([this.ownHost, ...alive]);
    this.grantShare.recordOwn(hash, this.readNow());
    return hash;
  }

  /**
   * Measures the share of all gates for which this gate may grant permits for a
   * target, whose home it is.
   */
  measureGrantShare(target: string): number {
    const {ownHost} = this;
    return this.grantShare.measure({
      alive: this.listAlive().map(({host}) => host),
      known: 1 + this.peers.size,
      ownMembers: this.hashMembers(),
      outranks: host =>
        host !== ownHost && findHome([ownHost, host], target) === ownHost,
      now: this.readNow(),
    });
  }

  /**
   * Picks a live peer that refuses other contents than this gate, because their
   * reports were lost or came before this gate started. One is asked at a time.
   */
  pickRefusalSource(ownHash: string | undefined): string | undefined {
    return pickAny(
      this.listAlive().filter(
        ({refusedHash}) => refusedHash !== undefined && refusedHash !== ownHash,
      ),
    )?.host;
  }

  /**
   * Picks a live peer that knows other gates than this gate. One is asked for
   * their names at a time.
   */
  pickNameSource(): string | undefined {
    const ownMembers = this.hashMembers();
    return pickAny(
      this.listAlive().filter(({members}) => members !== ownMembers),
    )?.host;
  }

  /**
   * Counts the gates that may spend the retry budget, including this gate and
   * silent ones; Infinity while other gates are known and none has been heard.
   */
  countBudgetSharers(): number {
    const peers = [...this.peers.values()];
    const isAnyHeard = peers.some(({host}) => this.isHeardFrom(host));
    if (peers.length > 0 && !isAnyHeard) return Infinity;
    return 1 + peers.length;
  }

  /** Counts the gates that share budgets, including this gate. */
  countBudgetMembers(): number {
    return 1 + this.listWithRecentHeartbeat(BUDGET_SHARE_TIMEOUT_MS).length;
  }

  /** Returns whether a peer has sent a heartbeat. */
  isHeardFrom(host: string): boolean {
    return (this.peers.get(host)?.lastHeartbeatAt ?? -Infinity) >= 0;
  }

  /** Finds a peer by its host, or adds it. */
  findOrAddPeer(host: string): Peer {
    const known = this.peers.get(host);
    if (known !== undefined) return known;
    const peer: Peer = {
      host,
      zone: undefined,
      incarnation: undefined,
      lastHeartbeatAt: -Infinity,
      discoveredAt: this.readNow(),
      configVersion: 0,
      position: NO_POSITION,
      factsAgeMs: Infinity,
      contactSince: Infinity,
      refusedHash: undefined,
      lagMs: 0,
      members: undefined,
      hasLeft: false,
    };
    if (host !== this.ownHost) this.peers.set(host, peer);
    return peer;
  }

  /** Returns whether a host is this gate or a known peer. */
  isKnown(host: string): boolean {
    return host === this.ownHost || this.peers.has(host);
  }

  /** Records a heartbeat; returns whether it is the first one of the peer. */
  recordHeartbeat(peer: Peer, heartbeat: Heartbeat): boolean {
    const isFirst = peer.lastHeartbeatAt === -Infinity;
    peer.lastHeartbeatAt = this.readNow();
    peer.zone = heartbeat.zone;
    peer.configVersion = heartbeat.configVersion;
    const {era, revision} = heartbeat;
    peer.position = {era, revision};
    peer.factsAgeMs = heartbeat.factsAgeMs;
    peer.contactSince =
      heartbeat.contactMs > 0
        ? peer.lastHeartbeatAt - heartbeat.contactMs
        : Infinity;
    peer.refusedHash = heartbeat.refusedHash;
    peer.lagMs = heartbeat.lagMs;
    peer.members = heartbeat.members;
    peer.hasLeft = heartbeat.leaves;
    const {known} = heartbeat;
    this.grantShare.recordPeer(peer.host, peer.members, known, this.readNow());
    for (const host of heartbeat.peers) this.findOrAddPeer(host);
    return isFirst;
  }

  /**
   * Lists peers that have timed out but are not dropped yet, and removes peers
   * that are no longer contacted.
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
   * Returns the age of the latest confirmation that facts at `position` are
   * current, in ms. A peer confirms them if it is in the same era and knows no
   * newer facts. The result is Infinity without such a peer.
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
   * Returns the newest position among the live peers that have had no outage of
   * the store since `since`.
   */
  findPositionWithoutOutage(since: number): FactPosition {
    return pickNewest(
      this.listAlive()
        .filter(({contactSince}) => contactSince <= since)
        .map(({position}) => position),
    );
  }

  private listWithRecentHeartbeat(ms: number): readonly Peer[] {
    const since = this.readNow() - ms;
    return [...this.peers.values()].filter(
      peer => peer.lastHeartbeatAt > since,
    );
  }
}

function pickAny<T>(items: readonly T[]): T | undefined {
  return items[Math.floor(Math.random() * items.length)];
}
