import {after, before, describe, it} from 'node:test';
import {readPort} from '@nutmeggauge/core';
import {expect} from 'earl';
import {
  SECOND_ACCOUNT_KEY,
  TEST_AUTH,
  postJson,
  startStack,
  startTestGate,
  waitForGate,
} from '../test/stack.js';
import type {Gate} from '@nutmeggauge/gate';
import type {Stack} from '../test/stack.js';

const CRASH_PROMPT = 'crashes every engine';

/** Most engines that may end under one request. */
const MAX_CRASHES = 3;

/** Number of times that the caller sends the request again. */
const REPEATS = 9;

describe('request under which the engines of agents crash', () => {
  let stack: Stack;
  let otherGate: Gate;

  before(async () => {
    stack = await startStack({
      engines: 6,
      engine: () => ({crashPrompt: CRASH_PROMPT}),
    });
    const version = Number(stack.record.version);
    const configUrl = `http://127.0.0.1:${readPort(stack.config.server)}`;
    otherGate = await startTestGate(configUrl, version);
  });
  after(async () => {
    otherGate.close();
    await stack.close();
  });

  const complete = (gate: Gate, prompt: string, headers = TEST_AUTH) =>
    postJson(
      `http://127.0.0.1:${gate.port}/v1/completions`,
      {model: 'chat', prompt, max_tokens: 2},
      headers,
    );
  const countCrashes = () =>
    stack.engines.reduce((sum, {crashes}) => sum + crashes, 0);

  it('ends no engine any more after three have crashed, from whichever gate', async () => {
    // Guards against a request that ends engine after engine because each gate
    // and each agent takes every retry for a new request.
    for (let i = 0; i < REPEATS; i++)
      await complete(i % 2 === 0 ? stack.gate : otherGate, CRASH_PROMPT);
    expect(countCrashes() <= MAX_CRASHES).toEqual(true);
    const {status, headers} = await complete(otherGate, CRASH_PROMPT);
    expect(status).toEqual(503);
    expect(Number(headers['retry-after']) > 60).toEqual(true);
  });

  it('leaves other requests and other accounts alone', async () => {
    // Guards against a refusal that spreads to innocent requests.
    await waitForGate(otherGate, Number(stack.record.version));
    expect((await complete(otherGate, 'sound')).status).toEqual(200);
    const other = {authorization: `Bearer ${SECOND_ACCOUNT_KEY}`};
    const {body} = await complete(otherGate, CRASH_PROMPT, other);
    expect(body.error?.reason === 'crashes_servers').toEqual(false);
  });
});
