import {connect} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {waitMs} from '@nutmeggauge/core';
import {GateSettingsSchema} from '@nutmeggauge/gate';
import {expect} from 'earl';
import {startFrozenAgent} from '../test/frozen-agent.js';
import {
  TEST_AUTH,
  findHomeIndex,
  placeOrder,
  postJson,
  publishChatTargets,
  readAdmin,
  readTargetUsability,
  startStack,
  streamCompletion,
  waitUntil,
} from '../test/stack.js';
import type {Stack, StackOptions} from '../test/stack.js';

/** Time from the stop of the gate until it must end, in ms. */
const STOP_MS = 1500;

/** Time within which a gate hands a request back at once, in ms. */
const AT_ONCE_MS = 500;

/** The same for a gate that waits for a connection, in ms. */
const HOME_STOP_MS = 600;

/** Tokens of an answer that ends long after the gate; 8 ms each. */
const LONG_TOKENS = 2000;

let stack: Stack;

async function startStoppable(options: StackOptions = {}): Promise<void> {
  stack = await startStack({
    engines: 1,
    agent: {lanes: {shortSlots: 1}},
    ...options,
    gate: {drainTimeoutMs: STOP_MS, ...options.gate},
  });
}

function sendCompletion(maxTokens: number, headers = {}) {
  return postJson(
    `${stack.gateUrl}/v1/completions`,
    {model: 'chat', prompt: 's', max_tokens: maxTokens},
    {...TEST_AUTH, ...headers},
  );
}

/** Sends a stream that has the only slot when this resolves. */
async function holdSlot(): Promise<{
  readonly result: ReturnType<typeof streamCompletion>;
}> {
  let count = 0;
  const result = streamCompletion(
    stack.gateUrl,
    {model: 'chat', prompt: 's', max_tokens: LONG_TOKENS},
    TEST_AUTH,
    () => count++,
  );
  result.catch(() => undefined);
  await waitUntil(() => count > 0);
  return {result};
}

/** Reads how many requests wait in the queue of the engine's agent. */
async function readQueued(): Promise<number> {
  const {targets} = await readAdmin<{
    targets: Array<{id: string; load?: {queued: number}}>;
  }>(stack.gate, 'targets');
  return targets.find(t => t.id === 'engine-1')?.load?.queued ?? 0;
}

describe('gate that must end', () => {
  afterEach(() => stack.close());

  it('hands back a request that waits in the queue of an agent', async () => {
    // Guards against a waiting request whose connection closes unanswered.
    await startStoppable();
    await holdSlot();
    const waiting = sendCompletion(2);
    await waitUntil(async () => (await readQueued()) === 1);
    await stack.gate.drain();
    const {status, body, headers} = await waiting;
    expect([status, body.error.type]).toEqual([503, 'not_run']);
    expect(headers['retry-after']).toEqual('1');
    expect(headers['connection']).toEqual('close');
    expect(stack.engines[0].scheduler.submitted).toEqual(1);
  });

  it('answers a request at an engine with an unknown outcome', async () => {
    // Guards against a request at its target that gets no answer at the end.
    await startStoppable();
    const running = sendCompletion(LONG_TOKENS);
    await waitUntil(() => stack.engines[0].scheduler.readLoad().running > 0);
    await stack.gate.drain();
    const {status, body} = await running;
    expect([status, body.error.type]).toEqual([502, 'outcome_unknown']);
  });

  it('answers a retry in the queue of an agent with an unknown outcome', async () => {
    // Guards against a "not run" for a request that an earlier agent may run.
    await startStoppable();
    const frozen = await startFrozenAgent();
    await holdSlot();
    publishChatTargets(stack, targets => [
      ...targets,
      {id: 'frozen', agent: `127.0.0.1:${frozen.port}`, zone: 'az-1'},
    ]);
    await waitUntil(async () => (await readTargetUsability(stack)).frozen);
    const waiting = sendCompletion(2);
    await waitUntil(async () => (await readQueued()) === 1);
    expect(frozen.dispatches()).toEqual(1);
    await stack.gate.drain();
    const {status, body} = await waiting;
    expect([status, body.error.type]).toEqual([502, 'outcome_unknown']);
    frozen.close();
  });

  it('hands back an order that waits for the connection to its home', async () => {
    // Guards against a wait for a connection that outlives the gate.
    await startStoppable({
      plain: 4,
      subsetSize: 1,
      gate: {drainTimeoutMs: HOME_STOP_MS},
    });
    const connected = await readTargetUsability(stack);
    const isAway = (key: string) =>
      connected[`plain-${findHomeIndex(stack, key) + 1}`] === undefined;
    const key = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].find(isAway) ?? '';
    stack.agents[1 + findHomeIndex(stack, key)].close();
    const waiting = placeOrder(stack, key);
    await waitMs(HOME_STOP_MS / 4);
    await stack.gate.drain();
    const {status, body} = await waiting;
    expect([status, body.error.type]).toEqual([503, 'not_run']);
  });

  it('hands back a request whose body has half arrived', async () => {
    // Guards against a caller that is cut while it sends its body.
    await startStoppable();
    const text = await readAnswerToHalfRequest();
    expect(text.slice(9, 12)).toEqual('503');
    expect(text.includes('not_run')).toEqual(true);
    expect(/^connection: close/im.test(text)).toEqual(true);
  });

  it('breaks off a begun stream visibly', async () => {
    // Guards against a cut stream that ends without an error event.
    await startStoppable();
    const {result} = await holdSlot();
    const startedAt = Date.now();
    await stack.gate.drain();
    const {done, error} = await result;
    expect([done, error?.type]).toEqual([false, 'outcome_unknown']);
    expect(Date.now() - startedAt).toBeGreaterThan(STOP_MS / 2);
  });

  it('keeps the end that it had when its settings change', async () => {
    // Guards against an end of the stop that a reload moves beyond the time
    // at which the platform ends the process.
    await startStoppable({gate: {drainNoticeMs: 200, drainTimeoutMs: 800}});
    await holdSlot();
    const startedAt = Date.now();
    const drained = stack.gate.drain();
    stack.gate.applySettings(
      GateSettingsSchema.parse({
        id: 'gate-t',
        zone: 'az-1',
        listen: {port: 0},
        configService: {url: 'http://127.0.0.1:9'},
        drainTimeoutMs: 60_000,
      }),
    );
    await Promise.race([drained, waitMs(3000)]);
    expect(Date.now() - startedAt).toBeLessThan(1500);
  });
});

