import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  TEST_KEY,
  postJson,
  publishChatTargets,
  startStack,
  streamCompletion,
  stripVersion,
  waitUntil,
} from '../test/stack.js';
import {startFrozenAgent} from '../test/frozen-agent.js';
import type {Stack} from '../test/stack.js';

const auth = {authorization: `Bearer ${TEST_KEY}`};

describe('request that ends before its answer is complete', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('fails with status 504 at its deadline when its agent is frozen', async () => {
    // Guards against waiting for a frozen agent beyond the deadline.
    const frozen = await startFrozenAgent();
    publishChatTargets(stack, () => [
      {id: 'frozen', agent: `127.0.0.1:${frozen.port}`, zone: 'az-1'},
    ]);
    await waitUntil(async () => {
      const res = await postJson(
        `${stack.gateUrl}/v1/completions`,
        {model: 'chat', prompt: 'p', max_tokens: 1},
        {...auth, 'x-deadline-ms': '300'},
      );
      return (
        res.status === 504 &&
        res.body.error.reason === 'deadline_passed_may_have_run'
      );
    }, 10_000);
    expect(frozen.dispatches()).toBeGreaterThanOrEqual(1);
    frozen.close();
    stack.config.publish(stripVersion(stack.record));
  });

  it('frees its KV cache at the engine when its caller disconnects mid-stream', async () => {
    // Guards against an engine that keeps decoding for a disconnected caller.
    await waitUntil(
      async () =>
        (
          await postJson(
            `${stack.gateUrl}/v1/completions`,
            {model: 'chat', prompt: 'w', max_tokens: 1},
            auth,
          )
        ).status === 200,
    );
    const abort = new AbortController();
    await streamCompletion(
      stack.gateUrl,
      {model: 'chat', prompt: 'c'.repeat(4000), max_tokens: 2000},
      auth,
      count => {
        if (count === 3) abort.abort();
      },
      abort.signal,
    ).catch(() => undefined);
    await waitUntil(
      () => stack.engines[0].scheduler.readLoad().kvUsedTokens === 0,
    );
    expect(stack.engines[0].scheduler.readLoad().running).toEqual(0);
  });
});

describe('stream whose gate dies', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('frees its KV cache at the engine', async () => {
    // Guards against KV cache that stays in use for a request of a lost gate.
    const {scheduler} = stack.engines[0];
    await streamCompletion(
      stack.gateUrl,
      {model: 'chat', prompt: 'c'.repeat(4000), max_tokens: 5000},
      auth,
      count => {
        if (count === 3) stack.gate.close();
      },
    ).catch(() => undefined);
    await waitUntil(() => scheduler.readLoad().kvUsedTokens === 0);
    expect(scheduler.readLoad().running).toEqual(0);
  });
});
