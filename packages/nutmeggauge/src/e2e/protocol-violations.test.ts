import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {TEST_AUTH, TEST_KEY, postJson, startStack} from '../test/stack.js';
import type {Stack} from '../test/stack.js';

/** Time without data after which `sendRaw` closes its connection, in ms. */
const IDLE_TIMEOUT_MS = 2000;

/**
 * Sends bytes and resolves with the received text once the connection is
 * closed; resets the connection after `resetAfterMs` if given.
 */
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
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
  });
}

describe('gate with callers that violate the HTTP protocol', () => {
  let stack: Stack;
  // The test collects uncaught errors itself: the test runner only warns about
  // errors that originate in a hook, and the stack is started in a hook.
  const uncaughtErrors: unknown[] = [];
  const recordError = (error: unknown) => {
    uncaughtErrors.push(error);
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

  /** Checks that the gate serves a request and that no error was uncaught. */
  async function checkServing(): Promise<void> {
    const {status} = await postJson(
      `${stack.gateUrl}/v1/completions`,
      {model: 'chat', prompt: 's', max_tokens: 2},
      TEST_AUTH,
    );
    expect(status).toEqual(200);
    expect(uncaughtErrors).toEqual([]);
  }

  it('keeps serving after callers reset their connections in the middle of a body', async () => {
    // Guards against a gate that crashes when a caller disconnects in the
    // middle of a request body.
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

  it('answers an invalid request path with status 400, 404 or 405 and keeps serving', async () => {
    // Guards against a gate that crashes on an invalid URL.
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

  it('answers requests that it cannot read with a typed error', async () => {
    // Guards against an error without a body.
    const cases = [
      ['FROBNICATE / HTTP/1.1\r\nHost: a\r\n\r\n', 400, 'unknown_method'],
      ['POST / HTTP/1.1\r\nno colon\r\n\r\n', 400, 'malformed_request'],
      [`POST / HTTP/1.1\r\nx: ${'a'.repeat(20_000)}`, 431, 'head_too_large'],
    ] as const;
    for (const [bytes, status, reason] of cases) {
      const [head, body] = (await sendRaw(stack.gate.port, bytes)).split(
        '\r\n\r\n',
      );
      expect(head.split(' ')[1]).toEqual(String(status));
      expect(head.includes(`Content-Length: ${body.length}`)).toEqual(true);
      expect(JSON.parse(body)).toEqual({error: {type: 'bad_request', reason}});
      expect(stack.gate.counters.read()[`api.${reason}`]).toEqual(1);
    }
    await checkServing();
  });
});
