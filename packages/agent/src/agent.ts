/**
 * The agent process that runs beside one target. The agent owns the JSON-RPC
 * listener that gates connect to, and connects dispatch handling, lanes,
 * ledger, load reports, engine orders and the configuration watch.
 */
import {createServer} from 'node:net';
import {
  CLOCK_SKEW_MS,
  ConnectionCheck,
  CrashReportsSchema,
  RpcMethod,
  SuspectRequests,
  createConfigWatcher,
  createCounters,
  createLogger,
  createRpcLink,
  openListener,
  readPort,
  waitMs,
} from '@nutmeggauge/core';
import {CrashGuard} from './crashes/crash-guard.js';
import {DispatchHandler} from './dispatch/dispatch-handler.js';
import {createLanes} from './lanes/lanes.js';
import {createLedger} from './ledger/ledger.js';
import {createKeyOwnership} from './ledger/ownership.js';
import {EngineOrders} from './orders/engine-orders.js';
import {LoadReporter} from './reporting/load-reporter.js';
import {EngineTarget} from './target/engine-target.js';
import {PlainTarget} from './target/plain-target.js';
import type {
  CancelNotification,
  ConfigRecord,
  ConfigWatcher,
  CrashReport,
  DispatchOutcome,
  DispatchRequest,
  LoadReport,
  RpcLink,
} from '@nutmeggauge/core';
import type {AgentSettings} from './settings.js';

/** Sections of the configuration record that the agent reads. */
const AGENT_SECTIONS = ['pools'];

/** Interval at which a drain checks for remaining requests, in ms. */
const DRAIN_POLL_MS = 20;

/**
 * Time before the end of a drain at which queued requests are handed back, in
 * ms; at most a half of `drainTimeoutMs`.
 */
const HAND_BACK_LEAD_MS = 200;

/**
 * Time that a drain may take beyond `drainTimeoutMs`, in ms, because timers
 * fire late on a busy host.
 */
const DRAIN_SLACK_MS = 2000;

/** Ports of a target whose URL names none. */
const HTTP_PORT = 80;
const HTTPS_PORT = 443;

/** Interval at which suspect requests expire, in ms. */
const EXPIRY_CHECK_INTERVAL_MS = 1000;

/** Settings that the agent reads only when it uses them. */
const RELOADABLE_KEYS = ['drainTimeoutMs'] as const;

/**
 * Holds the state of one agent process and runs its background tasks.
 *
 * @example
 * const agent = createAgent(settings);
 * await agent.start();
 * process.on('SIGTERM', () => void agent.drain().then(() => process.exit(0)));
 */
export class Agent {
  readonly counters = createCounters();
  private readonly log = createLogger('agent');
  private readonly links = new Set<RpcLink>();
  private readonly server = createServer(socket =>
    this.accept(createRpcLink(socket, this.counters)),
  );
  private readonly dispatchHandler: DispatchHandler;
  private readonly ownership;
  private readonly reporter: LoadReporter;
  private readonly suspects: SuspectRequests;
  private readonly watcher: ConfigWatcher | undefined;
  private readonly orders: EngineOrders | undefined;
  private draining: Promise<void> | undefined;
  private expiryTimer: NodeJS.Timeout | undefined;
  readonly reloadableKeys = RELOADABLE_KEYS;

  constructor(private settings: AgentSettings) {
    const {ledger, lanes, target} = settings;
    this.ownership = createKeyOwnership({
      targetId: settings.id,
      bornAt: ledger.bootstrap ? -Infinity : Date.now() + CLOCK_SKEW_MS,
      retainMs: ledger.retainMs,
    });
    this.watcher = this.createWatcher();
    this.suspects = this.createSuspects();
    this.dispatchHandler = new DispatchHandler({
      target:
        target.kind === 'engine'
          ? new EngineTarget(target.url, lanes.prioritize)
          : new PlainTarget(target.url),
      lanes: createLanes({short: lanes.shortSlots, long: lanes.longSlots}),
      ledger: createLedger(ledger),
      ownership: this.ownership,
      crashGuard: this.createCrashGuard(),
      counters: this.counters,
      shortMaxTokens: lanes.shortMaxTokens,
      readRecordVersion: () => this.watcher?.version,
      onLoadChange: () => this.reporter.notifyChange(),
    });
    this.reporter = new LoadReporter({
      reportMs: settings.loadReportMs,
      heartbeatMs: settings.heartbeatMs,
      readLoad: () => this.readLoad(),
    });
    this.orders = this.createOrders();
  }

  /** Port that the listener is bound to; valid after `start`. */
  get port(): number {
    return readPort(this.server);
  }

  /** Opens the listener and starts the background tasks. */
  async start(): Promise<void> {
    await openListener(this.server, this.settings.listen);
    this.reporter.start();
    this.expiryTimer = setInterval(
      () => this.suspects.expire(),
      EXPIRY_CHECK_INTERVAL_MS,
    );
    this.watcher?.start();
    this.orders?.start();
    this.log.info('agent_listening', {
      id: this.settings.id,
      zone: this.settings.zone,
      port: this.port,
    });
  }

  /**
   * Refuses new requests as "not run", reports the drain to every gate at
   * once, waits at most `drainTimeoutMs` for the requests in flight, hands back
   * those that are still queued shortly before, then closes the agent. Repeated calls return the same promise.
   */
  drain(): Promise<void> {
    this.draining ??= this.runDrain();
    return this.draining;
  }

