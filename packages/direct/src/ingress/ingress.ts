/**
 * HTTP server for callers: reads requests, checks their routes and API keys,
 * and passes them to the forwarders.
 */
import {createServer} from 'node:http';
import {
  Fingerprint,
  OpenRequests,
  PipelinedRequests,
  closeIdleAfterRead,
  openListener,
  acceptListener,
  readConnections,
  waitForPendingReads,
} from '@nutmeggauge/core';
import {CallerResponse} from '../forward/caller-response.js';
import {forwardCall} from '../forward/call-forwarder.js';
import {findRequestFraming} from '../forward/request-body.js';
import {forwardStream} from '../forward/stream-forwarder.js';
import {ArrivingRequest} from './arriving-request.js';
import {BodyReceiver} from './body-receiver.js';
import {OpenRequest} from '../stop/open-request.js';
import {listAllowedZones} from '../placement/allowed-regions.js';
import {DEFAULT_DEADLINE_MS, EarlyRefusals} from './early-refusals.js';
import {StartupHold} from './startup-hold.js';
import {createUnreadableRequests} from './create-unreadable-requests.js';
import type {
  IncomingMessage,
  Server as HttpServer,
  ServerResponse,
} from 'node:http';
import type {Server} from 'node:net';
import type {ListenAddress} from '@nutmeggauge/core';
import type {ConnectionShedder} from './connection-shedder.js';
import type {ForwardContext} from '../forward/context.js';
import type {GateRequest} from '../forward/request.js';
import type {RequestMetadata, Route} from '../types.js';

/** Maximum size of a request head, in bytes; a larger one is answered with 431. */
const MAX_HEAD_BYTES = 64 * 1024;

/** Idle timeout of connections until a configuration is applied, in ms. */
const DEFAULT_IDLE_MS = 15_000;

/**
 * HTTP server for callers.
 *
 * @example
 * const ingress = createIngress(context, shedder);
 * await ingress.start({host: '10.1.0.4', port: 8080});
 */
export class Ingress {
  private readonly server: HttpServer;
  private readonly requests = new OpenRequests();
  private readonly pipelined: PipelinedRequests;
  private readonly refusals: EarlyRefusals;
  private readonly hold: StartupHold;
  private readonly bodies: BodyReceiver;
  private isClosing = false;

  constructor(
    private readonly context: ForwardContext,
    private readonly shedder: ConnectionShedder,
  ) {
    this.refusals = new EarlyRefusals(context);
    this.bodies = new BodyReceiver(context);
    this.pipelined = new PipelinedRequests(caller => {
      context.counters.add('ingress.pipelined_closed');
      context.log.warn('caller_pipelining_closed', {caller});
    });
    this.hold = new StartupHold(context.state, context.readNow);
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_MS,
        noDelay: true,
      },
      (req, res) => void this.serve(req, res),
    );
    readConnections(this.server, {
      account: context.callerMemory,
      readMaxHeadBytes: () => this.readMaxHeadBytes(),
      mayContinue: req => !this.bodies.isTooLarge(req),
    });
    closeIdleAfterRead(this.server);
    createUnreadableRequests(context).observe(this.server);
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

  /** Refuses the requests whose callers wait no longer for the rest of a body. */
  expireBodies(): void {
    this.bodies.expire();
  }

  /**
   * Starts to accept connections; resolves with the bound port.
   *
   * @param listener - Listener that is open already at this address.
   */
  start(address: ListenAddress, listener?: Server): Promise<number> {
    this.hold.start();
    return listener === undefined
      ? openListener(this.server, address)
      : acceptListener(this.server, listener);
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
    this.context.stop.handBackUnfinished();
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
    if (!this.pipelined.admit(req, res)) return;
    const {readNow, turns} = this.context;
    // What was read in this turn may have arrived when the turn began.
    const arrivedAt = readNow() - turns.readTurnAgeMs();
    this.requests.add(res);
    // Kept connections would stay with this gate after most new ones went to it.
    if (this.shedder.isShedding) res.shouldKeepAlive = false;
    const caller = new CallerResponse(res, this.server.keepAliveTimeout);
    const facts = this.context.dialect.parseRequest(req.headers);
    const arriving = new ArrivingRequest(caller, facts, this.refusals);
    const {requestId} = facts;
    const open = new OpenRequest(requestId, caller, arrivedAt, arriving);
    this.context.stop.observe(open);
    const body = await this.bodies.receive({
      req,
      caller,
      facts,
      arriving,
      arrivedAt,
    });
    if (body === undefined) return;
    if (!this.hold.isOver) await this.hold.wait();
    if (caller.isOver) return;
    this.context.turns.run('request', () =>
      this.dispatch(req, body, facts, open),
    );
  }

  private dispatch(
    req: IncomingMessage,
    bytes: Buffer,
    facts: RequestMetadata,
    open: OpenRequest,
  ): void {
    const {caller, arrivedAt} = open;
    const {state, readNow, stop} = this.context;
    if (this.isClosing) return void stop.handBack(open);
    if (this.refusals.refuseAddressed(caller, facts)) return;
    const config = state.config;
    if (config === undefined)
      return this.refusals.refuse(caller, 503, 'no_configuration', facts);
    const path = req.url ?? '/';
    const host = req.headers.host ?? '';
    const route = state.routeTable?.find(host, path.split('?', 1)[0]);
    if (route === undefined)
      return this.refusals.refuseUnknown(caller, 404, 'unknown_route', facts);
    const account =
      facts.apiKey === undefined ? undefined : state.findAccount(facts.apiKey);
    const needsKey = !route.isPublic && config.accounts.length > 0;
    if (needsKey && account === undefined)
      return this.refusals.refuseUnknown(caller, 401, 'unknown_key', facts);
    const leftMs = Math.min(
      facts.deadlineMs ?? DEFAULT_DEADLINE_MS,
      route.timeoutMs,
    );
    if (arrivedAt + leftMs <= readNow())
      return this.refusals.refuse(caller, 503, 'too_late', facts);
    const service = chooseService(route);
    if (service === undefined)
      return this.refusals.refuse(caller, 503, 'no_target', facts);
    const method = req.method ?? 'GET';
    const fingerprint = new Fingerprint({
      method,
      host,
      path,
      account: account?.name,
      body: bytes,
      listParts: () => facts.sharedParts.map(id => `${service}/${id}`),
    });
    if (this.context.suspects.judge(fingerprint) === 'refused')
      return this.refusals.refuseSuspect(caller, facts, fingerprint);
    this.forward({
      method,
      path,
      headers: req.rawHeaders,
      body: {bytes, framing: findRequestFraming(req.headers)},
      fingerprint,
      facts,
      route,
      service,
      account: account?.name,
      allowedZones: listAllowedZones(
        [route.allowedRegions, account?.allowedRegions],
        this.context.regionByZone,
      ),
      arrivedAt,
      expiresAt: arrivedAt + leftMs,
      configVersion: config.version,
      lastEventId: readFirstValue(req.headers['last-event-id']),
      caller,
      open,
    });
  }

  private forward(request: GateRequest): void {
    const engine = this.context.state.findService(request.service)?.engine;
    if (request.route.kind === 'stream' && engine !== undefined)
      forwardStream(this.context, request, engine);
    else forwardCall(this.context, request);
  }

  private readMaxHeadBytes(): number {
    const {config} = this.context.state;
    return config?.limits.maxHeadBytes ?? MAX_HEAD_BYTES;
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
