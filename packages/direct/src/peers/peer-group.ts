/**
 * Membership and gossip among gates: heartbeats, placements, and the versions
 * of known facts. Gates are discovered through seeds, which may be outdated or
 * down. Known hosts are still contacted for a while after their heartbeats have
 * stopped, so that a restarted gate is found without seeds.
 */
import {PlacementAnnouncer} from '../placement/prompt-placer.js';
import {HOLD_AFTER_OUTAGE_MS} from '../fleet/target-table.js';
import {createFactsFetcher} from './facts-fetcher.js';
import {buildHeartbeat} from './heartbeat-builder.js';
import {DatagramSchema, toWirePlacement} from './messages.js';
import {JoinRetry} from './join-retry.js';
import {PeerPlacements, formatOwner} from './peer-placements.js';
import {PeerTable} from './peer-table.js';
import {StartupSync} from './startup-sync.js';
import type {CrashReport, TurnMonitor} from '@nutmeggauge/core';
import type {FactVersions} from '../fleet/fleet-state.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {PermitAnswer, PermitQuestion} from '../limits/permits.js';
import type {LimitReport} from '../limits/request-limits.js';
import type {Placement} from '../placement/placement.js';
import type {DatagramTransport} from './datagram-transport.js';
import type {FactsExchange} from './facts-exchange.js';
import type {FactsFetcher} from './facts-fetcher.js';
import type {HeartbeatContents, HeartbeatSources} from './heartbeat-builder.js';
import type {
  Datagram,
  Heartbeat,
  SentDatagram,
  SentHeartbeat,
} from './messages.js';
import type {Peer} from './peer-table.js';

/** Interval between heartbeats, in ms. */
const HEARTBEAT_MS = 1000;

/**
 * Delay before a heartbeat that announces a change of facts, in ms; changes
 * within this time share one heartbeat.
 */
const CHANGE_HEARTBEAT_DELAY_MS = 100;

/**
 * Age of the last answer above which the store counts as silent, in ms; longer
 * than one long poll.
 */
const STORE_SILENT_MS = 3000;

/** Dependencies of a peer group. */
export interface PeerGroupOptions extends HeartbeatSources {
  readonly transport: DatagramTransport;
  readonly facts: FactsExchange;
  readonly seedHosts: readonly string[];
  /** Answers the question of a peer for a permit. */
  readonly answerPermit: (question: PermitQuestion) => PermitAnswer;
  /** Called with the answer of a peer to a question of this gate. */
  readonly onPermitAnswer: (answer: PermitAnswer) => void;
  /** Called when a peer reports that a target has ended. */
  readonly onTargetEnd: (target: string) => void;
  readonly turns: TurnMonitor;
  readonly log: DecisionLog;
}

/**
 * Communicates with the peers of one gate.
 *
 * @example
 * const peers = new PeerGroup(options);
 * await peers.start();
 */
export class PeerGroup extends PlacementAnnouncer {
  private readonly table: PeerTable;
  private seedHosts: readonly string[] = [];
  private readonly placements: PeerPlacements;
  private timer: NodeJS.Timeout | undefined;
  private changeTimer: NodeJS.Timeout | undefined;
  private readonly joins: JoinRetry;
  private readonly fetcher: FactsFetcher;
  private readonly startupSync: StartupSync;
  private isLeaving = false;

  constructor(private readonly options: PeerGroupOptions) {
    super();
    const {host: ownHost, state, log, readNow, readStoreAgeMs} = options;
    const fetch = (host: string, known: FactVersions) =>
      options.facts.fetch(host, known);
    this.table = new PeerTable(ownHost, readNow);
    this.addSeeds(options.seedHosts);
    this.placements = new PeerPlacements(options.tracker, readNow);
    this.joins = new JoinRetry({
      listUnheard: () => this.listUnheard(),
      greet: hosts => this.greet(hosts),
      maxDelayMs: HEARTBEAT_MS,
    });
    this.startupSync = new StartupSync({
      state,
      listPeers: () => this.listGates().filter(host => host !== ownHost),
      listUpdateSources: () => this.listUpdateSources(),
      fetch,
      log,
      readNow,
    });
    this.fetcher = createFactsFetcher({
      state,
      isStoreSilent: () => readStoreAgeMs() > STORE_SILENT_MS,
      listUpdateSources: () => this.listUpdateSources(),
      fetch,
      log,
      readNow,
      random: Math.random,
    });
    state.onChange(({source, event}) => {
      // A configuration from a peer is announced too, so that other peers can
      // fetch it from this gate.
      if (source === 'store' || event === 'config_applied')
        this.scheduleChangeHeartbeat();
      if (event === 'target_held') this.confirmRemovals();
    });
  }

