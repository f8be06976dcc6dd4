/**
 * HTTP API of the engine stand-in: `POST /v1/generate` streams tokens as SSE,
 * `GET /v1/load` reports the load with a lag, `POST /v1/orders` accepts orders
 * with a fencing token, `GET /v1/orders` returns the applied orders, and
 * `GET /v1/cache-events` returns prefix-cache changes with a delay.
 */
import {createServer} from 'node:http';
import {
  closeHttpServer,
  createLogger,
  openListener,
  readPort,
  readJsonBody,
  sendJson,
  startSse,
  writeSse,
} from '@nutmeggauge/core';
import {z} from 'zod';
import {EngineScheduler} from './scheduler.js';
import {OrderHandler} from './orders.js';
import {resolveEngineOptions} from './options.js';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {EngineLoad} from './scheduler.js';
import type {EngineOptions, ResolvedEngineOptions} from './options.js';

/** A running engine stand-in. */
export interface EngineStandIn {
  readonly server: Server;
  readonly scheduler: EngineScheduler;
  readonly orders: OrderHandler;
  /** Number of crashes under the prompt `crashPrompt`. */
  readonly crashes: number;
  close(): Promise<void>;
}

const GenerateSchema = z.object({
  requestId: z.string(),
  prompt: z.string(),
  maxTokens: z.number().default(16),
  priority: z.number().default(1),
  leaseMs: z.number().default(120_000),
  resume: z.object({fromSeq: z.number(), text: z.string()}).optional(),
});

const OrderSchema = z.object({
  fence: z.number(),
  kind: z.enum(['load-model', 'load-adapters', 'set-role']),
  value: z.string(),
});

/** Time from the start of a run to the crash, in ms. */
const CRASH_DELAY_MS = 20;

/** Request handlers of one engine's HTTP API. */
class EngineApi {
  readonly scheduler: EngineScheduler;
  readonly orders: OrderHandler;
  private reportedLoad: EngineLoad;
  private readonly lagTimer: NodeJS.Timeout;
  private readonly log = createLogger('engine');

  /** @param crash - Ends the engine, which listens again later. */
  constructor(
    private readonly options: ResolvedEngineOptions,
    private readonly crash: () => void,
  ) {
    this.scheduler = new EngineScheduler(options);
    this.orders = new OrderHandler(options.fencing);
    this.reportedLoad = this.scheduler.readLoad();
    // Load is reported with a lag, as by real engines.
    this.lagTimer = setInterval(
      () => (this.reportedLoad = this.scheduler.readLoad()),
      options.loadLagMs,
    );
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://engine');
    switch (`${req.method} ${url.pathname}`) {
      case 'GET /v1/load':
        sendJson(res, 200, {id: this.options.id, ...this.reportedLoad});
        return;
      case 'GET /v1/cache-events':
        this.serveCacheEvents(url, res);
        return;
      case 'GET /v1/orders':
        sendJson(res, 200, this.orders.describe());
        return;
      case 'POST /v1/orders':
        this.serveOrder(await readJsonBody(req), res);
        return;
      case 'POST /v1/generate':
        this.serveGenerate(await readJsonBody(req), res);
        return;
      default:
        sendJson(res, 404, {error: 'not_found'});
    }
  }

  stop(): void {
    clearInterval(this.lagTimer);
    this.scheduler.stop();
  }

  private serveCacheEvents(url: URL, res: ServerResponse): void {
    const after = Number(url.searchParams.get('after') ?? 0);
    const events = this.scheduler.cache.readEvents(
      after,
      this.options.loadLagMs,
      Date.now(),
    );
    sendJson(res, 200, {events});
  }

  private serveOrder(body: unknown, res: ServerResponse): void {
    const order = OrderSchema.safeParse(body);
    if (!order.success) {
      sendJson(res, 400, {error: 'bad_order'});
      return;
    }
    if (!this.orders.apply(order.data)) {
      sendJson(res, 409, {error: 'fence_stale', ...this.orders.describe()});
      return;
    }
    sendJson(res, 200, {applied: true});
  }

  private serveGenerate(body: unknown, res: ServerResponse): void {
    const parsed = GenerateSchema.safeParse(body);
    if (!parsed.success) {
      sendJson(res, 400, {error: 'bad_request'});
      return;
    }
    const {requestId, prompt} = parsed.data;
    if (prompt !== '' && prompt === this.options.crashPrompt) {
      startSse(res);
      setTimeout(this.crash, CRASH_DELAY_MS);
      return;
    }
    let ended = false;
    const endWith = (event: string, data: object) => {
      ended = true;
      writeSse(res, data, event);
      res.end();
    };
    const accepted = this.scheduler.submit(parsed.data, {
      onToken: (seq, text) => writeSse(res, {seq, text}),
      onDone: summary => endWith('done', summary),
      onFail: reason => endWith('failed', {reason}),
    });
    if (!accepted) {
      sendJson(res, 503, {error: 'overloaded'});
      return;
    }
    // Logs the execution, because the log survives a kill of the process.
    this.log.info('sequence_submitted', {requestId});
    startSse(res);
    // A disconnected caller must not keep KV cache space reserved.
    res.on('close', () => {
      if (!ended) this.scheduler.cancel(requestId);
    });
  }
}

/**
 * Starts an engine stand-in on `host:port` (port 0 picks a free one).
 *
 * @example
 * const engine = await startEngineStandIn({id: 'engine-1'}, '127.0.0.1', 0);
 */
export async function startEngineStandIn(
  options: EngineOptions,
  host: string,
  port: number,
): Promise<EngineStandIn> {
  const resolved = resolveEngineOptions(options);
  let crashes = 0;
  let isClosed = false;
  const crash = () => {
    if (isClosed || !server.listening) return;
    crashes++;
    const port = readPort(server);
    server.closeAllConnections();
    server.close();
    setTimeout(() => {
      if (!isClosed) void openListener(server, {host, port});
    }, resolved.restartMs);
  };
  const api = new EngineApi(resolved, crash);
  const server = createServer((req, res) => void api.handle(req, res));
  await openListener(server, {host, port});
  createLogger('engine').info('engine_listening', {
    id: resolved.id,
    address: server.address(),
    fencing: resolved.fencing,
  });
  return {
    server,
    scheduler: api.scheduler,
    orders: api.orders,
    get crashes() {
      return crashes;
    },
    close: async () => {
      isClosed = true;
      api.stop();
      await closeHttpServer(server);
    },
  };
}
