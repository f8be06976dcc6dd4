import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  TEST_KEY,
  postJson,
  readUsable,
  renderWholeAnswer,
  startStack,
  streamCompletion,
  waitUntil,
} from '../test/stack.js';
import type {Stack} from '../test/stack.js';

const auth = {authorization: `Bearer ${TEST_KEY}`};
const long = {model: 'chat', prompt: 'd'.repeat(4000), max_tokens: 100};

describe('drain of a leaving target', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 2});
  });
  after(async () => {
    await stack.close();
  });

  it('sends it no new work once its agent drains, and its request in flight finishes whole', async () => {
    // Guards against cutting a stream when its engine is replaced.
    let drained: Promise<void> | undefined;
    let busy = -1;
    const streaming = streamCompletion(stack.gateUrl, long, auth, count => {
      if (count !== 3) return;
      busy = stack.engines.findIndex(e => e.scheduler.readLoad().running > 0);
      drained = stack.agents[busy].drain();
    });
    await waitUntil(() => busy >= 0);
    await waitUntil(
      async () => (await readUsable(stack))[`engine-${busy + 1}`] === false,
    );
    const submittedBefore = stack.engines[busy].scheduler.submitted;
    const short = await Promise.all(
      [1, 2, 3, 4].map(() =>
        postJson(
          `${stack.gateUrl}/v1/completions`,
          {model: 'chat', prompt: 's', max_tokens: 2},
          auth,
        ),
      ),
    );
    const result = await streaming;
    await drained;
    expect(short.map(r => r.status)).toEqual([200, 200, 200, 200]);
    expect(stack.engines[busy].scheduler.submitted).toEqual(submittedBefore);
    expect(result.text).toEqual(renderWholeAnswer(100));
  });
});

describe('target that the host list says is leaving', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 2});
  });
  after(async () => {
    await stack.close();
  });

  it('gets no new work, and comes back when the list says so', async () => {
    // Guards against routing to a host that only the host list calls leaving.
    stack.hostList.setHosts([{id: 'engine-1', state: 'leaving'}]);
    await waitUntil(
      async () => (await readUsable(stack))['engine-1'] === false,
    );
    for (let i = 0; i < 4; i++) {
      const res = await postJson(
        `${stack.gateUrl}/v1/completions`,
        {model: 'chat', prompt: 's', max_tokens: 2},
        auth,
      );
      expect(res.status).toEqual(200);
    }
    expect(stack.engines[0].scheduler.submitted).toEqual(0);
    stack.hostList.setHosts([{id: 'engine-1', state: 'live'}]);
    await waitUntil(async () => (await readUsable(stack))['engine-1'] === true);
  });
});

describe('graceful shutdown of a gate', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('finishes the request in flight before it exits', async () => {
    // Guards against cutting a stream when its gate is replaced.
    let drained: Promise<void> | undefined;
    const result = await streamCompletion(stack.gateUrl, long, auth, count => {
      if (count === 3) drained = stack.gate.drain();
    });
    await drained;
    expect(result.done).toEqual(true);
    expect(result.text).toEqual(renderWholeAnswer(100));
  });
});