  /** Prefix of this gate's placement keys. */
  get owner(): string {
    return formatOwner(this.options.host, this.options.incarnation);
  }

  /** Whether the synchronization with peers at startup is done. */
  get isSynchronized(): boolean {
    return this.startupSync.isDone;
  }

  /** Counts the gates that share budgets, including this gate. */
  countGates(): number {
    return this.table.countBudgetMembers();
  }

  /** Lists the hosts of live gates, including this gate. */
  listGates(): readonly string[] {
    return [this.options.host, ...this.table.listAlive().map(({host}) => host)];
  }

  /** Measures the share of the other gates whose placements are known. */
  measureHeardShare(): number {
    return this.table.measureHeardShare();
  }

  /**
   * Returns the age of the latest confirmation that the facts of this gate are
   * current, in ms. Each answer of the store is a confirmation, and so is each
   * heartbeat of a peer that knows no newer facts.
   */
  readFactsAgeMs(): number {
    const {readStoreAgeMs, state} = this.options;
    const confirmedMs = this.table.readConfirmedAgeMs(state.position);
    return Math.min(readStoreAgeMs(), confirmedMs);
  }

  /** Opens the sockets and starts the heartbeats. */
  async start(): Promise<void> {
    const {transport, facts, turns} = this.options;
    await transport.open(bytes =>
      turns.run('peer_message', () => this.receive(bytes)),
    );
    await facts.open();
    this.timer = setInterval(
      () => turns.run('heartbeats', () => this.broadcastHeartbeats()),
      HEARTBEAT_MS,
    );
    this.broadcastHeartbeats(true);
    this.joins.start();
  }

  /** Replaces the seed hosts and contacts them. */
  setSeeds(seedHosts: readonly string[]): void {
    this.addSeeds(seedHosts);
    this.broadcastHeartbeats(true);
    this.joins.start();
  }

  /** Announces to peers that this gate leaves, and closes the sockets. */
  async stop(): Promise<void> {
    if (this.isLeaving) return;
    this.isLeaving = true;
    this.broadcastHeartbeats();
    clearInterval(this.timer);
    clearTimeout(this.changeTimer);
    this.joins.stop();
    this.options.facts.close();
    await this.options.transport.close();
  }

  override announcePlaced(placement: Placement): void {
    this.broadcast({
      jsonrpc: '2.0',
      method: 'placed',
      params: toWirePlacement(placement, false, this.options.readNow()),
    });
  }

  override announceFirstToken(key: string): void {
    this.broadcast({jsonrpc: '2.0', method: 'begun', params: {key}});
  }

  override announceEnded(key: string): void {
    this.broadcast({jsonrpc: '2.0', method: 'ended', params: {key}});
  }

  /** Lists the largest recent delays of the event loops of live peers, in ms. */
  listLags(): readonly number[] {
    return this.table.listAlive().map(({lagMs}) => lagMs);
  }

  /** Announces crashes under requests, or answers that clear them. */
  announceCrashes(reports: readonly CrashReport[]): void {
    this.broadcast({jsonrpc: '2.0', method: 'crashed', params: [...reports]});
  }

  /**
   * Announces that a target has ended. If the datagram is lost, the peer finds out
   * with its next connection.
   */
  announceTargetEnd(target: string): void {
    this.broadcast({
      jsonrpc: '2.0',
      method: 'target-ended',
      params: {target},
    });
  }

  /** Announces the limit that a target has named, or its end. */
  announceLimit(report: LimitReport): void {
    this.broadcast({jsonrpc: '2.0', method: 'limited', params: report});
  }

  /** Asks the home of a target for a permit. */
  askPermit(host: string, question: PermitQuestion): void {
    this.send(host, {
      jsonrpc: '2.0',
      method: 'permit-asked',
      params: question,
    });
  }

