/**
 * Membership among gates by heartbeats. Gates are discovered through seeds,
 * which may be outdated or down. Known hosts are still contacted for a while
 * after their heartbeats have stopped, so that a restarted gate is found without
 * seeds.
 */
import {buildHeartbeat} from './heartbeat-builder.js';
import {JoinRetry} from './join-retry.js';
import {formatDatagram} from './messages.js';
import {formatOwner} from './peer-placements.js';
import type {TurnMonitor} from '@nutmeggauge/core';
import type {DecisionLog} from '../observe/decision-log.js';
import type {DatagramTransport} from './datagram-transport.js';
import type {HeartbeatContents, HeartbeatSources} from './heartbeat-builder.js';
import type {Heartbeat} from './messages.js';
import type {PeerPlacements} from './peer-placements.js';
import type {Peer, PeerTable} from './peer-table.js';
import type {ZoneRelay} from './zone-relay.js';

/** Interval between heartbeats, in ms. */
const HEARTBEAT_MS = 1000;

/**
 * Delay before a heartbeat that announces a change of facts, in ms; changes
 * within this time share one heartbeat.
 */
const CHANGE_HEARTBEAT_DELAY_MS = 100;

/** Dependencies of the membership of one gate. */
export interface MembershipOptions extends HeartbeatSources {
  readonly table: PeerTable;
  readonly placements: PeerPlacements;
  readonly transport: DatagramTransport;
  readonly relay: ZoneRelay;
  readonly seedHosts: readonly string[];
  /** Called after the heartbeat of a peer has been applied. */
  readonly onHeartbeat: (peer: Peer) => void;
  readonly turns: TurnMonitor;
  readonly log: DecisionLog;
}

/**
 * Sends the heartbeats of one gate and applies those of its peers.
 *
 * @example
 * const membership = new Membership(options);
 * membership.start();
 */
export class Membership {
  private seedHosts: readonly string[] = [];
  private timer: NodeJS.Timeout | undefined;
  private changeTimer: NodeJS.Timeout | undefined;
  private readonly joins: JoinRetry;
  private hasLeft = false;
  /** Number of heartbeats; each goes through other relays than the one before. */
  private heartbeats = 0;

  constructor(private readonly options: MembershipOptions) {
    this.addSeeds(options.seedHosts);
    this.joins = new JoinRetry({
      listUnheard: () => this.listUnheard(),
      greet: hosts => this.greet(hosts),
      maxDelayMs: HEARTBEAT_MS,
    });
  }

  /** Prefix of this gate's placement keys. */
  get owner(): string {
    return formatOwner(this.options.host, this.options.incarnation);
  }

  /** Whether this gate has told its peers that it leaves. */
  get isLeaving(): boolean {
    return this.hasLeft;
  }

  /** Starts the heartbeats. */
  start(): void {
    this.timer = setInterval(() => this.runHeartbeats(), HEARTBEAT_MS);
    this.broadcastHeartbeats(true);
    this.joins.start();
  }

  /** Replaces the seed hosts and contacts them. */
  setSeeds(seedHosts: readonly string[]): void {
    this.addSeeds(seedHosts);
    this.broadcastHeartbeats(true);
    this.joins.start();
  }

  /** Announces to peers that this gate leaves, and ends the heartbeats. */
  stop(): void {
    this.hasLeft = true;
    this.broadcastHeartbeats();
    clearInterval(this.timer);
    clearTimeout(this.changeTimer);
    this.joins.stop();
  }

  /** Sends a heartbeat soon, which tells peers of newer facts. */
  scheduleChangeHeartbeat(): void {
    if (this.changeTimer !== undefined) return;
    this.changeTimer = setTimeout(() => {
      this.changeTimer = undefined;
      this.runHeartbeats();
    }, CHANGE_HEARTBEAT_DELAY_MS);
  }

  /** Applies the heartbeat of a peer, and answers it if that is due. */
  applyHeartbeat(heartbeat: Heartbeat): void {
    const {host, table, placements, slowdowns, suspects, limits, log} =
      this.options;
    if (heartbeat.from === host) return;
    const peer = table.findOrAddPeer(heartbeat.from);
    if (peer.incarnation !== heartbeat.incarnation)
      this.applyIncarnation(peer, heartbeat);
    const unknown = heartbeat.peers.filter(named => !table.isKnown(named));
    const isNew = table.recordHeartbeat(peer, heartbeat);
    if (unknown.length > 0) this.greetNew(unknown);
    if (heartbeat.leaves) return this.dropPeer(peer, 'left');
    placements.applyHeartbeat(heartbeat);
    for (const slowdown of heartbeat.slowdowns) slowdowns.apply(slowdown);
    suspects.merge(heartbeat.crashes ?? []);
    limits.merge(heartbeat.limits ?? []);
    if (isNew) log.info('peer_joined', {peer: peer.host});
    const isIncomplete = placements.isIncomplete(heartbeat);
    const isReplyDue = heartbeat.wantsReply || isNew;
    if (isReplyDue || isIncomplete) this.reply(peer, isReplyDue, isIncomplete);
    this.options.onHeartbeat(peer);
  }

