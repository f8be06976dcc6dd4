/**
 * The agent: the one small process in a target host's slot. It owns the
 * json-rpc listener that gates connect to, the length-aware lanes, the
 * at-most-once ledger and the client of its local target.
 */
import {createServer} from 'node:net';
import {
  RpcMethod,
  createCounters,
  createLogger,
  createRpcLink,
  readClockMs,
  waitMs,
} from '@nutmeggauge/core';
import {createLanes} from './lanes/lanes.js';
import {LEDGER_FULL, createLedger} from './ledger/ledger.js';
import {EngineTarget} from './target/engine-target.js';
import {PlainTarget} from './target/plain-target.js';
import type {Server} from 'node:net';
import type {
  CancelNotice,
  DispatchOutcome,
  DispatchRequest,
  LoadReport,
  RpcLink,
} from '@nutmeggauge/core';
import type {AgentSettings} from './settings.js';
import type {Lane, TargetClient} from './target/target.js';

/** Characters counted as one token, as the engine counts them. */
const CHARS_PER_TOKEN = 4;

interface ActiveRequest {
  readonly controller: AbortController;
  readonly link: RpcLink;
  readonly kind: DispatchRequest['kind'];
  readonly promptTokens: number;
  readonly maxTokens: number;
  produced: number;
}

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
  private readonly active = new Map<string, ActiveRequest>();
  private readonly ledger = createLedger();
  private readonly lanes;
  private readonly target: TargetClient;
  private server: Server | undefined;
  private reportTimer: NodeJS.Timeout | undefined;
  private draining = false;
  private queuedPrefillTokens = 0;

  constructor(private readonly settings: AgentSettings) {
    this.lanes = createLanes({
      short: settings.lanes.shortSlots,
      long: settings.lanes.longSlots,
    });
    this.target =
      settings.target.kind === 'engine'
        ? new EngineTarget(settings.target.url)
        : new PlainTarget(settings.target.url);
  }

  /** The bound port, once started. */
  get port(): number {
    const address = this.server?.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Opens the listener and starts load reports. */
  async start(): Promise<void> {
    const server = createServer(socket => this.accept(createRpcLink(socket)));
    this.server = server;
    await new Promise<void>(resolve =>
      server.listen(
        this.settings.listen.port,
        this.settings.listen.host,
        resolve,
      ),
    );
    this.reportTimer = setInterval(
      () => this.broadcastLoad(),
      this.settings.loadReportMs,
    );
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
  async drain(): Promise<void> {
    if (this.draining) return;
    this.draining = true;
    this.log.info('drain_started', {inFlight: this.active.size});
    this.broadcastLoad();
    this.server?.close();
    const giveUpAt = Date.now() + this.settings.drainTimeoutMs;
    while (
      (this.active.size > 0 || this.lanes.read().queued > 0) &&
      Date.now() < giveUpAt
    ) {
      await waitMs(20);
    }
    this.log.info('drain_finished', {left: this.active.size});
    this.close();
  }

  /** Closes the listener and every link at once. */
  close(): void {
    clearInterval(this.reportTimer);
    this.server?.close();
    for (const link of this.links) link.close();
  }

  private accept(link: RpcLink): void {
    this.links.add(link);
    this.counters.add('agent.links_opened');
    link.handle(RpcMethod.dispatch, params =>
      this.dispatch(params as DispatchRequest, link),
    );
    link.handle(RpcMethod.cancel, params =>
      this.cancel((params as CancelNotice).requestId),
    );
    link.onClose(() => this.dropLink(link));
    link.notify(RpcMethod.load, this.readLoad());
  }

  /**
   * A gate that went away can no longer deliver an answer: its generate
   * requests are cancelled so the engine frees their memory. Calls to plain
   * services run on, so the ledger learns their outcome for a later retry.
   */
  private dropLink(link: RpcLink): void {
    this.links.delete(link);
    for (const [requestId, request] of this.active) {
      if (request.link === link && request.kind === 'generate')
        this.cancel(requestId);
    }
  }

  private cancel(requestId: string): void {
    const request = this.active.get(requestId);
    if (request === undefined) return;
    this.counters.add('agent.cancelled');
    request.controller.abort();
  }

  private async dispatch(
    request: DispatchRequest,
    link: RpcLink,
  ): Promise<DispatchOutcome> {
    this.counters.add('agent.dispatched');
    if (this.draining)
      return {status: 'not-run', reason: 'draining', retryAfterMs: 100};
    if (Date.now() >= request.deadlineAt)
      return {status: 'not-run', reason: 'deadline_passed'};
    const key = request.notRepeatable
      ? (request.ledgerKey ?? request.requestId)
      : undefined;
    if (key !== undefined) {
      const held = this.ledger.claim(key, request.requestId);
      if (held === LEDGER_FULL) {
        this.counters.add('agent.ledger_full');
        return {status: 'not-run', reason: 'ledger_full', retryAfterMs: 5000};
      }
      if (held !== undefined) {
        this.counters.add('agent.ledger_hits');
        if (held.state === 'settled') return held.outcome;
        return {status: 'unknown', reason: 'duplicate_in_progress'};
      }
    }
    const outcome = await this.runInLane(request, link);
    if (key !== undefined) {
      if (outcome.status === 'not-run') this.ledger.release(key);
      else this.ledger.settle(key, outcome);
    }
    this.counters.add(`agent.outcome.${outcome.status}`);
    return outcome;
  }

  private async runInLane(
    request: DispatchRequest,
    link: RpcLink,
  ): Promise<DispatchOutcome> {
    const promptTokens = Math.ceil(
      (request.prompt?.length ?? 0) / CHARS_PER_TOKEN,
    );
    const lane: Lane =
      promptTokens <= this.settings.lanes.shortMaxTokens ? 'short' : 'long';
    this.queuedPrefillTokens += promptTokens;
    const granted = await this.lanes.enter(lane, request.deadlineAt);
    this.queuedPrefillTokens -= promptTokens;
    if (!granted) return {status: 'not-run', reason: 'deadline_in_queue'};
    const active: ActiveRequest = {
      controller: new AbortController(),
      link,
      kind: request.kind,
      promptTokens,
      maxTokens: request.maxTokens ?? 0,
      produced: 0,
    };
    this.active.set(request.requestId, active);
    try {
      return await this.target.run(
        request,
        lane,
        (seq, text) => {
          active.produced++;
          link.notify(RpcMethod.chunk, {
            requestId: request.requestId,
            seq,
            text,
          });
        },
        active.controller.signal,
      );
    } finally {
      this.active.delete(request.requestId);
      this.lanes.leave(lane);
    }
  }

  private readLoad(): LoadReport {
    const lanes = this.lanes.read();
    let pendingPrefillTokens = this.queuedPrefillTokens;
    let pendingDecodeTokens = 0;
    for (const request of this.active.values()) {
      if (request.produced === 0) pendingPrefillTokens += request.promptTokens;
      pendingDecodeTokens += Math.max(0, request.maxTokens - request.produced);
    }
    return {
      agentId: this.settings.id,
      zone: this.settings.zone,
      draining: this.draining,
      queued: lanes.queued,
      inFlight: lanes.inFlight,
      pendingPrefillTokens,
      pendingDecodeTokens,
      sentAt: readClockMs(),
    };
  }

  private broadcastLoad(): void {
    const report = this.readLoad();
    for (const link of this.links) link.notify(RpcMethod.load, report);
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