  private send(host: string, message: Datagram): void {
    this.options.transport.send(host, Buffer.from(JSON.stringify(message)));
  }

  private broadcast(message: Datagram): void {
    const bytes = Buffer.from(JSON.stringify(message));
    for (const {host} of this.table.listAlive())
      this.options.transport.send(host, bytes);
  }

  private broadcastHeartbeats(wantsReply = false): void {
    for (const peer of this.table.expireSilent()) this.dropPeer(peer, 'silent');
    const asked = new Set([this.pickRefusalSource(), this.pickNameSource()]);
    const toAll = this.buildHeartbeat({wantsReply});
    const toAsked = this.buildHeartbeat({wantsReply: true});
    for (const host of this.listHosts()) {
      const isAsked = asked.has(host) || !this.table.isHeardFrom(host);
      this.options.transport.send(host, isAsked ? toAsked : toAll);
    }
  }

  private addSeeds(seedHosts: readonly string[]): void {
    this.seedHosts = seedHosts.filter(host => host !== this.options.host);
    for (const host of this.seedHosts) this.table.findOrAddPeer(host);
  }

  /** Lists the hosts of all other gates, live or not. */
  private listHosts(): ReadonlySet<string> {
    return new Set([...this.seedHosts, ...this.table.listHosts()]);
  }

  private listUnheard(): readonly string[] {
    return [...this.listHosts()].filter(host => !this.table.isHeardFrom(host));
  }

  /** Asks hosts for a heartbeat. */
  private greet(hosts: readonly string[]): void {
    const bytes = this.buildHeartbeat({wantsReply: true});
    for (const host of hosts) this.options.transport.send(host, bytes);
  }

  /**
   * Picks a live peer that refuses other contents than this gate, because their
   * reports were lost or came before this gate started. One is asked at a time.
   */
  private pickRefusalSource(): string | undefined {
    const ownHash = this.options.suspects.hashRefused();
    return pickAny(
      this.table
        .listAlive()
        .filter(
          ({refusedHash}) =>
            refusedHash !== undefined && refusedHash !== ownHash,
        ),
    )?.host;
  }

  /**
   * Picks a live peer that knows other gates than this gate. One is asked for
   * their names at a time.
   */
  private pickNameSource(): string | undefined {
    const ownMembers = this.table.hashMembers();
    return pickAny(
      this.table.listAlive().filter(({members}) => members !== ownMembers),
    )?.host;
  }

  private buildHeartbeat(contents: Partial<HeartbeatContents>): Buffer {
    const {owner, isLeaving} = this;
    const members = this.table.hashMembers();
    return formatHeartbeat(
      buildHeartbeat(
        this.options,
        {owner, members, leaves: isLeaving},
        {isFull: false, peers: [], wantsReply: false, ...contents},
      ),
    );
  }

  private receive(bytes: Buffer): void {
    const message = this.parse(bytes);
    if (message === undefined) return;
    const {tracker, readNow} = this.options;
    if (message.method === 'heartbeat') this.applyHeartbeat(message.params);
    if (message.method === 'placed') this.placements.add(message.params);
    if (message.method === 'begun')
      tracker.markFirstToken(message.params.key, readNow());
    if (message.method === 'ended')
      tracker.remove(message.params.key, readNow());
    if (message.method === 'target-ended')
      this.options.onTargetEnd(message.params.target);
    if (message.method === 'limited')
      this.options.limits.merge([message.params]);
    if (message.method === 'permit-asked')
      this.send(message.params.from, {
        jsonrpc: '2.0',
        method: 'permit-answered',
        params: this.options.answerPermit(message.params),
      });
    if (message.method === 'permit-answered')
      this.options.onPermitAnswer(message.params);
    if (message.method === 'crashed')
      this.options.suspects.merge(message.params);
  }

  private parse(bytes: Buffer): Datagram | undefined {
    try {
      return DatagramSchema.parse(JSON.parse(bytes.toString('utf8')));
    } catch (error) {
      this.options.log.warn('peer_message_malformed', {
        bytes: bytes.length,
        reason: (error as Error).message.slice(0, 200),
      });
      return undefined;
    }
  }

