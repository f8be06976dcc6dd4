/**
 * Communication among gates: placements, facts, and what one gate observes and
 * all have to know.
 */
import {PlacementAnnouncer} from '../placement/placed-prompt.js';
import {HOLD_AFTER_OUTAGE_MS} from '../fleet/target-table.js';
import {DatagramReceiver} from './datagram-receiver.js';
import {createFactsFetcher} from './facts-fetcher.js';
import {parsePlacementNumber} from './heartbeat-builder.js';
import {Membership} from './membership.js';
import {formatDatagram, toWirePlacement} from './messages.js';
import {formatPlacementMessage} from './placement-codec.js';
import {PeerPlacements} from './peer-placements.js';
import {PeerTable} from './peer-table.js';
import {StartupSync} from './startup-sync.js';
import {ZoneRelay} from './zone-relay.js';
import type {CrashReport, TurnMonitor} from '@nutmeggauge/core';
import type {FactVersions} from '../fleet/fleet-types.js';
import type {DecisionLog} from '../observe/decision-log.js';
import type {PermitAnswer, PermitQuestion} from '../limits/permits.js';
import type {LimitReport} from '../limits/request-limits.js';
import type {Placement} from '../placement/placement.js';
import type {WaitReport} from '../placement/waiting-prompts.js';
import type {DatagramTransport} from './datagram-transport.js';
import type {FactsExchange} from './facts-exchange.js';
import type {FactsFetcher} from './facts-fetcher.js';
import type {HeartbeatSources} from './heartbeat-builder.js';
import type {Datagram} from './messages.js';
import type {PlacementMessage} from './placement-codec.js';
import type {Peer} from './peer-table.js';

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
  /**
   * Called with what a peer announces about a waiting prompt.
   *
   * @default ignored
   */
  readonly onPromptWait?: (report: WaitReport) => void;
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
  private readonly placements: PeerPlacements;
  private readonly membership: Membership;
  private readonly relay: ZoneRelay;
  private readonly receiver: DatagramReceiver;
  private readonly fetcher: FactsFetcher;
  private readonly startupSync: StartupSync;

  constructor(private readonly options: PeerGroupOptions) {
    super();
    const {host: ownHost, state, log, readNow, readStoreAgeMs} = options;
    const fetch = (host: string, known: FactVersions) =>
      options.facts.fetch(host, known);
    this.table = new PeerTable(ownHost, readNow);
    this.placements = new PeerPlacements(options.tracker, readNow);
    this.relay = new ZoneRelay({
      zone: options.zone,
      listPeers: () => this.table.listRelayPeers(),
      send: (host, bytes) => options.transport.send(host, bytes),
    });
    this.membership = new Membership({
      ...options,
      table: this.table,
      placements: this.placements,
      relay: this.relay,
      onHeartbeat: peer => this.handleHeartbeat(peer),
    });
    this.receiver = new DatagramReceiver({
      ...options,
      relay: this.relay,
      placements: this.placements,
      onHeartbeat: heartbeat => this.membership.applyHeartbeat(heartbeat),
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
      const isOwn = source === 'store' || source === 'answer';
      if (isOwn || event === 'config_applied')
        this.membership.scheduleChangeHeartbeat();
      if (event === 'target_held') this.confirmRemovals();
    });
  }

  /** Prefix of this gate's placement keys. */
  get owner(): string {
    return this.membership.owner;
  }

  /** Whether the synchronization with peers at startup is done. */
  get isSynchronized(): boolean {
    return this.startupSync.isDone;
  }

  /** Counts the gates that share budgets, including this gate. */
  countGates(): number {
    return this.table.countBudgetMembers();
  }

  /** Counts the gates that may spend the retry budget; Infinity if unknown. */
  countBudgetSharers(): number {
    return this.table.countBudgetSharers();
  }

  /** Lists the hosts of live gates, including this gate. */
  listGates(): readonly string[] {
    return [this.options.host, ...this.table.listAlive().map(({host}) => host)];
  }

  /** Measures the share of all gates for which a home may grant permits. */
  measureGrantShare(target: string): number {
    return this.table.measureGrantShare(target);
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
      turns.run('peer_message', () => this.receiver.receive(bytes)),
    );
    await facts.open();
    this.membership.start();
  }

  /** Replaces the seed hosts and contacts them. */
  setSeeds(seedHosts: readonly string[]): void {
    this.membership.setSeeds(seedHosts);
  }

  /** Announces to peers that this gate leaves, and closes the sockets. */
  async stop(): Promise<void> {
    if (this.membership.isLeaving) return;
    this.membership.stop();
    this.options.facts.close();
    await this.options.transport.close();
  }

  override announcePlaced(placement: Placement): void {
    const params = toWirePlacement(placement, false, this.options.readNow());
    this.announcePlacement({method: 'placed', params});
  }

  override announceFirstToken(key: string): void {
    this.announcePlacement({method: 'begun', params: {key}});
  }

  override announceEnded(key: string): void {
    this.announcePlacement({method: 'ended', params: {key}});
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

  /**
   * Announces that a long prompt waits, or that it no longer does. A datagram
   * that is lost is made up for by the next one or by the end of its validity.
   */
  announceWait(report: WaitReport): void {
    const bytes = formatDatagram({
      jsonrpc: '2.0',
      method: 'prompt-waits',
      params: report,
    });
    this.relay.broadcast(bytes, parsePlacementNumber(report.key));
  }

  /** Asks the home of a target for a permit. */
  askPermit(host: string, question: PermitQuestion): void {
    this.send(host, {
      jsonrpc: '2.0',
      method: 'permit-asked',
      params: question,
    });
  }

  private announcePlacement(message: PlacementMessage): void {
    const number = parsePlacementNumber(message.params.key);
    this.relay.broadcast(formatPlacementMessage(message), number);
  }

  private send(host: string, message: Datagram): void {
    this.options.transport.send(host, formatDatagram(message));
  }

  private broadcast(message: Datagram): void {
    const bytes = formatDatagram(message);
    for (const {host} of this.table.listAlive())
      this.options.transport.send(host, bytes);
  }

  private handleHeartbeat(peer: Peer): void {
    if (this.isUpdateSource(peer)) this.fetcher.schedule();
    this.confirmRemovals();
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

  private isUpdateSource(peer: Peer): boolean {
    const {state} = this.options;
    return (
      state.isBehind(peer.position) ||
      peer.configVersion > (state.config?.version ?? 0)
    );
  }

  private listUpdateSources(): readonly string[] {
    if (this.membership.isLeaving) return [];
    const sources = this.table
      .listAlive()
      .filter(
        peer => peer.incarnation !== undefined && this.isUpdateSource(peer),
      );
    return sources.map(({host}) => host);
  }
}
