/**
 * The direct gate: a process on an entry host that forwards callers' requests
 * directly to targets.
 */
import {
  ConnectionCheck,
  HomeTable,
  PendingReads,
  SuspectRequests,
  TurnMonitor,
  createCounters,
  createLatencyHistogram,
} from '@nutmeggauge/core';
import {
  AdmissionQueues,
  createAdmissionQueue,
} from './admission/admission-queue.js';
import {CrashWatch} from './crashes/crash-watch.js';
import {runDrain} from './drain.js';
import {OpenExchanges} from './forward/open-exchanges.js';
import {createFleetState} from './fleet/fleet-state.js';
import {createStoreWatcher} from './fleet/store-watcher.js';
import {EngineSlowdowns} from './health/engine-slowdowns.js';
import {createTargetHealth} from './health/target-health.js';
import {ConnectionShedder} from './ingress/connection-shedder.js';
import {createIngress} from './ingress/ingress.js';
import {formatSlowTurn} from './observe/slow-turn.js';
import {StatusServer} from './observe/status-server.js';
import {Permits} from './limits/permits.js';
import {RequestLimits} from './limits/request-limits.js';
import {UnknownFields} from './observe/unknown-fields.js';
import {UdpTransport} from './peers/datagram-transport.js';
import {RpcFactsExchange} from './peers/facts-exchange.js';
import {PeerGroup} from './peers/peer-group.js';
import {createLoadTracker} from './placement/load-tracker.js';
import {ChoiceScheduler} from './placement/choice-scheduler.js';
import {createCallPlacer} from './placement/place-call.js';
import {PromptPlacer} from './placement/prompt-placer.js';
import {createSharedRetryBudget} from './retry/shared-retry-budget.js';
import type {ForwardContext} from './forward/context.js';
import type {
  DirectGateDependencies,
  DirectGateSettings,
} from './gate-settings.js';
import type {Ingress} from './ingress/ingress.js';
import type {MetricValues} from './observe/metrics-text.js';
import type {Target} from './types.js';