  private applyHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.from === this.options.host) return;
    const peer = this.table.findOrAddPeer(heartbeat.from);
    if (peer.incarnation !== heartbeat.incarnation)
      this.applyIncarnation(peer, heartbeat);
    const unknown = heartbeat.peers.filter(host => !this.table.isKnown(host));
    const isNew = this.table.recordHeartbeat(peer, heartbeat);
    if (unknown.length > 0) this.greetNew(unknown);
    if (heartbeat.leaves) return this.dropPeer(peer, 'left');
    this.placements.applyHeartbeat(heartbeat);
    for (const slowdown of heartbeat.slowdowns)
      this.options.slowdowns.apply(slowdown);
    this.options.suspects.merge(heartbeat.crashes ?? []);
    this.options.limits.merge(heartbeat.limits ?? []);
    if (isNew) this.options.log.info('peer_joined', {peer: peer.host});
    const isIncomplete = this.placements.isIncomplete(heartbeat);
    const isReplyDue = heartbeat.wantsReply || isNew;
    if (isReplyDue || isIncomplete) this.reply(peer, isReplyDue, isIncomplete);
    if (this.isUpdateSource(peer)) this.fetcher.schedule();
    this.confirmRemovals();
  }

  /**
   * Sends a heartbeat to a peer that has asked for one, or that this gate asks.
   *
   * @param isFull - Whether the peer has asked.
   */
  private reply(peer: Peer, isFull: boolean, wantsReply: boolean): void {
    const isNaming = isFull && peer.members !== this.table.hashMembers();
    // Peers that are gone are not named: they would be named again forever.
    const peers = isNaming ? this.table.listAlive().map(({host}) => host) : [];
    this.options.transport.send(
      peer.host,
      this.buildHeartbeat({isFull, peers, wantsReply}),
    );
  }

  /** Greets gates of which a peer has told. */
  private greetNew(hosts: readonly string[]): void {
    if (this.isLeaving) return;
    this.greet(hosts);
    this.joins.start();
  }

  /**
   * Confirms removals of held targets through peers without an outage of the
   * store. Peers that may hold targets themselves confirm none.
   */
  private confirmRemovals(): void {
    const {state} = this.options;
    const since = state.outageStartedAt - HOLD_AFTER_OUTAGE_MS;
    state.confirmRemovals(this.table.findPositionWithoutOutage(since));
  }

  private applyIncarnation(peer: Peer, heartbeat: Heartbeat): void {
    const {log} = this.options;
    if (peer.incarnation !== undefined) {
      this.placements.drop(peer);
      log.info('peer_restarted', {peer: peer.host});
    }
    peer.incarnation = heartbeat.incarnation;
  }

  /** Drops a peer and its placements; a later heartbeat adds the peer again. */
  private dropPeer(peer: Peer, reason: 'left' | 'silent'): void {
    const {log} = this.options;
    if (peer.incarnation === undefined) return;
    this.placements.drop(peer);
    peer.incarnation = undefined;
    log.info('peer_lost', {peer: peer.host, reason});
  }

  private isUpdateSource(peer: Peer): boolean {
    const {state} = this.options;
    return (
      state.isBehind(peer.position) ||
      peer.configVersion > (state.config?.version ?? 0)
    );
  }

  private listUpdateSources(): readonly string[] {
    if (this.isLeaving) return [];
    const sources = this.table
      .listAlive()
      .filter(
        peer => peer.incarnation !== undefined && this.isUpdateSource(peer),
      );
    return sources.map(({host}) => host);
  }

  private scheduleChangeHeartbeat(): void {
    if (this.changeTimer !== undefined) return;
    this.changeTimer = setTimeout(() => {
      this.changeTimer = undefined;
      this.options.turns.run('heartbeats', () => this.broadcastHeartbeats());
    }, CHANGE_HEARTBEAT_DELAY_MS);
  }
}

function pickAny<T>(items: readonly T[]): T | undefined {
  return items[Math.floor(Math.random() * items.length)];
}

function formatHeartbeat(params: SentHeartbeat): Buffer {
  const message: SentDatagram = {jsonrpc: '2.0', method: 'heartbeat', params};
  return Buffer.from(JSON.stringify(message));
}
