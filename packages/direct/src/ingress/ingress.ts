/**
 * HTTP server for callers: reads requests, checks their routes and API keys,
 * and passes them to the forwarders.
 */
import {createServer} from 'node:http';
import {
  Fingerprint,
  OpenRequests,
  closeIdleAfterRead,
  openListener,
  readBody,
  waitForPendingReads,
} from '@nutmeggauge/core';
import {CallerResponse} from '../forward/caller-response.js';
import {forwardCall} from '../forward/call-forwarder.js';
import {chooseRetryAfterMs} from '../forward/retry-after.js';
import {forwardStream} from '../forward/stream-forwarder.js';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {ListenAddress} from '@nutmeggauge/core';
import type {GateErrorReason} from '../forward/caller-response.js';
import type {ConnectionShedder} from './connection-shedder.js';
import type {ForwardContext} from '../forward/context.js';
import type {GateRequest} from '../forward/request.js';
import type {RequestMetadata, Route} from '../types.js';

/** Deadline of a request that specifies none, in ms after its arrival. */
const DEFAULT_DEADLINE_MS = 60_000;

/** Maximum size of a request head, in bytes; Node.js answers 431 above it. */
const MAX_HEAD_BYTES = 64 * 1024;

/** Idle timeout of connections until a configuration is applied, in ms. */
const DEFAULT_IDLE_MS = 15_000;

/**
 * Age of the fleet state above which an unknown API key or route may be new, in
 * ms: longer than one long poll of the store plus one heartbeat.
 */
const STALE_FACTS_MS = 4000;

/** Retry-After when another gate can serve the request at once, in ms. */
const OTHER_GATE_RETRY_AFTER_MS = 20;

/**
 * HTTP server for callers.
 *
 * @example
 * const ingress = createIngress(context, shedder);
 * await ingress.start({host: '10.1.0.4', port: 8080});
 */
export class Ingress {
  private readonly server: Server;
  private readonly requests = new OpenRequests();
  private isClosing = false;