/** Interval at which held targets and suspect requests expire, in ms. */
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
  private readonly slowdowns: EngineSlowdowns;
  private readonly suspects: SuspectRequests;
  private readonly limits: RequestLimits;
  private readonly permits: Permits;
  private readonly watcher;
  private readonly peers: PeerGroup;
  private readonly ingress: Ingress;
  private readonly context: ForwardContext;
  private readonly status = new StatusServer();
  private readonly turns: TurnMonitor;
  private readonly reads = new PendingReads();
  private readonly shedder = new ConnectionShedder({
    readNow: this.readNow,
    listPeerLags: () => this.peers.listLags(),
    counters: this.counters,
  });
  private readonly choices = new ChoiceScheduler(this.reads, this.readNow);
  /** Gate that polls each engine. */
  private readonly engineHomes = new HomeTable();
  private expiryTimer: NodeJS.Timeout | undefined;
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
      listAssigned: engines => this.listAssigned(engines),
      onSlowdown: ({target, slowdown}) =>
        tracker.setSlowdown(target, slowdown, readNow()),
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
    this.limits = new RequestLimits({
      readNow,
      log,
      counters: this.counters,
      announce: report => this.peers.announceLimit(report),
    });
    this.permits = new Permits({
      host: settings.peers.host,
      limits: this.limits,
      listGates: () => this.peers.listGates(),
      messenger: {
        askPermit: (host, question) => this.peers.askPermit(host, question),
      },
      counters: this.counters,
      readNow,
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
      limits: this.limits,
      answerPermit: question => this.permits.answer(question),
      onPermitAnswer: answer => this.permits.receive(answer),
      onTargetEnd: target => void this.context.crashes.confirmEnd(target),
      turns,
      log,
      readNow,
      readStoreAgeMs: () => this.watcher.ageMs,
      readContactMs: () => this.watcher.contactMs,
    });
    this.context = {
      dialect: dependencies.dialect,
      state,
      health,
      budget: createSharedRetryBudget({
        bounds: settings.retryBounds,
        countSharers: () => this.peers.countBudgetSharers(),
        restartedAt: settings.isFirstStart ? undefined : readNow(),
      }),
      limits: this.limits,
      permits: this.permits,
      calls: createCallPlacer({
        state,
        health,
        permits: this.permits,
        zone: settings.zone,
        readNow,
      }),
      prompts: new PromptPlacer({
        owner: this.peers.owner,
        zone: settings.zone,
        state,
        health,
        slowdowns: this.slowdowns,
        permits: this.permits,
        tracker,
        announcer: this.peers,
        measureHeardShare: () => this.peers.measureHeardShare(),
        readNow,
      }),
      queues: new AdmissionQueues(service =>
        createAdmissionQueue({
          countSlots: () => this.countSlots(service),
          countGates: () => this.peers.countGates(),
          readNow,
          schedule: ({dueAt, run}) =>
            void this.choices.schedule({
              isRepeated: true,
              dueAt,
              choose: run,
            }),
        }),
      ),
      choices: this.choices,
      reads: this.reads,
      exchanges: new OpenExchanges(),
      crashes: new CrashWatch({
        state,
        serverCheck: new ConnectionCheck(),
        suspects: this.suspects,
        log,
        counters: this.counters,
        readNow,
        onEnd: target => health.recordEnd(target, readNow()),
        announceEnd: target => this.peers.announceTargetEnd(target),
      }),
      suspects: this.suspects,
      reservations: dependencies.reservations,
      reports: dependencies.reports,
      turns,
      unknownFields: new UnknownFields(log),
      log,
      counters: this.counters,
      ttftMs: createLatencyHistogram(),
      answerMs: createLatencyHistogram(),
      readNow,
      readFactsAgeMs: () => this.peers.readFactsAgeMs(),
    };
    this.ingress = createIngress(this.context, this.shedder);
    tracker.onRemove(() => this.context.queues.advance());
    this.observeChanges();
  }

  /** Opens all listeners and starts following the store. */
  async start(): Promise<void> {
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
    this.shedder.start();
    this.expiryTimer = setInterval(() => {
      this.state.expireHeld();
      this.suspects.expire();
      this.limits.expire();
    }, EXPIRY_CHECK_INTERVAL_MS);
    dependencies.log.info('gate_started', {
      zone: settings.zone,
      seeds: settings.seedHosts,
    });
  }

  /** Applies settings that were changed at run time. */
  reload(settings: Pick<DirectGateSettings, 'seedHosts'>): void {
    this.peers.setSeeds(settings.seedHosts);
    this.dependencies.log.info('settings_reloaded', {
      seeds: settings.seedHosts,
    });
  }

  /**
   * Shuts down gracefully. Readiness fails at once, and requests are still
   * accepted until the load balancer has noticed. Later requests are refused,
   * so that callers retry them at other gates.
   */
  drain(): Promise<void> {
    this.draining ??= runDrain({
      ingress: this.ingress,
      stopGraceMs: this.settings.stopGraceMs,
      stopShedding: () => this.shedder.stop(),
      leavePeers: () => this.peers.stop(),
      log: this.dependencies.log,
      readNow: this.readNow,
    });
    return this.draining;
  }

  private get isStopping(): boolean {
    return this.draining !== undefined;
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
    if (this.isStopping || !this.state.isServing) return false;
    return this.peers.isSynchronized;
  }

  private readMetrics(): MetricValues {
    return {
      counters: {...this.counters.read(), ...this.turns.readTotals()},
      latencies: {
        ttft: this.context.ttftMs.summarize(),
        answer: this.context.answerMs.summarize(),
        turn: this.turns.summarizeLengths(),
      },
      gauges: {
        requests_in_flight: this.ingress.inFlight,
        calls_in_flight: this.context.calls.countInFlight(),
        streams_in_flight: this.tracker.listOwnedBy(this.peers.owner).length,
        targets_known: this.state.targetCount,
        config_version: this.state.config?.version ?? 0,
        facts_age_ms: Math.round(this.peers.readFactsAgeMs()),
        gates_known: this.peers.countGates(),
        limited_targets: this.limits.size,
        suspect_contents: this.suspects.size,
        refused_contents: this.suspects.countRefused(),
      },
    };
  }

  /** Lists the engines that this gate, and no peer, polls. */
  private listAssigned(engines: readonly Target[]): readonly Target[] {
    this.engineHomes.setIds(this.peers.listGates());
    const {host} = this.settings.peers;
    return engines.filter(
      ({id}) =>
        // A target in need is not asked for reports.
        !this.permits.isLimited(id) && this.engineHomes.findHome(id) === host,
    );
  }

  /** Counts the slots of all usable engines of a service. */
  private countSlots(service: string): number {
    const slots = this.state.findService(service)?.engine?.slots ?? 0;
    const free = this.state
      .listUsable(service)
      .filter(({id}) => !this.permits.isLimited(id));
    return free.length * slots;
  }

  private handleNewTarget(id: string): void {
    const target = this.state.findIncarnation(id);
    if (target !== undefined) this.context.exchanges.endReplaced(target);
  }

  private observeChanges(): void {
    this.state.onRestore(({source, before, after, held, doubted}) =>
      this.dependencies.log.warn('store_restored', {
        source,
        era: after.era,
        revision: after.revision,
        earlierEra: before.era,
        earlierRevision: before.revision,
        held,
        doubted,
        configVersion: this.state.config?.version,
      }),
    );
    this.state.onChange(event => {
      if (event.event === 'target_removed') {
        this.health.drop(event.id);
        this.engineHomes.remove(event.id);
        this.context.prompts.drop(event.id);
        this.limits.drop(event.id);
        this.permits.drop(event.id);
      }
      if (event.event === 'target_added') this.handleNewTarget(event.id);
      this.dependencies.log.info(event.event, {
        id: event.id,
        source: event.source,
        revision: event.revision,
        factsAgeMs: Math.round(this.peers.readFactsAgeMs()),
      });
    });
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
