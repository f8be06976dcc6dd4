/**
 * The gate runs as one process on each entry host. It owns the HTTP listener,
 * the configuration watcher, the membership and the dispatcher.
 */
import {createServer, maxHeaderSize} from 'node:http';
import {
  OpenRequests,
  PendingReads,
  SuspectRequests,
  UnreadableRequests,
  createConfigWatcher,
  createCounters,
  createLatencyHistogram,
  createLogger,
  createMemoryAccount,
  closeIdleAfterRead,
  openListener,
  readConnections,
  readPath,
  readPort,
  sendJson,
  waitForPendingReads,
  waitMs,
} from '@nutmeggauge/core';
import {AdminApi} from './admin/admin-api.js';
import {createAccountLimits} from './admission/limits.js';
import {handleCallerRequest} from './api/handler.js';
import {isBodyTooLarge} from './api/receive-caller-body.js';
import {observeConnections} from './api/request-log.js';
import {renderError} from './api/responses.js';
import {createDispatcher} from './dispatch/dispatcher.js';
import {createRetryBudget} from './dispatch/retry-budget.js';
import {createMembership} from './membership/membership.js';
import {PeerRelay} from './relay/peer-relay.js';
import {resolveRouter} from './routing/policies.js';
import {HeldRequests} from './stop/held-requests.js';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Account, ConfigRecord} from '@nutmeggauge/core';
import type {HandlerContext} from './api/handler-context.js';
import type {Membership} from './membership/membership.js';
import type {GateSettings} from './settings.js';

/** Interval at which a drain checks for open requests, in ms. */
const DRAIN_POLL_MS = 20;

/** Margin on the maximum drain time for late timers on a busy host, in ms. */
const DRAIN_SLACK_MS = 2000;

/**
 * Time before the end of a drain at which requests that no target runs are
 * handed back, in ms; at most a half of `drainTimeoutMs`.
 */
const HAND_BACK_LEAD_MS = 500;

const BYTES_PER_MB = 1_000_000;

/** Interval at which suspect requests expire, in ms. */
const EXPIRY_CHECK_INTERVAL_MS = 1000;

/** Settings that the gate reads anew each time it uses them. */
const RELOADABLE_KEYS = [
  'estimate',
  'drainNoticeMs',
  'drainTimeoutMs',
] as const;

/**
 * Holds the state of one gate process and runs its services.
 *
 * @example
 * const gate = createGate(settings);
 * await gate.start();
 */
export class Gate {
  readonly counters = createCounters();
  readonly ttft = createLatencyHistogram();
  private readonly log = createLogger('gate');
  private readonly watcher;
  private readonly membership: Membership;
  private readonly suspects: SuspectRequests;
  private expiryTimer: NodeJS.Timeout | undefined;
  private readonly relay: PeerRelay | undefined;
  private readonly admin: AdminApi | undefined;
  private readonly context: HandlerContext;
  private server: Server | undefined;
  private readonly reads = new PendingReads();
  private keys = new Map<string, Account>();
  private draining: Promise<void> | undefined;
  private closed = false;
  private readonly requests = new OpenRequests();
  private readonly held = new HeldRequests(this.log);
  private starting: Promise<void> | undefined;
  /** Time at which a drain closes the gate, in epoch ms. */
  private endAt: number | undefined;
  readonly reloadableKeys = RELOADABLE_KEYS;

