/**
 * The JSON-RPC connection from this gate to one agent: connects and reconnects
 * with backoff, keeps the agent's latest load report, counts outstanding
 * requests, and passes received chunks to the request that they belong to.
 */
import {
  CrashReportsSchema,
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
  AcceptedNotification,
  ChunkNotification,
  ConfigRecord,
  Counters,
  CrashReport,
  DispatchOutcome,
  DispatchRequest,
  LoadReport,
  RpcLink,
  Target,
} from '@nutmeggauge/core';
import type {DispatchBounds, TargetLink} from './target-link.js';

/** Initial and maximum backoff between connection attempts, in ms. */
const BACKOFF_MIN_MS = 50;
const BACKOFF_MAX_MS = 2000;

/**
 * Time for which an agent may hold an older configuration record before the
 * gate sends the newer one, in ms. An agent that can reach the configuration
 * service updates its record sooner.
 */
const STALE_RECORD_GRACE_MS = 2000;

/** Handles the chunks of one request. */
export type ChunkHandler = (notice: ChunkNotification) => void;

/** Options of an agent connection. */
export interface AgentConnectionOptions {
  readonly target: Target;
  readonly pool: string;
  readonly counters: Counters;
  /**
   * Age of the last load report above which the target is unusable, in ms.
   * Load reports serve as heartbeats.
   */
  readonly heartbeatStaleMs: number;
  /**
   * Reads the gate's configuration record, sent to an agent with a stale one.
   */
  readonly readRecord: () => ConfigRecord | undefined;
  /** Lists the crashes that the gate knows, for an agent that connects. */
  readonly listCrashes: () => readonly CrashReport[];
  /** Called with the crashes that the agent reports. */
  readonly onCrashes: (reports: readonly CrashReport[]) => void;
}

/** The wait for the agent's ack of one dispatch. */
interface AckWait {
  /** Rejects when the ack times out; never resolves. */
  readonly timedOut: Promise<never>;
  readonly markAccepted: () => void;
}

interface InFlightRequest {
  readonly onChunk: ChunkHandler;
  readonly markAccepted: () => void;
}

/**
 * Connects the gate to one agent.
 *
 * @example
 * const connection = new AgentConnection({target, pool: 'chat', counters, heartbeatStaleMs: 2500});
 * connection.start();
 */
export class AgentConnection implements TargetLink {
  outstanding = 0;
  load: LoadReport | undefined;
  /**
   * Prompt tokens sent since the last load report and thus missing from it, by
   * length class.
   */
  unreportedByClass = createClassCounts();
  /** True while the platform's host list reports the host as leaving. */
  leavingByHostList = false;
  /** Time of the last load report by the gate's clock, in epoch ms. */
  private lastReportAt = 0;
  /**
   * Time when the agent's record was first seen to be older than the gate's, in
   * epoch ms.
   */
  private staleRecordSince: number | undefined;
  private link: RpcLink | undefined;
  private running = false;
  private usableWaiters: Array<() => void> = [];
  private readonly inFlight = new Map<string, InFlightRequest>();
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

  /**
   * Resolves at once if the target is usable, otherwise when the next load
   * report arrives or after `timeoutMs`.
   */
  async waitUsable(timeoutMs: number): Promise<void> {
    if (this.isUsable) return;
    let timer: NodeJS.Timeout | undefined;
    await Promise.race([
      new Promise<void>(resolve => this.usableWaiters.push(resolve)),
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
        `not connected to the agent of ${this.id}`,
      );
    }
    this.outstanding++;
    this.unreportedByClass[findLengthClass(bounds.promptTokens)] +=
      bounds.promptTokens;
    const ackWait = this.waitForAck(link, bounds.ackTimeoutMs);
    this.inFlight.set(request.requestId, {
      onChunk,
      markAccepted: ackWait.markAccepted,
    });
    const answer = link.call<DispatchOutcome>(
      RpcMethod.dispatch,
      request,
      bounds.answerTimeoutMs,
    );
    // Prevents an unhandled rejection if the call fails after the ack timeout.
    answer.catch(() => undefined);
    try {
      return await Promise.race([answer, ackWait.timedOut]);
    } finally {
      ackWait.markAccepted();
      this.outstanding--;
      this.inFlight.delete(request.requestId);
    }
  }

