/**
 * Stand-in for a plain service with order and stock calls. The stand-in does
 * not deduplicate calls and records every execution, so tests can count
 * duplicate executions of calls that must not be repeated.
 */
import {createServer} from 'node:http';
import {
  closeHttpServer,
  createLogger,
  openListener,
  readJsonBody,
  sendJson,
} from '@nutmeggauge/core';
import type {Server} from 'node:http';

/** One execution of a call. */
export interface Execution {
  readonly requestId: string;
  readonly ledgerKey: string | undefined;
  readonly op: string;
  readonly at: number;
}

/**
 * Fault that the stand-in injects: `drop-reply` executes the call, then closes
 * the connection before answering, like a service that crashes in the middle;
 * `reject` refuses every call with 429 before executing it; `not-found`
 * answers 404 as the service's own answer to the call.
 */
export type PlainServiceFault = 'none' | 'drop-reply' | 'reject' | 'not-found';

/** A running stand-in for a plain service. */
export interface PlainServiceStandIn {
  readonly server: Server;
  readonly executions: readonly Execution[];
  setFault(fault: PlainServiceFault): void;
  close(): Promise<void>;
}

/**
 * Starts a stand-in for a plain service.
 *
 * @param latencyMs - Time from the execution of a call to its answer, in ms.
 * @example
 * const orders = await startPlainServiceStandIn('127.0.0.1', 0, 20);
 */
export async function startPlainServiceStandIn(
  host: string,
  port: number,
  latencyMs: number,
): Promise<PlainServiceStandIn> {
  const log = createLogger('plain-service');
  const executions: Execution[] = [];
  let nextSlip = 1;
  let fault: PlainServiceFault = 'none';
  const server = createServer((req, res) => {
    const url = new URL(req.url ?? '/', 'http://plain');
    if (req.method === 'GET' && url.pathname === '/admin/executions') {
      sendJson(res, 200, {executions});
      return;
    }
    if (req.method !== 'POST' || url.pathname !== '/v1/call') {
      sendJson(res, 404, {error: 'not_found'});
      return;
    }
    void readJsonBody(req).then(body => {
      const call = body as
        {requestId?: string; ledgerKey?: string; op?: string} | undefined;
      if (typeof call?.requestId !== 'string' || typeof call.op !== 'string') {
        sendJson(res, 400, {error: 'bad_request'});
        return;
      }
      if (fault === 'reject') {
        sendJson(res, 429, {error: 'rejected'});
        return;
      }
      if (fault === 'not-found') {
        sendJson(res, 404, {error: 'no_such_item'});
        return;
      }
      executions.push({
        requestId: call.requestId,
        ledgerKey: call.ledgerKey,
        op: call.op,
        at: Date.now(),
      });
      // Logs the execution, because the log survives a kill of the process.
      log.info('call_executed', {
        requestId: call.requestId,
        ledgerKey: call.ledgerKey,
      });
      const slip = nextSlip++;
      if (fault === 'drop-reply') {
        res.socket?.destroy();
        return;
      }
      setTimeout(() => sendJson(res, 200, {op: call.op, slip}), latencyMs);
    });
  });
  await openListener(server, {host, port});
  log.info('plain_service_listening', {latencyMs});
  return {
    server,
    executions,
    setFault: next => {
      fault = next;
    },
    close: () => closeHttpServer(server),
  };
}
