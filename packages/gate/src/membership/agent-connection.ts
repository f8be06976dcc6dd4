/**
 * A task that owns the json-rpc link from this gate to one agent: it
 * connects and reconnects with backoff, keeps the agent's latest load
 * report, counts outstanding requests, and hands chunks to their request.
 */
import {connect} from 'node:net';
import {
  RpcClosedError,
  RpcMethod,
  TargetUnreachableError,
  createLogger,
  createRpcLink,
  waitMs,
} from '@nutmeggauge/core';
import type {
  ChunkNotice,
  DispatchOutcome,
  DispatchRequest,
  LoadReport,
  RpcLink,
  Target,
} from '@nutmeggauge/core';

/**
 * Age past which an agent's last load report marks it unusable, in ms. Load
 * reports double as heartbeats: an agent that froze (paused process, cut
 * link that TCP has not noticed yet) stops sending them, and routing to it
 * stops within this bound instead of waiting for the socket to fail.
 */
export const HEARTBEAT_STALE_MS = 1500;

/** Receives the chunks of one request. */
export type ChunkHandler = (notice: ChunkNotice) => void;

/** What routers read of a target. */
export interface TargetView {
  readonly id: string;
  readonly zone: string;
  readonly outstanding: number;
  readonly load: LoadReport | undefined;
}

/**
 * The gate's connection to one agent.
 *
 * @example
 * const connection = new AgentConnection(target, 'chat');
 * connection.start();
 */
export class AgentConnection implements TargetView {
  outstanding = 0;
  load: LoadReport | undefined;
  /** Gate-local time of the last load report, in epoch ms. */
  lastReportAt = 0;
  /** Set from the host list: the platform says this host is leaving. */
  leavingByHostList = false;
  private link: RpcLink | undefined;
  private running = false;
  private readonly handlers = new Map<string, ChunkHandler>();
  private readonly log = createLogger('membership');

  constructor(
    readonly target: Target,
    readonly pool: string,
  ) {}

  get id(): string {
    return this.target.id;
  }

  get zone(): string {
    return this.target.zone;
  }

  /** True when new work may be sent here. */
  get isUsable(): boolean {
    return (
      this.link !== undefined &&
      !this.link.isClosed &&
      !this.leavingByHostList &&
      this.load?.draining !== true &&
      Date.now() - this.lastReportAt <= HEARTBEAT_STALE_MS
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
   * Sends a request and resolves with the agent's outcome.
   *
   * @param timeoutMs - Longest wait for the agent's answer.
   * @throws TargetUnreachableError when there is no link (nothing was sent);
   *   RpcClosedError when the link closed after the request was written;
   *   RpcFailedError when no answer came within `timeoutMs`.
   */
  async dispatch(
    request: DispatchRequest,
    onChunk: ChunkHandler,
    timeoutMs: number,
  ): Promise<DispatchOutcome> {
    const link = this.link;
    if (link === undefined || link.isClosed) {
      throw new TargetUnreachableError(
        {info: {target: this.id}},
        `no link to ${this.id}`,
      );
    }
    this.outstanding++;
    this.handlers.set(request.requestId, onChunk);
    try {
      return await link.call<DispatchOutcome>(
        RpcMethod.dispatch,
        request,
        timeoutMs,
      );
    } finally {
      this.outstanding--;
      this.handlers.delete(request.requestId);
    }
  }

  /** Asks the agent to stop a request; lost silently if the link is down. */
  cancel(requestId: string): void {
    this.link?.notify(RpcMethod.cancel, {requestId});
  }

  private async runConnectLoop(): Promise<void> {
    let backoffMs = 50;
    while (this.running) {
      const link = await this.openLink();
      if (link === undefined) {
        await waitMs(Math.random() * backoffMs);
        backoffMs = Math.min(2000, backoffMs * 2);
        continue;
      }
      backoffMs = 50;
      this.link = link;
      this.log.info('agent_connected', {target: this.id, pool: this.pool});
      await new Promise<void>(resolve => link.onClose(resolve));
      this.link = undefined;
      this.load = undefined;
      this.log.info('agent_disconnected', {target: this.id, pool: this.pool});
    }
  }

  private openLink(): Promise<RpcLink | undefined> {
    const [host, port] = this.target.agent.split(':');
    return new Promise(resolve => {
      const socket = connect(Number(port), host);
      socket.once('error', () => resolve(undefined));
      socket.once('connect', () => {
        const link = createRpcLink(socket);
        link.handle(RpcMethod.load, params => {
          this.load = params as LoadReport;
          this.lastReportAt = Date.now();
        });
        link.handle(RpcMethod.chunk, params => {
          const notice = params as ChunkNotice;
          this.handlers.get(notice.requestId)?.(notice);
        });
        resolve(link);
      });
    });
  }
}

/** Tells whether an error from `dispatch` means the request was never sent. */
export function isNotSent(error: unknown): boolean {
  return error instanceof TargetUnreachableError;
}

/** Tells whether an error from `dispatch` means the link broke after sending. */
export function isLinkLost(error: unknown): boolean {
  return error instanceof RpcClosedError;
}
