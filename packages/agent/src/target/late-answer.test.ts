import {createServer} from 'node:http';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {openListener} from '@nutmeggauge/core';
import {expect} from 'earl';
import {EngineTarget} from './engine-target.js';
import {PlainTarget} from './plain-target.js';
import type {Socket} from 'node:net';
import type {Server, ServerResponse} from 'node:http';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';
import type {TargetClient} from './target.js';

const CALLS = 5;

const REQUEST: DispatchRequest = {
  requestId: 'r0',
  account: 'a',
  pool: 'p',
  kind: 'call',
  prompt: 'p',
  op: 'read',
  args: {},
  deadlineAt: Date.now() + 60_000,
  notRepeatable: true,
  keyed: false,
  recordVersion: 1,
  attempt: 1,
};

/** Formats the answer to a request with a length. */
function formatAnswer(path: string, id: string): string {
  const token = `data: {"seq":0,"text":"${id}"}\n\n`;
  const done = 'event: done\ndata: {"tokens":1,"cachedTokens":0}\n\n';
  const body = path === '/v1/call' ? `{"id":"${id}"}` : token + done;
  return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

describe('answer of a target that answers each request twice, the second time late', () => {
  let server: Server;
  let url: string;
  const lastIds = new Map<Socket, string>();

  beforeEach(async () => {
    server = createServer((req, {socket}: ServerResponse) => {
      const path = req.url ?? '';
      let text = '';
      req.on('data', part => (text += String(part)));
      req.once('end', () => {
        if (socket === null) return;
        const {requestId} = JSON.parse(text) as DispatchRequest;
        const earlierId = lastIds.get(socket);
        lastIds.set(socket, requestId);
        // The late answer comes where that to the next request is due.
        if (earlierId !== undefined)
          socket.write(formatAnswer(path, earlierId));
        socket.write(formatAnswer(path, requestId));
      });
    });
    url = `http://127.0.0.1:${await openListener(server, {host: '127.0.0.1', port: 0})}`;
  });
  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  async function runCalls(
    target: TargetClient,
    readId: (outcome: DispatchOutcome, texts: readonly string[]) => unknown,
  ): Promise<void> {
    for (let i = 0; i < CALLS; i++) {
      const requestId = `r${i}`;
      const texts: string[] = [];
      const outcome = await target.run(
        {...REQUEST, requestId},
        (_, text) => texts.push(text),
        new AbortController().signal,
      );
      expect(readId(outcome, texts)).toEqual(requestId);
    }
  }

  it('is that to its own call', () =>
    // Guards against a call that gets the late answer to an earlier one.
    runCalls(new PlainTarget(url), outcome =>
      outcome.status === 'done' ? (outcome.body as {id: string}).id : outcome,
    ));

  it('is that to its own stream', () =>
    // Guards against a stream that gets the late tokens of an earlier one.
    runCalls(new EngineTarget(url), (_, texts) => texts.join('')));
});
