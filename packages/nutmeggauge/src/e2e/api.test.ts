import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {MAX_BODY_BYTES} from '@nutmeggauge/core';
import {expect} from 'earl';
import {request} from 'undici';
import {
  SECOND_ACCOUNT_KEY,
  TEST_KEY,
  postJson,
  startStack,
} from '../test/stack.js';
import type {Stack} from '../test/stack.js';

describe('HTTP API for callers', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack();
  });
  after(async () => {
    await stack.close();
  });

  it('returns the complete answer to a completion from the engine through agent and gate', async () => {
    const res = await postJson(
      `${stack.gateUrl}/v1/completions`,
      {model: 'chat', prompt: 'x'.repeat(8000), max_tokens: 5},
      {authorization: `Bearer ${TEST_KEY}`},
    );
    expect(res.status).toEqual(200);
    expect(res.body.choices[0].text).toEqual(' t0 t1 t2 t3 t4');
    expect(res.body.usage.prompt_tokens).toEqual(2000);
  });

  it('streams a chat completion as SSE events that end with [DONE]', async () => {
    const res = await postJson(
      `${stack.gateUrl}/v1/chat/completions`,
      {
        model: 'chat',
        messages: [{role: 'user', content: 'hello'}],
        max_tokens: 3,
        stream: true,
      },
      {authorization: `Bearer ${TEST_KEY}`},
    );
    expect(res.status).toEqual(200);
    const text = res.body as string;
    expect(text.match(/chat\.completion\.chunk/g)?.length).toEqual(3);
    expect(text.trimEnd().endsWith('data: [DONE]')).toEqual(true);
  });

  it('refuses a request with an unknown API key with status 401 and a typed error', async () => {
    const res = await postJson(
      `${stack.gateUrl}/v1/completions`,
      {model: 'chat', prompt: 'x'},
      {authorization: 'Bearer nope-nope-nope'},
    );
    expect(res.status).toEqual(401);
    expect(res.body.error.type).toEqual('unauthorized');
    expect(res.body.error.reason).toEqual('unknown_key');
  });

  it('refuses a request without an API key with status 401', async () => {
    const res = await postJson(`${stack.gateUrl}/v1/completions`, {
      model: 'chat',
      prompt: 'x',
    });
    expect(res.status).toEqual(401);
    expect(res.body.error.reason).toEqual('missing_key');
  });

  it('refuses a request to a pool that the account may not use with status 403', async () => {
    const res = await postJson(
      `${stack.gateUrl}/v1/services/orders/place-order`,
      {sku: 'a'},
      {authorization: `Bearer ${SECOND_ACCOUNT_KEY}`},
    );
    expect(res.status).toEqual(403);
    expect(res.body.error.type).toEqual('forbidden');
  });

  it('refuses a request at once with status 503 and Retry-After when its deadline cannot be met', async () => {
    // The prefill of this prompt takes longer than its deadline.
    const res = await postJson(
      `${stack.gateUrl}/v1/completions`,
      {model: 'chat', prompt: 'y'.repeat(4_000_000), max_tokens: 4},
      {authorization: `Bearer ${TEST_KEY}`, 'x-deadline-ms': '100'},
    );
    expect(res.status).toEqual(503);
    expect(res.body.error.reason).toEqual('deadline_unreachable');
    expect(Number(res.headers['retry-after'])).toBeGreaterThanOrEqual(1);
  });

  it('answers a body above the size limit with status 413 without executing the call', async () => {
    // Guards against a connection reset instead of an answer, and against a
    // call that is executed without its arguments.
    const before = stack.plain[0].executions.length;
    const res = await postJson(
      `${stack.gateUrl}/v1/services/orders/place-order`,
      {sku: 'x'.repeat(MAX_BODY_BYTES)},
      {authorization: `Bearer ${TEST_KEY}`},
    );
    expect(res.status).toEqual(413);
    expect(res.body.error.reason).toEqual('body_too_large');
    expect(stack.plain[0].executions.length).toEqual(before);
  });

  it('answers a request that it refuses unread, and ends its connection without a reset', async () => {
    // Guards against a connection reset over an unread body, which may discard
    // the answer.
    const {hostname, port} = new URL(stack.gateUrl);
    const body = 'x'.repeat(MAX_BODY_BYTES + 1);
    const readOutcome = (method: string, key: string) =>
      new Promise<string>(resolve => {
        let text = '';
        let end = 'closed';
        const socket = connect(Number(port), hostname, () =>
          socket.write(
            `${method} /v1/services/orders/list HTTP/1.1\r\nHost: a\r\n` +
              `Authorization: Bearer ${key}\r\nConnection: close\r\n` +
              `Content-Length: ${body.length}\r\n\r\n${body}`,
          ),
        );
        socket.on('data', chunk => (text += String(chunk)));
        socket.on('error', () => (end = 'reset'));
        socket.on('close', () => resolve(`${text.slice(9, 12)} ${end}`));
      });
    expect(await readOutcome('PUT', TEST_KEY)).toEqual('405 closed');
    expect(await readOutcome('POST', 'unknown')).toEqual('401 closed');
    expect(await readOutcome('POST', TEST_KEY)).toEqual('413 closed');
  });

  it('answers a body that is not JSON with status 400 without executing the call', async () => {
    // Guards against a call that is executed without its arguments.
    const before = stack.plain[0].executions.length;
    const res = await request(
      `${stack.gateUrl}/v1/services/orders/place-order`,
      {
        method: 'POST',
        headers: {authorization: `Bearer ${TEST_KEY}`},
        body: '{"sku": ',
      },
    );
    const body = (await res.body.json()) as {error: {reason: string}};
    expect(res.statusCode).toEqual(400);
    expect(body.error.reason).toEqual('body_not_json');
    expect(stack.plain[0].executions.length).toEqual(before);
  });
});