/** Sends the half of a request, stops the gate, and reads what it answers. */
function readAnswerToHalfRequest(): Promise<string> {
  const {port, hostname} = new URL(stack.gateUrl);
  return new Promise(resolve => {
    let received = '';
    const socket = connect(Number(port), hostname, () =>
      socket.write(
        'POST /v1/completions HTTP/1.1\r\nHost: a\r\n' +
          `Authorization: ${TEST_AUTH.authorization}\r\n` +
          'Content-Length: 100\r\n\r\n{"model":',
      ),
    );
    setTimeout(() => void stack.gate.drain(), 100);
    socket.on('data', chunk => (received += String(chunk)));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
  });
}

describe('gate that stops', () => {
  afterEach(() => stack.close());

  it('hands a waiting request back at once that cannot end in time', async () => {
    // Guards against a request that waits until the end for nothing.
    await startStoppable();
    await holdSlot();
    const waiting = sendCompletion(LONG_TOKENS);
    await waitUntil(async () => (await readQueued()) === 1);
    const startedAt = Date.now();
    const drained = stack.gate.drain();
    const {status, body} = await waiting;
    expect([status, body.error.type]).toEqual([503, 'not_run']);
    expect(Date.now() - startedAt).toBeLessThan(AT_ONCE_MS);
    await drained;
  });

  it('refuses a new request at once that cannot end in time', async () => {
    // Guards against a request that is taken in and cut later.
    await startStoppable({gate: {drainNoticeMs: 300, drainTimeoutMs: 1000}});
    const drained = stack.gate.drain();
    const startedAt = Date.now();
    const {status, body, headers} = await sendCompletion(LONG_TOKENS);
    expect([status, body.error.type]).toEqual([503, 'not_run']);
    expect(headers['retry-after']).toEqual('1');
    expect(Date.now() - startedAt).toBeLessThan(AT_ONCE_MS);
    expect(stack.engines[0].scheduler.submitted).toEqual(0);
    await drained;
  });

  it('serves a new request that can end in time', async () => {
    // Guards against refusals of requests that the gate could serve.
    await startStoppable({gate: {drainNoticeMs: 300, drainTimeoutMs: 1000}});
    const drained = stack.gate.drain();
    const {status} = await sendCompletion(4);
    expect(status).toEqual(200);
    await drained;
  });
});
