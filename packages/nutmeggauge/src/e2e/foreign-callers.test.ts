import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {TEST_AUTH, TEST_KEY, postJson, startStack} from '../test/stack.js';
import type {Stack} from '../test/stack.js';

/** Silence after which a request counts as unanswered, in ms. */
const SILENT_MS = 2000;

/** Sends bytes; resolves with the answer when the connection is closed. */
function sendRaw(
  port: number,
  bytes: string,
  resetAfterMs?: number,
): Promise<string> {
  return new Promise(resolve => {
    let text = '';
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(bytes);
      if (resetAfterMs !== undefined)
        setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
    });
    socket.on('data', chunk => (text += String(chunk)));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(text));
    socket.setTimeout(SILENT_MS, () => socket.destroy());
  });
}

describe('callers that do not keep to the protocol', () => {
  let stack: Stack;
  // The runner only warns of errors that begin in a hook.
  const uncaught: unknown[] = [];
  const recordError = (error: unknown) => {
    uncaught.push(error);
  };
  before(async () => {
    process.on('uncaughtException', recordError);
    process.on('unhandledRejection', recordError);
    stack = await startStack({engines: 1});
  });
  after(async () => {
    await stack.close();
    process.off('uncaughtException', recordError);
    process.off('unhandledRejection', recordError);
  });

  /** The next caller is served, and no request stays counted. */
  async function checkServing(): Promise<void> {
    const {status} = await postJson(
      `${stack.gateUrl}/v1/completions`,
      {model: 'chat', prompt: 's', max_tokens: 2},
      TEST_AUTH,
    );
    expect(status).toEqual(200);
    expect(uncaught).toEqual([]);
  }

  it('end no gate by leaving amid a body', async () => {
    // Guards against a caller that disconnects within its body, which ended the
    // gate.
    const head =
      'POST /v1/completions HTTP/1.1\r\nHost: a\r\n' +
      `Authorization: Bearer ${TEST_KEY}\r\nContent-Length: 100\r\n\r\n{"model"`;
    for (const afterMs of [0, 5, 20]) {
      await sendRaw(stack.gate.port, head, afterMs);
      await sendRaw(
        stack.gate.adminPort,
        'POST /v1/record/check HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{',
        afterMs,
      );
    }
    await checkServing();
  });

  it('end no gate by a path that is no address', async () => {
    // Guards against an invalid URL, which ended the gate.
    for (const path of ['//', 'http://[', 'http://a:99999/']) {
      for (const method of ['GET', 'POST']) {
        const bytes = `${method} ${path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${TEST_KEY}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
        for (const port of [stack.gate.port, stack.gate.adminPort]) {
          const text = await sendRaw(port, bytes);
          expect(/^HTTP\/1.1 40[045] /.test(text)).toEqual(true);
        }
      }
    }
    await checkServing();
  });
});
