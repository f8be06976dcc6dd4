/**
 * The direct gate: a process on an entry host that forwards callers' requests
 * directly to targets.
 */
import {
  PendingReads,
  SuspectRequests,
  TurnMonitor,
  createCounters,
} from '@nutmeggauge/core';
import {createAccountUsage} from './accounts/account-usage.js';
import {runDrain} from './drain.js';
import {createForwardContext} from './forward/create-context.js';
import {createFleetState} from './fleet/fleet-state.js';
import {observeTargets} from './fleet/observe-targets.js';
import {observeOwnAddresses} from './fleet/own-addresses.js';
import {createStoreWatcher} from './fleet/store-watcher.js';
import {EngineHomes} from './health/engine-homes.js';
import {EngineSlowdowns} from './health/engine-slowdowns.js';
import {createTargetHealth} from './health/target-health.js';
import {ConnectionShedder} from './ingress/connection-shedder.js';
import {createIngress} from './ingress/ingress.js';
import {readGateMetrics} from './observe/gate-metrics.js';
import {observeFacts} from './observe/fact-log.js';
import {formatSlowTurn} from './observe/slow-turn.js';
import {StatusServer} from './observe/status-server.js';
import {createTargetLimits} from './limits/create-target-limits.js';
import {UdpTransport} from './peers/datagram-transport.js';
import {RpcFactsExchange} from './peers/facts-exchange.js';
import {PeerGroup} from './peers/peer-group.js';
import {createLoadTracker} from './placement/load-tracker.js';
import type {ForwardContext} from './forward/context.js';
import type {
  DirectGateDependencies,
  DirectGateSettings,
} from './gate-settings.js';
import type {Ingress} from './ingress/ingress.js';
import type {TargetLimits} from './limits/target-limits.js';
import type {MetricValues} from './observe/metrics-text.js';

/** Interval at which held targets, suspect requests and bodies expire, in ms. */
const EXPIRY_CHECK_INTERVAL_MS = 100;

/**
 * Direct gate with its listeners, its store watcher and its peers.
 *
 * @example
 * const gate = createDirectGate(settings, dependencies);
 * await gate.start();
 */
export class DirectGate {
  readonly counters = createCounters();
  private readonly readNow = () => performance.now();
  private readonly state = createFleetState(this.readNow);
  private readonly tracker = createLoadTracker(id => this.state.findEngine(id));
  private readonly health = createTargetHealth();
  private readonly usage = createAccountUsage(this.state, this.readNow);
  private readonly slowdowns: EngineSlowdowns;
  private readonly suspects: SuspectRequests;
  private readonly limits: TargetLimits;
  private readonly watcher;
  private readonly peers: PeerGroup;
  private readonly ingress: Ingress;
  private readonly context: ForwardContext;
  private readonly status: StatusServer;
  private readonly turns: TurnMonitor;
  private readonly shedder = new ConnectionShedder({
    readNow: this.readNow,
    listPeerLags: () => this.peers.listLags(),
    counters: this.counters,
  });
  private readonly engineHomes: EngineHomes;
  private expiryTimer: NodeJS.Timeout | undefined;
  private starting: Promise<void> | undefined;
  private draining: Promise<void> | undefined;

  constructor(
    private readonly settings: DirectGateSettings,
    private readonly dependencies: DirectGateDependencies,
  ) {
    const {state, readNow, health, tracker} = this;
    const {log} = dependencies;
    this.turns = new TurnMonitor({
      readNow,
      onSlowTurn: turn => log.warn('slow_turn', formatSlowTurn(turn)),
    });
    const {turns} = this;
    observeOwnAddresses(state, settings, log);
    this.watcher = createStoreWatcher({
      store: dependencies.store,
      state,
      log,
      readNow,
      turns,
      countGates: () => this.peers.countGates(),
    });
    this.slowdowns = new EngineSlowdowns({
      reports: dependencies.reports,
      // Polling has a cost, so engines are polled only while streams are open.
      listEngines: () => (tracker.isEmpty ? [] : state.listEngines()),
      listAssigned: engines => this.engineHomes.listAssigned(engines),
      onSlowdown: ({target, slowdown}) =>
        tracker.setSlowdown(target, slowdown, readNow()),
      findAccess: () => this.limits.access,
      findService: id => state.findIncarnation(id)?.service,
      turns,
      log,
      readNow,
    });
    this.suspects = new SuspectRequests({
      refusalMs: settings.crashRefusalMs,
      log,
      counters: this.counters,
      readNow,
      announce: reports => this.peers.announceCrashes(reports),
      listEnded: () => this.context.crashes.listEnded(),
      onPeerCrash: target => void this.context.crashes.confirmEnd(target),
    });
    this.limits = createTargetLimits({
      settings,
      state,
      findPeers: () => this.peers,
      onColdEngine: target => this.slowdowns.askIfAssigned(target),
      counters: this.counters,
      log,
      readNow,
    });
    const {requests, permits, access} = this.limits;
    this.engineHomes = new EngineHomes({
      host: settings.peers.host,
      listGates: () => this.peers.listGates(),
      access,
    });
    this.peers = new PeerGroup({
      host: settings.peers.host,
      zone: settings.zone,
      transport: new UdpTransport(settings.peers, (error, peer) =>
        log.warn('peer_datagram_failed', {peer, reason: error.message}),
      ),
      facts: new RpcFactsExchange({
        address: settings.peers,
        state,
        log,
        readNow,
      }),
      incarnation: `${process.pid}.${Math.floor(Math.random() * 1e9)}`,
      seedHosts: settings.seedHosts,
      state,
      tracker,
      slowdowns: this.slowdowns,
      suspects: this.suspects,
      readLagMs: () => this.shedder.readLagMs(),
      limits: requests,
      usage: this.usage,
      answerPermit: question => permits.answer(question),
      onPermitAnswer: answer => permits.receive(answer),
      onTargetEnd: target => void this.context.crashes.confirmEnd(target),
      onPromptWait: report => this.context.prompts.receiveWait(report),
      turns,
      log,
      readNow,
      readStoreAgeMs: () => this.watcher.ageMs,
      readContactMs: () => this.watcher.contactMs,
    });
    this.context = createForwardContext({
      settings,
      dependencies,
      state,
      health,
      tracker,
      slowdowns: this.slowdowns,
      suspects: this.suspects,
      limits: this.limits,
      usage: this.usage,
      peers: this.peers,
      reads: new PendingReads(),
      turns,
      counters: this.counters,
      readNow,
    });
    this.status = new StatusServer(log, this.context.callerMemory);
    this.ingress = createIngress(this.context, this.shedder);
    tracker.onRemove(() => this.context.queues.advance());
    this.observeChanges();
  }