  private runHeartbeats(): void {
    this.options.turns.run('heartbeats', () => this.broadcastHeartbeats());
  }

  private broadcastHeartbeats(wantsReply = false): void {
    const {table, transport} = this.options;
    for (const peer of table.expireSilent()) this.dropPeer(peer, 'silent');
    const asked = new Set([this.pickRefusalSource(), this.pickNameSource()]);
    const live = new Set(table.listAlive().map(({host}) => host));
    const isDirect = (host: string) =>
      wantsReply || asked.has(host) || !live.has(host);
    const direct = new Set([...this.listHosts()].filter(isDirect));
    const toDirect = this.buildHeartbeat({wantsReply: true});
    for (const host of direct) transport.send(host, toDirect);
    this.options.relay.broadcast(
      this.buildHeartbeat({}),
      ++this.heartbeats,
      direct,
    );
  }

  private addSeeds(seedHosts: readonly string[]): void {
    const {host, table} = this.options;
    this.seedHosts = seedHosts.filter(seed => seed !== host);
    for (const seed of this.seedHosts) table.findOrAddPeer(seed);
  }

  /** Lists the hosts of all other gates, live or not. */
  private listHosts(): ReadonlySet<string> {
    return new Set([...this.seedHosts, ...this.options.table.listHosts()]);
  }

  private listUnheard(): readonly string[] {
    const {table} = this.options;
    return [...this.listHosts()].filter(host => !table.isHeardFrom(host));
  }

  /** Asks hosts for a heartbeat. */
  private greet(hosts: readonly string[]): void {
    const bytes = this.buildHeartbeat({wantsReply: true});
    for (const host of hosts) this.options.transport.send(host, bytes);
  }

  /** Greets gates of which a peer has told. */
  private greetNew(hosts: readonly string[]): void {
    if (this.hasLeft) return;
    this.greet(hosts);
    this.joins.start();
  }

  /**
   * Sends a heartbeat to a peer that has asked for one, or that this gate asks.
   *
   * @param isFull - Whether the peer has asked.
   */
  private reply(peer: Peer, isFull: boolean, wantsReply: boolean): void {
    const {table, transport} = this.options;
    const isNaming = isFull && peer.members !== table.hashMembers();
    // Peers that are gone are not named: they would be named again forever.
    const peers = isNaming ? table.listAlive().map(({host}) => host) : [];
    transport.send(peer.host, this.buildHeartbeat({isFull, peers, wantsReply}));
  }

  /**
   * Picks a live peer that refuses other contents than this gate, because their
   * reports were lost or came before this gate started. One is asked at a time.
   */
  private pickRefusalSource(): string | undefined {
    const {suspects, table} = this.options;
    const ownHash = suspects.hashRefused();
    const sources = table
      .listAlive()
      .filter(
        ({refusedHash}) => refusedHash !== undefined && refusedHash !== ownHash,
      );
    return pickAny(sources)?.host;
  }

  /**
   * Picks a live peer that knows other gates than this gate. One is asked for
   * their names at a time.
   */
  private pickNameSource(): string | undefined {
    const {table} = this.options;
    const ownMembers = table.hashMembers();
    return pickAny(
      table.listAlive().filter(({members}) => members !== ownMembers),
    )?.host;
  }

  private buildHeartbeat(contents: Partial<HeartbeatContents>): Buffer {
    const {owner, options, hasLeft} = this;
    const members = options.table.hashMembers();
    const params = buildHeartbeat(
      options,
      {owner, members, leaves: hasLeft},
      {isFull: false, peers: [], wantsReply: false, ...contents},
    );
    return formatDatagram({jsonrpc: '2.0', method: 'heartbeat', params});
  }

  private applyIncarnation(peer: Peer, heartbeat: Heartbeat): void {
    const {placements, log} = this.options;
    if (peer.incarnation !== undefined) {
      placements.drop(peer);
      log.info('peer_restarted', {peer: peer.host});
    }
    peer.incarnation = heartbeat.incarnation;
  }

  /** Drops a peer and its placements; a later heartbeat adds the peer again. */
  private dropPeer(peer: Peer, reason: 'left' | 'silent'): void {
    const {placements, log} = this.options;
    if (peer.incarnation === undefined) return;
    placements.drop(peer);
    peer.incarnation = undefined;
    log.info('peer_lost', {peer: peer.host, reason});
  }
}

function pickAny<T>(items: readonly T[]): T | undefined {
  return items[Math.floor(Math.random() * items.length)];
}