  constructor(
    private readonly context: ForwardContext,
    private readonly shedder: ConnectionShedder,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_MS,
        noDelay: true,
      },
      (req, res) => void this.serve(req, res),
    );
    closeIdleAfterRead(this.server);
    context.reads.observe(this.server);
    shedder.observe(this.server);
    this.server.on('connection', () =>
      context.counters.add('ingress.connections'),
    );
    context.state.onChange(event => {
      if (event.event === 'config_applied') this.applyLimits();
    });
  }

  /** Number of requests whose response is not complete. */
  get inFlight(): number {
    return this.requests.count;
  }

  /** Starts to listen; resolves with the bound port. */
  start(address: ListenAddress): Promise<number> {
    return openListener(this.server, address);
  }

  /**
   * Closes each connection after its current response, so that no caller reuses
   * a connection to a gate that is stopping.
   */
  closeConnectionsAfterAnswers(): void {
    this.requests.closeConnectionsAfterAnswers();
  }

  /**
   * Refuses new requests, including those on kept-alive connections, with 503
   * and a short Retry-After, and closes idle connections.
   */
  async stopAccepting(): Promise<void> {
    this.isClosing = true;
    await waitForPendingReads(this.server);
    this.server.closeIdleConnections();
  }

  /** Stops listening and closes idle connections. */
  async closeIdle(): Promise<void> {
    await waitForPendingReads(this.server);
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Stops listening and closes all connections, also those in use. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private applyLimits(): void {
    const limits = this.context.state.config?.limits;
    if (limits === undefined) return;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const {readNow, turns} = this.context;
    // What was read in this turn may have arrived when the turn began.
    const arrivedAt = readNow() - turns.readTurnAgeMs();
    this.requests.add(res);
    // Kept connections would stay with this gate after most new ones went to it.
    if (this.shedder.isShedding) res.shouldKeepAlive = false;
    const caller = new CallerResponse(res, this.server.keepAliveTimeout);
    let body: Buffer | undefined;
    try {
      body = await readBody(req, this.readBodyLimit());
    } catch {
      // The caller disconnected while sending its body: nothing runs, and no
      // response is sent.
      this.context.counters.add('ingress.caller_left');
      return;
    }
    if (caller.isDisconnected) return;
    if (body === undefined)
      return this.refuseEarly(caller, 413, 'body_too_large');
    const whole = body;
    this.context.turns.run('request', () =>
      this.dispatch(req, whole, caller, arrivedAt),
    );
  }

  private dispatch(
    req: IncomingMessage,
    body: Buffer,
    caller: CallerResponse,
    arrivedAt: number,
  ): void {
    const {state, dialect, readNow} = this.context;
    const facts = dialect.parseRequest(req.headers);
    if (this.isClosing)
      return this.refuseEarly(
        caller,
        503,
        'stopping',
        facts,
        OTHER_GATE_RETRY_AFTER_MS,
      );
    const config = state.config;
    if (config === undefined)
      return this.refuseEarly(caller, 503, 'no_configuration', facts);
    const path = req.url ?? '/';
    const host = req.headers.host ?? '';
    const route = state.routeTable?.find(host, path.split('?', 1)[0]);
    if (route === undefined)
      return this.refuseUnknown(caller, 404, 'unknown_route', facts);
    const account =
      facts.apiKey === undefined ? undefined : state.findAccount(facts.apiKey);
    const needsKey = !route.isPublic && config.accounts.length > 0;
    if (needsKey && account === undefined)
      return this.refuseUnknown(caller, 401, 'unknown_key', facts);
    const leftMs = Math.min(
      facts.deadlineMs ?? DEFAULT_DEADLINE_MS,
      route.timeoutMs,
    );
    if (arrivedAt + leftMs <= readNow())
      return this.refuseEarly(caller, 503, 'too_late', facts);
    const service = chooseService(route);
    if (service === undefined)
      return this.refuseEarly(caller, 503, 'no_target', facts);
    const method = req.method ?? 'GET';
    const fingerprint = new Fingerprint({
      method,
      host,
      path,
      account: account?.name,
      body,
      listParts: () => facts.sharedParts.map(id => `${service}/${id}`),
    });
    if (this.context.suspects.judge(fingerprint) === 'refused')
      return this.refuseSuspect(caller, facts, fingerprint);
    this.forward({
      method,
      path,
      headers: req.rawHeaders,
      body,
      fingerprint,
      facts,
      route,
      service,
      account: account?.name,
      arrivedAt,
      expiresAt: arrivedAt + leftMs,
      configVersion: config.version,
      lastEventId: readFirstValue(req.headers['last-event-id']),
      caller,
    });
  }

  private forward(request: GateRequest): void {
    const engine = this.context.state.findService(request.service)?.engine;
    if (request.route.kind === 'stream' && engine !== undefined)
      forwardStream(this.context, request, engine);
    else forwardCall(this.context, request);
  }

  private readBodyLimit(): number {
    return this.context.state.config?.limits.maxBodyBytes ?? 4 * 1024 * 1024;
  }

  /**
   * Refuses a request with an unknown key or route. A gate with stale fleet
   * state responds with 503, as it cannot know whether the key or route exists.
   */
  private refuseUnknown(
    caller: CallerResponse,
    status: 401 | 404,
    reason: 'unknown_key' | 'unknown_route',
    facts: RequestMetadata,
  ): void {
    if (this.context.readFactsAgeMs() > STALE_FACTS_MS)
      return this.refuseEarly(caller, 503, 'configuration_stale', facts);
    this.refuseEarly(caller, status, reason, facts);
  }

  /**
   * Refuses a request under which servers have crashed until the refusal of its
   * content ends.
   */
  private refuseSuspect(
    caller: CallerResponse,
    facts: RequestMetadata,
    fingerprint: Fingerprint,
  ): void {
    const {suspects, log} = this.context;
    const leftMs = suspects.readRefusalLeftMs(fingerprint);
    this.refuseEarly(caller, 503, 'crashes_servers', facts, leftMs);
    log.info('suspect_refused', {
      requestId: facts.requestId,
      content: fingerprint.id,
      refusedFor: suspects.listRefusingIds(fingerprint),
      crashed: suspects.listCrashed(fingerprint),
      leftMs: Math.round(leftMs),
    });
  }

  private refuseEarly(
    caller: CallerResponse,
    status: number,
    reason: GateErrorReason,
    facts?: RequestMetadata,
    retryDelayMs?: number,
  ): void {
    const {log, counters, state, readFactsAgeMs} = this.context;
    const leftMs = facts?.deadlineMs ?? DEFAULT_DEADLINE_MS;
    const waitMs = retryDelayMs ?? chooseRetryAfterMs(0, leftMs);
    caller.refuse(status, reason, status === 503 ? waitMs : undefined);
    counters.add(`ingress.${reason}`);
    log.warn('request_refused', {
      requestId: facts?.requestId,
      status,
      reason,
      configVersion: state.config?.version,
      factsAgeMs: Math.round(readFactsAgeMs()),
    });
  }
}

function readFirstValue(
  value: string | string[] | undefined,
): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/**
 * Chooses a service of the route by weight; returns undefined if the route has
 * none.
 */
function chooseService(route: Route): string | undefined {
  const total = route.splits.reduce((sum, split) => sum + split.weight, 0);
  let left = Math.random() * total;
  for (const split of route.splits) {
    left -= split.weight;
    if (left < 0) return split.service;
  }
  return route.splits[route.splits.length - 1]?.service;
}

/**
 * Creates the HTTP server for callers.
 *
 * @example
 * const ingress = createIngress(context, shedder);
 */
export function createIngress(
  context: ForwardContext,
  shedder: ConnectionShedder,
): Ingress {
  return new Ingress(context, shedder);
}
