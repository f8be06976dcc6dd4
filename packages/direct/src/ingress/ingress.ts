/**
 * The callers' side: reads requests, checks route and key, and hands them to
 * the forwarders.
 */
import {createServer} from 'node:http';
import {
  closeIdleWhenRead,
  openListener,
  waitForReading,
} from '@nutmeggauge/core';
import {CallerResponse} from '../forward/caller-response.js';
import {forwardCall} from '../forward/call-forwarder.js';
import {chooseRetryAfterMs} from '../forward/retry-after.js';
import {forwardStream} from '../forward/stream-forwarder.js';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {ListenAddress} from '@nutmeggauge/core';
import type {GateErrorReason} from '../forward/caller-response.js';
import type {ForwardContext} from '../forward/context.js';
import type {GateRequest} from '../forward/request.js';
import type {RequestFacts, Route} from '../types.js';

/** Deadline of a caller that sends none, in ms. */
const DEFAULT_DEADLINE_MS = 60_000;

/** Largest request head, in bytes; above it Node answers 431. */
const MAX_HEAD_BYTES = 64 * 1024;

/** Idle timeout before the first configuration, in ms. */
const DEFAULT_IDLE_MS = 15_000;

/**
 * Age of the facts above which an unknown key or route may be new, in ms: above
 * one long poll of the store and one heartbeat.
 */
const STALE_FACTS_MS = 4000;

/** Retry-After if another gate can serve at once, in ms. */
const OTHER_GATE_RETRY_AFTER_MS = 20;

/**
 * The callers' HTTP server.
 *
 * @example
 * const ingress = createIngress(context, () => false);
 * await ingress.start({host: '10.1.0.4', port: 8080});
 */
export class Ingress {
  private readonly server: Server;
  private open = 0;
  private isClosing = false;

  constructor(
    private readonly context: ForwardContext,
    private readonly isStopping: () => boolean,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_MS,
        noDelay: true,
      },
      (req, res) => void this.serve(req, res),
    );
    closeIdleWhenRead(this.server);
    context.state.onChange(event => {
      if (event.event === 'config_applied') this.applyLimits();
    });
  }

  /** Requests without a complete answer. */
  get inFlight(): number {
    return this.open;
  }

  /** Starts listening; resolves with the bound port. */
  start(address: ListenAddress): Promise<number> {
    return openListener(this.server, address);
  }

  /** Refuses new requests on kept connections as not run. */
  async stopTaking(): Promise<void> {
    this.isClosing = true;
    await waitForReading(this.server);
    this.server.closeIdleConnections();
  }

  /** Stops listening, and closes connections without a request. */
  async closeIdle(): Promise<void> {
    await waitForReading(this.server);
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Cuts every connection. */
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
    const arrivedAt = this.context.readNow();
    this.open++;
    res.once('close', () => this.open--);
    const caller = new CallerResponse(res, this.isStopping);
    const body = await readBody(req, this.readBodyLimit());
    if (caller.isDisconnected) return;
    if (body === undefined)
      return this.refuseEarly(caller, 413, 'body_too_large');
    this.dispatch(req, body, caller, arrivedAt);
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
    this.forward({
      method: req.method ?? 'GET',
      path,
      headers: req.rawHeaders,
      body,
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
   * A gate with stale facts cannot say that a key or a route does not exist.
   */
  private refuseUnknown(
    caller: CallerResponse,
    status: 401 | 404,
    reason: 'unknown_key' | 'unknown_route',
    facts: RequestFacts,
  ): void {
    if (this.context.readFactsAgeMs() > STALE_FACTS_MS)
      return this.refuseEarly(caller, 503, 'configuration_stale', facts);
    this.refuseEarly(caller, status, reason, facts);
  }

  private refuseEarly(
    caller: CallerResponse,
    status: number,
    reason: GateErrorReason,
    facts?: RequestFacts,
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

/** Reads a body; nothing if it is larger than `limit`. */
async function readBody(
  req: IncomingMessage,
  limit: number,
): Promise<Buffer | undefined> {
  const parts: Buffer[] = [];
  let size = 0;
  try {
    for await (const part of req as AsyncIterable<Buffer>) {
      size += part.length;
      if (size > limit) return undefined;
      parts.push(part);
    }
  } catch {
    // The caller has left; its response's close event handles it.
    return Buffer.alloc(0);
  }
  return Buffer.concat(parts);
}

function readFirstValue(
  value: string | string[] | undefined,
): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/** Chooses among a route's services by weight; nothing if it has none. */
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
 * Creates the callers' server.
 *
 * @example
 * const ingress = createIngress(context, () => isDraining);
 */
export function createIngress(
  context: ForwardContext,
  isStopping: () => boolean,
): Ingress {
  return new Ingress(context, isStopping);
}
