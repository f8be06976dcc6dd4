/**
 * The agent: the one small process in a target host's slot. It owns the
 * json-rpc listener that gates connect to and wires the slices together:
 * intake, lanes, ledger, load reports, orders and the configuration watch.
 */
import {createServer} from 'node:net';
import {
  CLOCK_SKEW_MS,
  RpcMethod,
  createConfigWatcher,
  createCounters,
  createLogger,
  createRpcLink,
  openListener,
  readPort,
  waitMs,
} from '@nutmeggauge/core';
import {Intake} from './intake/intake.js';
import {createLanes} from './lanes/lanes.js';
import {createLedger} from './ledger/ledger.js';
import {createKeyOwnership} from './ledger/ownership.js';
import {EngineOrders} from './orders/engine-orders.js';
import {LoadReporter} from './reporting/load-reporter.js';
import {EngineTarget} from './target/engine-target.js';
import {PlainTarget} from './target/plain-target.js';
import type {
  CancelNotice,
  ConfigRecord,
  ConfigWatcher,
  DispatchOutcome,
  DispatchRequest,
  LoadReport,
  RpcLink,
} from '@nutmeggauge/core';
import type {AgentSettings} from './settings.js';

/** Sections of the configuration record that an agent reads. */
const AGENT_SECTIONS = ['pools'];

/** How often a drain looks whether the last request has ended, in ms. */
const DRAIN_POLL_MS = 20;

/** What a drain may take past its own bound, in ms: a busy host's timers. */
const DRAIN_SLACK_MS = 2000;

/**
 * One agent process's state and tasks.
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
  private readonly intake: Intake;
  private readonly ownership;
  private readonly reporter: LoadReporter;
  private readonly watcher: ConfigWatcher | undefined;
  private readonly orders: EngineOrders | undefined;
  private draining: Promise<void> | undefined;

  constructor(private readonly settings: AgentSettings) {
    const {ledger, lanes, target} = settings;
    this.ownership = createKeyOwnership({
      targetId: settings.id,
      bornAt: ledger.bootstrap ? -Infinity : Date.now() + CLOCK_SKEW_MS,
      retainMs: ledger.retainMs,
    });
    this.watcher = this.createWatcher();
    this.intake = new Intake({
      target:
        target.kind === 'engine'
          ? new EngineTarget(target.url, lanes.prioritize)
          : new PlainTarget(target.url),
      lanes: createLanes({short: lanes.shortSlots, long: lanes.longSlots}),
      ledger: createLedger(ledger),
      ownership: this.ownership,
      counters: this.counters,
      shortMaxTokens: lanes.shortMaxTokens,
      readRecordVersion: () => this.watcher?.version,
      onWorkChange: () => this.reporter.notifyChange(),
    });
    this.reporter = new LoadReporter({
      reportMs: settings.loadReportMs,
      heartbeatMs: settings.heartbeatMs,
      readLoad: () => this.readLoad(),
    });
    this.orders = this.createOrders();
  }

  /** The bound port, once started. */
  get port(): number {
    return readPort(this.server);
  }

  /** Opens the listener and starts the tasks. */
  async start(): Promise<void> {
    await openListener(this.server, this.settings.listen);
    this.reporter.start();
    this.watcher?.start();
    this.orders?.start();
    this.log.info('agent_listening', {
      id: this.settings.id,
      zone: this.settings.zone,
      port: this.port,
    });
  }

  /**
   * Drains: refuses new work as "not run", tells every gate at once, waits
   * for requests in flight (at most `drainTimeoutMs`), then closes.
   */
  drain(): Promise<void> {
    this.draining ??= this.runDrain();
    return this.draining;
  }

  /** Longest time that a drain takes, in ms. */
  get drainLimitMs(): number {
    return this.settings.drainTimeoutMs + DRAIN_SLACK_MS;
  }

  private async runDrain(): Promise<void> {
    this.intake.drain();
    this.log.info('drain_started', {inFlight: this.intake.size});
    this.reporter.broadcast();
    this.server.close();
    const giveUpAt = Date.now() + this.settings.drainTimeoutMs;
    while (this.intake.size > 0 && Date.now() < giveUpAt)
      await waitMs(DRAIN_POLL_MS);
    this.log.info('drain_finished', {left: this.intake.size});
    this.close();
  }

  /** Closes the listener and every link at once. */
  close(): void {
    this.reporter.stop();
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
    void this.orders?.runRound();
  }

  private accept(link: RpcLink): void {
    this.links.add(link);
    this.counters.add('agent.links_opened');
    link.handle(RpcMethod.dispatch, params =>
      this.dispatch(params as DispatchRequest, link),
    );
    link.handle(RpcMethod.cancel, params =>
      this.intake.cancel((params as CancelNotice).requestId),
    );
    // A gate hands its record over when this agent stays behind it.
    link.handle(RpcMethod.record, params => this.watcher?.offer(params));
    link.onClose(() => {
      this.links.delete(link);
      this.reporter.dropLink(link);
      this.intake.cancelOwned(link);
    });
    this.reporter.addLink(link);
  }

  private dispatch(
    request: DispatchRequest,
    link: RpcLink,
  ): Promise<DispatchOutcome> {
    link.notify(RpcMethod.accepted, {requestId: request.requestId});
    this.reporter.markDispatch(link);
    return this.intake.dispatch(request, link, notice =>
      link.notify(RpcMethod.chunk, notice),
    );
  }

  private readLoad(): LoadReport {
    return {
      draining: this.intake.isDraining,
      recordVersion: this.watcher?.version,
      ...this.intake.readWork(),
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
