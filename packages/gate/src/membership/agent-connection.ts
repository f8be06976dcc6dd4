/**
 * A task that owns the json-rpc link from this gate to one agent: it
 * connects and reconnects with backoff, keeps the agent's latest load
 * report, counts outstanding requests, and hands chunks to their request.
 */
import {
  LoadReportSchema,
  ReadTimeout,
  RpcFailedError,
  RpcMethod,
  TargetUnreachableError,
  createClassCounts,
  createLogger,
  findLengthClass,
  openRpcLink,
  waitMs,
} from '@nutmeggauge/core';
import type {
  AcceptedNotice,
  ChunkNotice,
  ConfigRecord,
  Counters,
  DispatchOutcome,
  DispatchRequest,
  LoadReport,
  RpcLink,
  Target,
} from '@nutmeggauge/core';
import type {DispatchBounds, TargetLink} from './target-link.js';

/** First and longest pause between connection attempts, in ms. */
const BACKOFF_MIN_MS = 50;
const BACKOFF_MAX_MS = 2000;

/**
 * How long an agent may hold an older record before it is handed the gate's, in
 * ms: only one that cannot reach the service stays behind.
 */
const BEHIND_MS = 2000;

/** Receives the chunks of one request. */
export type ChunkHandler = (notice: ChunkNotice) => void;

/** Options of a connection. */
export interface AgentConnectionOptions {
  readonly target: Target;
  readonly pool: string;
  readonly counters: Counters;
  /**
   * Age of an agent's last load report at which it becomes unusable, in ms:
   * reports double as heartbeats.
   */
  readonly heartbeatStaleMs: number;
  /** The gate's record, handed to an agent that stays behind it. */
  readonly readRecord: () => ConfigRecord | undefined;
}

/** The wait for one dispatch's receipt. */
interface Receipt {
  readonly silence: Promise<never>;
  readonly markAccepted: () => void;
}

interface InFlight {
  readonly onChunk: ChunkHandler;
  readonly markAccepted: () => void;
}

/**
 * The gate's connection to one agent.
 *
 * @example
 * const connection = new AgentConnection({target, pool: 'chat', counters, heartbeatStaleMs: 2500});
 * connection.start();
 */
export class AgentConnection implements TargetLink {
  outstanding = 0;
  load: LoadReport | undefined;
  /** Prompt tokens sent since the last load report, which cannot show them. */
  unreportedByClass = createClassCounts();
  /** Set from the host list: the platform says this host is leaving. */
  leavingByHostList = false;
  /** Gate-local time of the last load report, in epoch ms. */
  private lastReportAt = 0;
  /** Since when the agent's record is older than the gate's, in epoch ms. */
  private behindSince: number | undefined;
  private link: RpcLink | undefined;
  private running = false;
  private linkWaiters: Array<() => void> = [];
  private readonly inFlight = new Map<string, InFlight>();
  private readonly log = createLogger('membership');

  constructor(private readonly options: AgentConnectionOptions) {}

  get id(): string {
    return this.options.target.id;
  }

  get zone(): string {
    return this.options.target.zone;
  }

  /** Address of the agent, `host:port`. */
  get agent(): string {
    return this.options.target.agent;
  }

  get pool(): string {
    return this.options.pool;
  }

  /** True while the connect loop runs. */
  get isStarted(): boolean {
    return this.running;
  }

  get isUsable(): boolean {
    return (
      this.link !== undefined &&
      !this.link.isClosed &&
      !this.leavingByHostList &&
      this.load?.draining !== true &&
      Date.now() - this.lastReportAt <= this.options.heartbeatStaleMs
    );
  }

  /** Starts the connect loop. */
  start(): void {
    if (this.running) return;
    this.running = true;
    void this.runConnectLoop();
  }

  /** Stops reconnecting and closes the link. */
  stop(): void {
    this.running = false;
    this.link?.close();
  }

  /** Resolves once the target is usable, or after `timeoutMs`. */
  async waitUsable(timeoutMs: number): Promise<void> {
    if (this.isUsable) return;
    let timer: NodeJS.Timeout | undefined;
    await Promise.race([
      new Promise<void>(resolve => this.linkWaiters.push(resolve)),
      new Promise<void>(resolve => (timer = setTimeout(resolve, timeoutMs))),
    ]);
    clearTimeout(timer);
  }