  constructor(private settings: GateSettings) {
    this.watcher = createConfigWatcher({
      url: settings.configService.url,
      counters: this.counters,
      waitMs: settings.configService.waitMs,
    });
    const readRecord = () => this.watcher.current;
    const {subsetSize, heartbeatStaleMs} = settings.routing;
    this.suspects = new SuspectRequests({
      refusalMs: settings.crashRefusalMs,
      log: this.log,
      counters: this.counters,
      readNow: Date.now,
      // Agents observe crashes; the gate passes their reports on.
      forward: report => this.membership.sendCrash(report),
    });
    this.membership = createMembership({
      gateId: settings.id,
      subsetSize,
      heartbeatStaleMs,
      readRecord,
      listCrashes: () => this.suspects.listAll(),
      onCrashes: reports => this.suspects.merge(reports),
      counters: this.counters,
      hostListUrl: settings.hostList?.url,
      hostListPollMs: settings.hostList?.pollMs,
    });
    this.watcher.onChange(record => this.applyRecord(record));
    this.relay =
      settings.relay === undefined
        ? undefined
        : new PeerRelay({
            ...settings.relay,
            watcher: this.watcher,
            counters: this.counters,
          });
    this.context = {
      gateId: settings.id,
      counters: this.counters,
      limits: createAccountLimits(),
      callerMemory: createMemoryAccount(settings.memoryMb * BYTES_PER_MB, () =>
        performance.now(),
      ),
      membership: this.membership,
      dispatcher: createDispatcher({
        directory: this.membership,
        router: resolveRouter(settings.routing.policy),
        counters: this.counters,
        maxAttempts: settings.routing.maxAttempts,
        acceptTimeoutMs: settings.routing.acceptTimeoutMs,
        retryBudget: createRetryBudget(settings.retryBudget),
        suspects: this.suspects,
        waitForReads: () => this.reads.wait(),
      }),
      readFigures: () => this.settings.estimate,
      ttft: this.ttft,
      readRecord,
      findAccount: key => this.keys.get(key),
      held: this.held,
      isClosed: () => this.closed,
    };
    this.admin =
      settings.admin === undefined
        ? undefined
        : new AdminApi({
            ...settings.admin,
            context: {
              ...this.context,
              zone: settings.zone,
              isDraining: () => this.isDraining,
            },
          });
  }

  /** The bound port, after `start`. */
  get port(): number {
    return readPort(this.server);
  }

  /** Port of the administration API; 0 when it is not configured. */
  get adminPort(): number {
    return this.admin?.port ?? 0;
  }

  /** Port on which other gates query records; 0 when no relay is configured. */
  get relayPort(): number {
    return this.relay?.port ?? 0;
  }

  /** Starts watching the configuration and listening for callers. */
  start(): Promise<void> {
    this.starting = this.runStart();
    return this.starting;
  }

  private async runStart(): Promise<void> {
    if (this.isDraining) return;
    this.watcher.start();
    this.membership.start();
    this.expiryTimer = setInterval(
      () => this.suspects.expire(),
      EXPIRY_CHECK_INTERVAL_MS,
    );
    await this.relay?.start();
    await this.admin?.start();
    if (this.isDraining) return;
    const server = createServer((req, res) => this.serve(req, res));
    this.server = server;
    readConnections(server, {
      account: this.context.callerMemory,
      readMaxHeadBytes: () => maxHeaderSize,
      mayContinue: req => !isBodyTooLarge(req),
    });
    closeIdleAfterRead(server);
    observeConnections(this.log, server);
    this.observeUnreadable(server);
    this.reads.observe(server);
    await openListener(server, this.settings.listen);
    this.log.info('gate_listening', {
      id: this.settings.id,
      zone: this.settings.zone,
      port: this.port,
    });
  }

  /**
   * Shuts down gracefully. Reports "draining" on `/healthz` while still
   * serving, so that the load balancer stops sending first. Then answers the
   * requests that have arrived, stops accepting, waits for requests in flight
   * (at most `drainTimeoutMs`), and closes the gate. Requests that cannot end by
   * then are handed back at once; shortly before, all others get an answer.
   */
  drain(): Promise<void> {
    this.draining ??= this.runDrain();
    return this.draining;
  }

  /** Puts the reloadable settings into force. */
  applySettings(settings: GateSettings): void {
    this.settings = settings;
  }

  /** Maximum duration of a drain, in ms. */
  get drainLimitMs(): number {
    if (this.endAt !== undefined)
      return Math.max(0, this.endAt - Date.now()) + DRAIN_SLACK_MS;
    const {drainNoticeMs, drainTimeoutMs} = this.settings;
    return drainNoticeMs + drainTimeoutMs + DRAIN_SLACK_MS;
  }

  private get isDraining(): boolean {
    return this.draining !== undefined;
  }

