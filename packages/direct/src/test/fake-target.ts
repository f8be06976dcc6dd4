/** HTTP target whose answers are scripted by a test. */
import {createServer} from 'node:http';
import {openListener} from '@nutmeggauge/core';
import {buildListeningTarget} from './build-target.js';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Target} from '../types.js';

/** Handles a request that the target has received with its whole body. */
export type TargetScript = (
  req: IncomingMessage,
  res: ServerResponse,
  body?: string,
) => void;

/** Builds the head of a signed answer to `req`. */
export function buildSignedHead(req: IncomingMessage): Record<string, string> {
  return {
    'x-test-id': String(req.headers['x-test-id']),
    'x-test-signature': 'signed',
  };
}

/** Sends a complete, signed answer. */
export function answerCompletely(
  req: IncomingMessage,
  res: ServerResponse,
): void {
  res.writeHead(200, buildSignedHead(req));
  res.end('whole');
}

/** Answers 503 and states that the request was not executed. */
export function answerNotRun(req: IncomingMessage, res: ServerResponse): void {
  res.writeHead(503, {
    'x-test-id': String(req.headers['x-test-id']),
    'x-test-not-run': '1',
  });
  res.end();
}

/** Formats server-sent events with the ids `from` to `to`, both included. */
export function formatEvents(from: number, to: number): string {
  let text = '';
  for (let id = from; id <= to; id++)
    text += `id: ${id}\ndata: piece-${id}\n\n`;
  return text;
}

/**
 * HTTP target that lets a script answer each request.
 *
 * @example
 * const target = await openFakeTarget('t1', 'orders', answerCompletely);
 */
export class FakeTarget {
  /** Ids of the received requests, in order. */
  readonly received: string[] = [];
  readonly heads: IncomingMessage['headers'][] = [];
  script: TargetScript;
  private readonly server: Server;

  constructor(
    readonly id: string,
    readonly service: string,
    script: TargetScript,
  ) {
    this.script = script;
    this.server = createServer((req, res) => {
      this.received.push(String(req.headers['x-test-id']));
      this.heads.push(req.headers);
      let body = '';
      req.on('data', chunk => (body += String(chunk)));
      req.once('end', () => this.script(req, res, body));
    });
  }

  /** Entry of the target for the store. */
  get entry(): Target {
    return buildListeningTarget(this.id, this.service, this.server);
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await openListener(this.server, {host: '127.0.0.1', port: 0});
  }

  /** Closes the target and every connection at once, as in a crash. */
  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/**
 * Starts a scripted target.
 *
 * @example
 * const target = await openFakeTarget('t1', 'chat', answerCompletely);
 */
export async function openFakeTarget(
  id: string,
  service: string,
  script: TargetScript,
): Promise<FakeTarget> {
  const target = new FakeTarget(id, service, script);
  await target.start();
  return target;
}