  async dispatch(
    request: DispatchRequest,
    onChunk: ChunkHandler,
    bounds: DispatchBounds,
  ): Promise<DispatchOutcome> {
    const link = this.link;
    if (link === undefined || link.isClosed) {
      throw new TargetUnreachableError(
        {info: {target: this.id}},
        `no link to ${this.id}`,
      );
    }
    this.outstanding++;
    this.unreportedByClass[findLengthClass(bounds.promptTokens)] +=
      bounds.promptTokens;
    const receipt = this.waitReceipt(bounds.acceptMs);
    this.inFlight.set(request.requestId, {
      onChunk,
      markAccepted: receipt.markAccepted,
    });
    const answer = link.call<DispatchOutcome>(
      RpcMethod.dispatch,
      request,
      bounds.answerMs,
    );
    // Nobody reads the late answer of the call.
    answer.catch(() => undefined);
    try {
      return await Promise.race([answer, receipt.silence]);
    } finally {
      receipt.markAccepted();
      this.outstanding--;
      this.inFlight.delete(request.requestId);
    }
  }

  cancel(requestId: string): void {
    this.link?.notify(RpcMethod.cancel, {requestId});
  }

  /**
   * Starts the wait for an agent's receipt; `silence` rejects when none comes
   * in time. Without `acceptMs` it never does.
   */
  private waitReceipt(acceptMs: number | undefined): Receipt {
    if (acceptMs === undefined)
      return {silence: new Promise(() => {}), markAccepted: () => {}};
    let timeout: ReadTimeout | undefined;
    const silence = new Promise<never>((_resolve, reject) => {
      // After a suspension, receipts are read before the timeout counts.
      timeout = new ReadTimeout(() => {
        // No load report from before this moment may call the agent usable.
        this.lastReportAt = 0;
        const message = `${this.id} took no request in ${acceptMs} ms`;
        reject(new RpcFailedError({info: {target: this.id}}, message));
      }, acceptMs);
    });
    return {silence, markAccepted: () => timeout?.stop()};
  }

  private async runConnectLoop(): Promise<void> {
    let backoffMs = BACKOFF_MIN_MS;
    while (this.running) {
      const link = await this.openLink();
      if (link === undefined) {
        await waitMs(Math.random() * backoffMs);
        backoffMs = Math.min(BACKOFF_MAX_MS, backoffMs * 2);
        continue;
      }
      if (!this.running) {
        link.close();
        return;
      }
      backoffMs = BACKOFF_MIN_MS;
      this.link = link;
      this.log.info('agent_connected', {target: this.id, pool: this.pool});
      await new Promise<void>(resolve => link.onClose(resolve));
      this.link = undefined;
      this.load = undefined;
      this.log.info('agent_disconnected', {target: this.id, pool: this.pool});
    }
  }

  private async openLink(): Promise<RpcLink | undefined> {
    const {target, counters} = this.options;
    const link = await openRpcLink(target.agent, counters).catch(
      () => undefined,
    );
    link?.handle(RpcMethod.load, params => this.receiveLoad(params));
    link?.handle(RpcMethod.accepted, params =>
      this.inFlight.get((params as AcceptedNotice).requestId)?.markAccepted(),
    );
    link?.handle(RpcMethod.chunk, params => {
      const notice = params as ChunkNotice;
      this.inFlight.get(notice.requestId)?.onChunk(notice);
    });
    return link;
  }

  private receiveLoad(params: unknown): void {
    // Agents of another version may omit a figure; such a target counts as
    // silent.
    const {data: report} = LoadReportSchema.safeParse(params);
    if (report === undefined) {
      this.options.counters.add('membership.reports_malformed');
      return;
    }
    this.load = report;
    this.lastReportAt = Date.now();
    this.unreportedByClass = createClassCounts();
    for (const wake of this.linkWaiters.splice(0)) wake();
    this.sendRecord(report.recordVersion);
  }

  private sendRecord(agentVersion: number | undefined): void {
    const record = this.options.readRecord();
    const isBehind =
      record !== undefined &&
      agentVersion !== undefined &&
      agentVersion < record.version;
    if (!isBehind) {
      this.behindSince = undefined;
      return;
    }
    if (this.behindSince === undefined) {
      this.behindSince = Date.now();
      return;
    }
    // An agent without a record at its second report started without the
    // service, and refuses every keyed request.
    const isWaiting =
      agentVersion > 0 && Date.now() - this.behindSince < BEHIND_MS;
    if (isWaiting) return;
    this.behindSince = undefined;
    this.options.counters.add('relay.records_handed');
    // Client accounts and their keys stay at the gates.
    this.link?.notify(RpcMethod.record, {...record, accounts: []});
  }
}