  private async runDrain(): Promise<void> {
    const {drainNoticeMs, drainTimeoutMs} = this.settings;
    const endAt = Date.now() + drainNoticeMs + drainTimeoutMs;
    const leadMs = Math.min(HAND_BACK_LEAD_MS, drainTimeoutMs / 2);
    this.endAt = endAt;
    this.log.info('drain_started', {inFlight: this.requests.count});
    this.requests.closeConnectionsAfterAnswers();
    this.held.beginStop(endAt);
    // The notice runs from the signal, also while the gate starts.
    const notice = waitMs(drainNoticeMs);
    await this.starting?.catch(() => undefined);
    // Without a listener there are no callers to notify.
    if (this.server !== undefined) {
      await notice;
      this.closed = true;
      await this.closeListener();
      await this.waitForOpenRequests(endAt - leadMs);
      // Connections of answers that were sent meanwhile are idle now, or have
      // another request.
      await this.closeListener();
      await this.waitForOpenRequests(endAt - leadMs);
      await this.endRequests(leadMs);
    }
    this.log.info('drain_finished', {left: this.requests.count});
    this.held.recordCut();
    this.close();
  }

  /** Answers all requests within `leadMs`, also in a process that runs late. */
  private async endRequests(leadMs: number): Promise<void> {
    this.held.handBackAll();
    await this.waitForOpenRequests(Date.now() + leadMs / 2);
    this.held.endAll(leadMs / 4);
    await this.waitForOpenRequests(Date.now() + leadMs / 2);
  }

  private async waitForOpenRequests(drainDeadlineAt: number): Promise<void> {
    while (this.requests.count > 0 && Date.now() < drainDeadlineAt)
      await waitMs(DRAIN_POLL_MS);
  }

  private async closeListener(): Promise<void> {
    if (this.server === undefined) return;
    await waitForPendingReads(this.server);
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Stops all services and closes all connections at once. */
  close(): void {
    this.watcher.stop();
    this.membership.stop();
    clearInterval(this.expiryTimer);
    this.relay?.stop();
    this.admin?.stop();
    this.server?.closeAllConnections();
    this.server?.close();
  }

  private applyRecord(record: ConfigRecord): void {
    this.keys = new Map(
      record.accounts.flatMap(account =>
        account.keys.map(key => [key, account] as const),
      ),
    );
    this.membership.apply(record);
  }

  private serve(req: IncomingMessage, res: ServerResponse): void {
    this.requests.add(res);
    if (req.method === 'GET' && readPath(req) === '/healthz') {
      // Callers can reach this port, so details of targets and accounts are on
      // the administration API only.
      sendJson(res, this.isDraining ? 503 : 200, {
        id: this.settings.id,
        draining: this.isDraining,
        configVersion: this.watcher.version,
      });
      return;
    }
    if (req.method !== 'POST') {
      sendJson(res, 405, {
        error: {type: 'bad_request', reason: 'method_not_allowed'},
      });
      return;
    }
    handleCallerRequest(this.context, req, res).catch((error: unknown) =>
      this.answerFailure(res, error),
    );
  }

  private observeUnreadable(server: Server): void {
    new UnreadableRequests({
      renderBody: reason => renderError('bad_request', reason),
      record: ({status, reason, code}) => {
        this.counters.add(`api.${reason}`);
        this.log.warn('request_refused', {status, reason, code});
      },
    }).observe(server);
  }

  /**
   * Answers a request whose handler failed; other requests are not affected.
   */
  private answerFailure(res: ServerResponse, error: unknown): void {
    this.counters.add('api.failed');
    this.log.error('request_failed', {reason: String(error)});
    if (res.headersSent) {
      res.destroy();
      return;
    }
    sendJson(res, 502, renderError('outcome_unknown', 'gate_failed'));
  }
}

/**
 * Creates a gate; call `start` to listen.
 *
 * @example
 * const gate = createGate(loadSettings(GateSettingsSchema, 'gate.yaml'));
 */
export function createGate(settings: GateSettings): Gate {
  return new Gate(settings);
}
