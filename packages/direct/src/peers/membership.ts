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

/** Time in which a greeting reaches a peer, in ms. */
const GREETING_MS = 100;

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
  /** Time of the latest greeting of each host, in ms. */
  private readonly greetedAt = new Map<string, number>();
  /** Number of heartbeats; each goes through other relays than the one before. */
  private heartbeats = 0;

  constructor(private readonly options: MembershipOptions) {
    this.addSeeds(options.seedHosts);
    this.joins = new JoinRetry({
      listUnheard: () => this.listUnheard(),
      greet: hosts => this.sendGreetings(hosts),
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
    const {host, table, placements, slowdowns, suspects, limits, state, log} =
      this.options;
    if (heartbeat.from === host) return;
    const peer = table.findOrAddPeer(heartbeat.from);
    if (peer.incarnation !== heartbeat.incarnation)
      this.applyIncarnation(peer, heartbeat);
    const unknown = heartbeat.peers.filter(named => !table.isKnown(named));
    const isNew = table.recordHeartbeat(peer, heartbeat);
    if (unknown.length > 0) this.sendFirstGreetings(unknown);
    if (heartbeat.leaves) return this.dropPeer(peer, 'left');
    placements.applyHeartbeat(heartbeat);
    for (const slowdown of heartbeat.slowdowns) slowdowns.apply(slowdown);
    suspects.merge(heartbeat.crashes ?? []);
    limits.merge(heartbeat.limits ?? []);
    this.options.usage?.applyReport(heartbeat.from, heartbeat.usage);
    for (const id of heartbeat.leaving) state.recordLeaving(id, 'peer');
    if (isNew) log.info('peer_joined', {peer: peer.host});
    const isIncomplete = placements.isIncomplete(heartbeat);
    const isReplyDue = heartbeat.wantsReply || isNew;
    const isAnswered = !isIncomplete && this.isAnswered(heartbeat);
    if ((isReplyDue && !isAnswered) || isIncomplete)
      this.sendReply(heartbeat, isReplyDue, isIncomplete);
    this.options.onHeartbeat(peer);
  }

  private runHeartbeats(): void {
    this.options.turns.run('heartbeats', () => this.broadcastHeartbeats());
  }

  private broadcastHeartbeats(wantsReply = false): void {
    const {table, suspects} = this.options;
    for (const peer of table.expireSilent()) this.dropPeer(peer, 'silent');
    const refusalSource = table.pickRefusalSource(suspects.hashRefused());
    const nameSource = table.pickNameSource();
    const live = new Set(table.listAlive().map(({host}) => host));
    const isDirect = (host: string) =>
      wantsReply ||
      host === refusalSource ||
      host === nameSource ||
      !live.has(host);
    const direct = new Set([...this.listHosts()].filter(isDirect));
    this.sendGreetings([...direct], nameSource);
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

  /**
   * Asks hosts for a heartbeat.
   *
   * @param nameSource - Host that is asked for names, too.
   */
  private sendGreetings(hosts: readonly string[], nameSource?: string): void {
    const {transport, readNow} = this.options;
    const plain = this.buildHeartbeat({wantsReply: true});
    const naming = this.buildHeartbeat({wantsReply: true, wantsNames: true});
    for (const host of hosts) {
      transport.send(host, host === nameSource ? naming : plain);
      this.greetedAt.set(host, readNow());
    }
  }

  /** Greets gates of which a peer has told. */
  private sendFirstGreetings(hosts: readonly string[]): void {
    if (this.hasLeft) return;
    this.sendGreetings(hosts);
    this.joins.start();
  }

  /**
   * Returns whether a greeting that this gate has just sent to a peer tells it
   * all that an answer would: two gates that hear of each other at once greet
   * each other.
   */
  private isAnswered({from, wantsNames}: Heartbeat): boolean {
    const {tracker, suspects, readNow} = this.options;
    const greetedAt = this.greetedAt.get(from) ?? -Infinity;
    return (
      !wantsNames &&
      readNow() - greetedAt < GREETING_MS &&
      tracker.listOwnedBy(this.owner).length === 0 &&
      suspects.listAll().length === 0
    );
  }

  /**
   * Sends a heartbeat to a peer that has asked for one, or that this gate asks.
   *
   * @param isFull - Whether the peer has asked.
   */
  private sendReply(
    {from, members, known, wantsNames}: Heartbeat,
    isFull: boolean,
    wantsReply: boolean,
  ): void {
    const {table, transport} = this.options;
    // Peers that are gone are not named: they would be named again forever.
    const live = table.listAlive();
    const isBehind = isFull && known < live.length;
    const isNaming =
      (wantsNames || isBehind) && members !== table.hashMembers();
    const peers = isNaming ? live.map(({host}) => host) : [];
    transport.send(from, this.buildHeartbeat({isFull, peers, wantsReply}));
  }

  private buildHeartbeat(contents: Partial<HeartbeatContents>): Buffer {
    const {owner, options, hasLeft} = this;
    const {table} = options;
    const params = buildHeartbeat(
      options,
      {
        owner,
        members: table.hashMembers(),
        known: table.listHosts().length,
        leaves: hasLeft,
      },
      {
        isFull: false,
        peers: [],
        wantsReply: false,
        wantsNames: false,
        ...contents,
      },
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