  /** Tells the agent of a crash under a request. */
  sendCrash(report: CrashReport): void {
    this.link?.notify(RpcMethod.crashed, [report]);
  }

  cancel(requestId: string): void {
    this.link?.notify(RpcMethod.cancel, {requestId});
  }

  cancelQueued(requestId: string): void {
    this.link?.notify(RpcMethod.cancelQueued, {requestId});
  }

  /**
   * Starts the wait for an agent's ack. The returned `timedOut` rejects when no
   * ack arrives within `ackTimeoutMs`; without `ackTimeoutMs` it never rejects.
   */
  private waitForAck(link: RpcLink, ackTimeoutMs: number | undefined): AckWait {
    if (ackTimeoutMs === undefined)
      return {timedOut: new Promise(() => {}), markAccepted: () => {}};
    let timeout: ReadTimeout | undefined;
    const timedOut = new Promise<never>((_resolve, reject) => {
      // After a suspension of the gate, ReadTimeout lets pending acks be read
      // before it fires, also those behind many chunks.
      timeout = new ReadTimeout(
        () => {
          // Marks the agent unusable until its next load report.
          this.lastReportAt = 0;
          const message = `${this.id} sent no ack within ${ackTimeoutMs} ms`;
          reject(new RpcFailedError({info: {target: this.id}}, message));
        },
        ackTimeoutMs,
        () => link.bytesRead,
      );
    });
    return {timedOut: timedOut, markAccepted: () => timeout?.stop()};
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
    link?.handle(RpcMethod.crashed, params => this.receiveCrashes(params));
    const known = this.options.listCrashes();
    if (known.length > 0) link?.notify(RpcMethod.crashed, known);
    link?.handle(RpcMethod.accepted, params =>
      this.inFlight
        .get((params as AcceptedNotification).requestId)
        ?.markAccepted(),
    );
    link?.handle(RpcMethod.chunk, params => {
      const notice = params as ChunkNotification;
      this.inFlight.get(notice.requestId)?.onChunk(notice);
    });
    return link;
  }

  private receiveCrashes(params: unknown): void {
    const {data: reports} = CrashReportsSchema.safeParse(params);
    if (reports === undefined)
      this.options.counters.add('membership.crashes_malformed');
    else this.options.onCrashes(reports);
  }

  private receiveLoad(params: unknown): void {
    // Agents of another version may omit a field. Their reports do not count as
    // heartbeats.
    const {data: report} = LoadReportSchema.safeParse(params);
    if (report === undefined) {
      this.options.counters.add('membership.reports_malformed');
      return;
    }
    this.load = report;
    this.lastReportAt = Date.now();
    this.unreportedByClass = createClassCounts();
    for (const resolve of this.usableWaiters.splice(0)) resolve();
    this.sendRecord(report.recordVersion);
  }

  private sendRecord(agentVersion: number | undefined): void {
    const record = this.options.readRecord();
    const isStale =
      record !== undefined &&
      agentVersion !== undefined &&
      agentVersion < record.version;
    if (!isStale) {
      this.staleRecordSince = undefined;
      return;
    }
    if (this.staleRecordSince === undefined) {
      this.staleRecordSince = Date.now();
      return;
    }
    // An agent without a record at its second report started while the
    // configuration service was unreachable. It gets the gate's record at once,
    // because it refuses every keyed request until then.
    const isInGrace =
      agentVersion > 0 &&
      Date.now() - this.staleRecordSince < STALE_RECORD_GRACE_MS;
    if (isInGrace) return;
    this.staleRecordSince = undefined;
    this.options.counters.add('relay.records_handed');
    // Agents get no client accounts or API keys.
    this.link?.notify(RpcMethod.record, {...record, accounts: []});
  }
}
