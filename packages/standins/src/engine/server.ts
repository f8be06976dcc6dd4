/**
 * The engine stand-in's HTTP face: `POST /v1/generate` streams tokens as SSE,
 * `GET /v1/load` reports load with a lag, `POST /v1/orders` takes fenced
 * orders, `GET /v1/cache-events` publishes prefix-cache changes late.
 */
import {createServer} from 'node:http';
import {
  createLogger,
  readJsonBody,
  sendJson,
  startSse,
  writeSse,
} from '@nutmeggauge/core';
import {EngineScheduler} from './scheduler.js';
import {resolveEngineOptions} from './options.js';
import type {Server} from 'node:http';
import type {EngineLoad} from './scheduler.js';
import type {EngineOptions} from './options.js';

/** An order to the engine, fenced by a number that must not go backwards. */
export interface EngineOrder {
  readonly fence: number;
  readonly kind: 'load-model' | 'load-adapter' | 'set-role';
  readonly value: string;
}

/** A running engine stand-in. */
export interface EngineStandIn {
  readonly server: Server;
  readonly scheduler: EngineScheduler;
  /** Orders the engine carried out, in order. */
  readonly orders: readonly EngineOrder[];
  close(): Promise<void>;
}

interface GenerateBody {
  readonly requestId?: unknown;
  readonly prompt?: unknown;
  readonly maxTokens?: unknown;
  readonly priority?: unknown;
  readonly leaseMs?: unknown;
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
  const scheduler = new EngineScheduler(resolved);
  const log = createLogger('engine');
  const orders: EngineOrder[] = [];
  let highestFence = 0;
  let reported: EngineLoad = scheduler.readLoad();
  // Load is published with a lag, as real engines do: routers see the past.
  const lagTimer = setInterval(
    () => (reported = scheduler.readLoad()),
    resolved.loadLagMs,
  );

  const server = createServer((req, res) => {
    const url = new URL(req.url ?? '/', 'http://engine');
    if (req.method === 'GET' && url.pathname === '/v1/load') {
      sendJson(res, 200, {id: resolved.id, ...reported});
      return;
    }
    if (req.method === 'GET' && url.pathname === '/v1/cache-events') {
      const after = Number(url.searchParams.get('after') ?? 0);
      sendJson(res, 200, {
        events: scheduler.cache.readEvents(
          after,
          resolved.loadLagMs,
          Date.now(),
        ),
      });
      return;
    }
    if (req.method === 'GET' && url.pathname === '/v1/orders') {
      sendJson(res, 200, {orders, highestFence});
      return;
    }
    if (req.method === 'POST' && url.pathname === '/v1/orders') {
      void readJsonBody(req).then(body => {
        const order = body as EngineOrder;
        if (typeof order?.fence !== 'number') {
          sendJson(res, 400, {error: 'fence_missing'});
          return;
        }
        if (order.fence < highestFence && resolved.fencing === 'refuse') {
          sendJson(res, 409, {error: 'fence_stale', highestFence});
          return;
        }
        highestFence = Math.max(highestFence, order.fence);
        orders.push(order);
        log.info('order_applied', {
          kind: order.kind,
          value: order.value,
          fence: order.fence,
        });
        sendJson(res, 200, {applied: true, highestFence});
      });
      return;
    }
    if (req.method === 'POST' && url.pathname === '/v1/generate') {
      void readJsonBody(req).then(body =>
        serveGenerate(body as GenerateBody | undefined),
      );
      return;
    }
    sendJson(res, 404, {error: 'not_found'});

    function serveGenerate(body: GenerateBody | undefined): void {
      if (
        typeof body?.prompt !== 'string' ||
        typeof body.requestId !== 'string'
      ) {
        sendJson(res, 400, {error: 'bad_request'});
        return;
      }
      const requestId = body.requestId;
      let ended = false;
      const accepted = scheduler.submit(
        {
          requestId,
          prompt: body.prompt,
          maxTokens: typeof body.maxTokens === 'number' ? body.maxTokens : 16,
          priority: typeof body.priority === 'number' ? body.priority : 1,
          leaseMs: typeof body.leaseMs === 'number' ? body.leaseMs : 120_000,
        },
        {
          onToken: (seq, text) => writeSse(res, {seq, text}),
          onDone: summary => {
            ended = true;
            writeSse(res, summary, 'done');
            res.end();
          },
          onFail: reason => {
            ended = true;
            writeSse(res, {reason}, 'failed');
            res.end();
          },
        },
      );
      if (!accepted) {
        sendJson(res, 503, {error: 'overloaded'});
        return;
      }
      startSse(res);
      // A caller that goes away must not keep KV memory: cancel at once.
      res.on('close', () => {
        if (!ended) scheduler.cancel(requestId);
      });
    }
  });
  await new Promise<void>(resolve => server.listen(port, host, resolve));
  log.info('engine_listening', {
    id: resolved.id,
    address: server.address(),
    fencing: resolved.fencing,
  });
  return {
    server,
    scheduler,
    orders,
    close: async () => {
      clearInterval(lagTimer);
      scheduler.stop();
      server.closeAllConnections();
      await new Promise<void>(resolve => server.close(() => resolve()));
    },
  };
}