  /** Puts the reloadable settings into force. */
  applySettings(settings: AgentSettings): void {
    this.settings = settings;
  }

  /** Upper bound of the duration of `drain`, in ms. */
  get drainLimitMs(): number {
    return this.settings.drainTimeoutMs + DRAIN_SLACK_MS;
  }

  private async runDrain(): Promise<void> {
    this.dispatchHandler.drain();
    this.log.info('drain_started', {inFlight: this.dispatchHandler.size});
    this.reporter.broadcast();
    this.server.close();
    const {drainTimeoutMs} = this.settings;
    const leadMs = Math.min(HAND_BACK_LEAD_MS, drainTimeoutMs / 2);
    await this.waitForRequests(Date.now() + drainTimeoutMs - leadMs);
    this.dispatchHandler.cancelAllQueued();
    await this.waitForRequests(Date.now() + leadMs);
    this.log.info('drain_finished', {left: this.dispatchHandler.size});
    this.close();
  }

  private async waitForRequests(giveUpAt: number): Promise<void> {
    while (this.dispatchHandler.size > 0 && Date.now() < giveUpAt)
      await waitMs(DRAIN_POLL_MS);
  }

  /** Stops the background tasks and closes the listener and every link. */
  close(): void {
    this.reporter.stop();
    clearInterval(this.expiryTimer);
    this.watcher?.stop();
    this.orders?.stop();
    this.server.close();
    for (const link of this.links) link.close();
  }

  private createWatcher(): ConfigWatcher | undefined {
    const {configService} = this.settings;
    if (configService === undefined) return undefined;
    const watcher = createConfigWatcher({
      ...configService,
      counters: this.counters,
      sections: AGENT_SECTIONS,
    });
    watcher.onChange(record => this.applyRecord(record));
    return watcher;
  }

  private createSuspects(): SuspectRequests {
    const broadcast = (reports: readonly CrashReport[]) => {
      for (const link of this.links) link.notify(RpcMethod.crashed, reports);
    };
    return new SuspectRequests({
      refusalMs: this.settings.crashRefusalMs,
      log: this.log,
      counters: this.counters,
      readNow: Date.now,
      announce: broadcast,
      forward: report => broadcast([report]),
    });
  }

  private createCrashGuard(): CrashGuard {
    const {id, target} = this.settings;
    const {hostname, port, protocol} = new URL(target.url);
    const defaultPort = protocol === 'https:' ? HTTPS_PORT : HTTP_PORT;
    return new CrashGuard({
      targetId: id,
      address: {host: hostname, port: Number(port) || defaultPort},
      serverCheck: new ConnectionCheck(),
      suspects: this.suspects,
      readNow: Date.now,
    });
  }

  private createOrders(): EngineOrders | undefined {
    const {target, id} = this.settings;
    if (target.kind !== 'engine' || this.watcher === undefined)
      return undefined;
    return new EngineOrders({
      engineUrl: target.url,
      targetId: id,
      source: this.watcher,
      counters: this.counters,
    });
  }

  private applyRecord(record: ConfigRecord): void {
    for (const pool of record.pools) {
      const ids = pool.targets.map(target => target.id);
      this.ownership.applyTargets(pool.id, ids, Date.now());
    }
    void this.orders?.runReconciliation();
  }

  private accept(link: RpcLink): void {
    this.links.add(link);
    this.counters.add('agent.links_opened');
    link.handle(RpcMethod.dispatch, params =>
      this.dispatch(params as DispatchRequest, link),
    );
    link.handle(RpcMethod.cancel, params =>
      this.dispatchHandler.cancel((params as CancelNotification).requestId),
    );
    link.handle(RpcMethod.cancelQueued, params =>
      this.dispatchHandler.cancelQueued(
        (params as CancelNotification).requestId,
      ),
    );
    link.handle(RpcMethod.crashed, params => this.receiveCrashes(params));
    const known = this.suspects.listAll();
    if (known.length > 0) link.notify(RpcMethod.crashed, known);
    // A gate sends its configuration record if this agent's remains outdated.
    link.handle(RpcMethod.record, params => this.watcher?.offer(params));
    link.onClose(() => {
      this.links.delete(link);
      this.reporter.dropLink(link);
      this.dispatchHandler.cancelOwned(link);
    });
    this.reporter.addLink(link);
  }

  private receiveCrashes(params: unknown): void {
    const {data: reports} = CrashReportsSchema.safeParse(params);
    if (reports === undefined) this.counters.add('agent.crashes_malformed');
    else this.suspects.merge(reports);
  }

  private dispatch(
    request: DispatchRequest,
    link: RpcLink,
  ): Promise<DispatchOutcome> {
    link.notify(RpcMethod.accepted, {requestId: request.requestId});
    this.reporter.markDispatch(link);
    return this.dispatchHandler.dispatch(request, link, notice =>
      link.notify(RpcMethod.chunk, notice),
    );
  }

  private readLoad(): LoadReport {
    return {
      draining: this.dispatchHandler.isDraining,
      recordVersion: this.watcher?.version,
      ...this.dispatchHandler.readWorkStats(),
    };
  }
}

/**
 * Creates an agent; call `start` to listen.
 *
 * @example
 * const agent = createAgent(loadSettings(AgentSettingsSchema, 'agent.yaml'));
 */
export function createAgent(settings: AgentSettings): Agent {
  return new Agent(settings);
}
