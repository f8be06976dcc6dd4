import {createServer} from 'node:net';
import {describe, it} from 'node:test';
import {openListener} from '@nutmeggauge/core';
import {expect} from 'earl';
import {EngineTarget} from './engine-target.js';
import {PlainTarget} from './plain-target.js';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';
import type {TargetClient} from './target.js';

const REQUEST: DispatchRequest = {
  requestId: 'r1',
  account: 'a',
  pool: 'chat',
  kind: 'generate',
  prompt: 'p',
  op: 'read',
  args: {},
  deadlineAt: Date.now() + 60_000,
  notRepeatable: true,
  keyed: false,
  recordVersion: 1,
  attempt: 1,
};

const OVERSIZED: DispatchOutcome = {
  status: 'unknown',
  reason: 'target_answer_oversized',
};

/**
 * Runs a request on a target that sends `head` and then bytes without end;
 * returns the outcome once the agent has closed the connection.
 */
async function runOnEndless(
  head: string,
  createTarget: (url: string) => TargetClient,
): Promise<DispatchOutcome> {
  const part = 'a'.repeat(1024 * 1024);
  let markClosed = () => {};
  const closed = new Promise<void>(resolve => (markClosed = resolve));
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n`);
      const timer = setInterval(() => {
        if (!socket.writableNeedDrain) socket.write(part);
      }, 1);
      socket.once('close', () => {
        clearInterval(timer);
        markClosed();
      });
    });
  });
  const port = await openListener(server, {host: '127.0.0.1', port: 0});
  const target = createTarget(`http://127.0.0.1:${port}`);
  const outcome = await target.run(
    REQUEST,
    () => undefined,
    new AbortController().signal,
  );
  await closed;
  server.close();
  return outcome;
}

describe('target that answers without end', () => {
  it('is cut off by a call', async () => {
    // Guards against an agent that holds an answer until its memory is spent.
    const head = 'Content-Type: application/json';
    const outcome = await runOnEndless(head, url => new PlainTarget(url));
    expect(outcome).toEqual(OVERSIZED);
  });

  it('is cut off by a stream', async () => {
    // Guards against an agent that holds an event until its memory is spent.
    const head = 'Content-Type: text/event-stream';
    const outcome = await runOnEndless(head, url => new EngineTarget(url));
    expect(outcome).toEqual(OVERSIZED);
  });
});