  /** Opens all listeners and follows the store, also once a drain has begun. */
  start(): Promise<void> {
    return (this.starting ??= this.startParts());
  }

  private async startParts(): Promise<void> {
    const {settings, dependencies} = this;
    // Before anything is waited for: the gate reads no connection before it has
    // taken over the listener.
    const listening = this.ingress.start(
      settings.ingress,
      dependencies.listener,
    );
    // Awaited below, after the parts that serve requests have started.
    listening.catch(() => undefined);
    this.turns.start();
    void this.watcher.run();
    await this.peers.start();
    this.slowdowns.start();
    await this.status.openReady(
      settings.ready,
      dependencies.dialect.readyPath,
      () => this.isReady,
    );
    if (settings.metrics !== undefined)
      await this.status.openMetrics(settings.metrics, () => this.readMetrics());
    await listening;
    if (this.draining === undefined) this.shedder.start();
    this.expiryTimer = setInterval(() => {
      this.state.expireHeld();
      this.suspects.expire();
      this.limits.expire();
      this.ingress.expireBodies();
    }, EXPIRY_CHECK_INTERVAL_MS);
    dependencies.log.info('gate_started', {
      zone: settings.zone,
      seeds: settings.seedHosts,
    });
  }

  /** Applies settings that were changed at run time. */
  reload({seedHosts}: Pick<DirectGateSettings, 'seedHosts'>): void {
    this.peers.setSeeds(seedHosts);
    this.dependencies.log.info('settings_reloaded', {seeds: seedHosts});
  }

  /**
   * Shuts down gracefully. Readiness fails at once, and requests are still
   * accepted until the load balancer has noticed. Later requests are refused,
   * so that callers retry them at other gates.
   *
   * @param signalledAt - Time of the request to stop on the monotonic clock, in ms;
   *   the earliest possible one if it was noticed late.
   */
  drain(signalledAt = this.readNow()): Promise<void> {
    this.draining ??= runDrain({
      ingress: this.ingress,
      stop: this.context.stop,
      signalledAt,
      stopGraceMs: this.settings.stopGraceMs,
      stopShedding: () => this.shedder.stop(),
      leavePeers: async () => {
        // A start would join them again; `start` reports its failure.
        await this.starting?.catch(() => undefined);
        await this.peers.stop();
      },
      log: this.dependencies.log,
      readNow: this.readNow,
    });
    return this.draining;
  }

  /** Closes all listeners and connections at once, without a drain. */
  close(): void {
    clearInterval(this.expiryTimer);
    this.turns.stop();
    this.shedder.stop();
    this.watcher.stop();
    this.slowdowns.stop();
    void this.peers.stop();
    this.ingress.close();
    this.status.close();
  }

  private get isReady(): boolean {
    if (this.draining !== undefined || !this.state.isServing) return false;
    return this.peers.isSynchronized;
  }

  private readMetrics(): MetricValues {
    const {context, state, tracker, ingress, peers} = this;
    const {limits, suspects, turns} = this;
    const serving = {context, state, tracker, ingress, peers};
    return readGateMetrics({...serving, limits, suspects, turns});
  }

  private observeChanges(): void {
    const {health, engineHomes, limits, context} = this;
    observeTargets(this.state, {
      holders: [health, engineHomes, context.prompts, limits],
      onAdd: added => context.exchanges.endReplaced(added),
    });
    observeFacts(this.state, this.dependencies.log, () =>
      this.peers.readFactsAgeMs(),
    );
  }
}

/**
 * Creates a direct gate.
 *
 * @example
 * const gate = createDirectGate(settings, dependencies);
 */
export function createDirectGate(
  settings: DirectGateSettings,
  dependencies: DirectGateDependencies,
): DirectGate {
  return new DirectGate(settings, dependencies);
}
