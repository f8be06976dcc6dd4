import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {readPort} from '@nutmeggauge/core';
import {request} from 'undici';
import {v7 as uuidv7} from 'uuid';
import {
  TEST_KEY,
  placeOrder,
  postJson,
  startStack,
  startTestGate,
  stripVersion,
  waitUntil,
} from '../test/stack.js';

import type {Stack} from '../test/stack.js';

const auth = {authorization: `Bearer ${TEST_KEY}`};
const readConfigVersion = async (stack: Stack) =>
  (
    (await (await request(`${stack.gateUrl}/healthz`)).body.json()) as {
      configVersion: number;
    }
  ).configVersion;

describe('deployment whose configuration service fails', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('serves requests on the last valid record while the service is down', async () => {
    // Guards against refusing requests during an outage of the configuration
    // service.
    stack.config.setMode('down');
    const res = await postJson(
      `${stack.gateUrl}/v1/completions`,
      {model: 'chat', prompt: 'x', max_tokens: 2},
      auth,
    );
    stack.config.setMode('up');
    expect(res.status).toEqual(200);
  });

  it('keeps the newest record when a stale replica of the service serves an older one', async () => {
    // Guards against a lagging replica whose old record removes a new API key.
    const base = stripVersion(stack.record);
    const accounts = [
      ...(base.accounts as object[]),
      {id: 'acct-new', keys: ['new-key-0003'], pools: ['chat']},
    ];
    const newVersion = stack.config.publish({...base, accounts});
    await waitUntil(
      async () => (await readConfigVersion(stack)) === newVersion,
    );
    stack.config.setMode('stale');
    await waitUntil(() => stack.config.calls() > 3);
    const res = await postJson(
      `${stack.gateUrl}/v1/completions`,
      {model: 'chat', prompt: 'x', max_tokens: 2},
      {authorization: 'Bearer new-key-0003'},
    );
    stack.config.setMode('up');
    expect(await readConfigVersion(stack)).toEqual(newVersion);
    expect(res.status).toEqual(200);
  });

  it("serves requests on a peer's record through a gate that starts while the service is down", async () => {
    // Guards against a new gate that refuses all requests during an outage of
    // the configuration service.
    const configUrl = `http://127.0.0.1:${readPort(stack.config.server)}`;
    const version = await readConfigVersion(stack);
    stack.config.setMode('down');
    const gate = await startTestGate(configUrl, version, {
      peers: [`127.0.0.1:${stack.gate.relayPort}`],
    });
    const res = await postJson(
      `http://127.0.0.1:${gate.port}/v1/completions`,
      {model: 'chat', prompt: 'x', max_tokens: 2},
      auth,
    );
    gate.close();
    stack.config.setMode('up');
    expect(res.status).toEqual(200);
  });

  it('accepts orders with an idempotency key at an agent that restarts while the service is down', async () => {
    // Guards against a restarted agent that refuses requests with an
    // idempotency key during an outage of the configuration service.
    stack.config.setMode('down');
    await stack.restartAgent(1);
    await waitUntil(
      async () => (await placeOrder(stack, uuidv7())).status === 200,
      10_000,
    );
    stack.config.setMode('up');
  });
});
