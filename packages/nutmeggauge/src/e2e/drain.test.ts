import {connect} from 'node:net';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {freezeProcess} from '@nutmeggauge/core';
import {expect} from 'earl';
import {
  TEST_KEY,
  postJson,
  readAdmin,
  readTargetUsability,
  renderCompleteAnswer,
  startStack,
  streamCompletion,
  waitUntil,
} from '../test/stack.js';
import type {Stack} from '../test/stack.js';

const auth = {authorization: `Bearer ${TEST_KEY}`};
const long = {
  model: 'chat',
  prompt: 'd'.repeat(4000),
  max_tokens: 100,
};

describe('target whose agent drains', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 2});
  });
  after(async () => {
    await stack.close();
  });

  it('receives no new requests and completes the stream in flight', async () => {
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
      async () =>
        (await readTargetUsability(stack))[`engine-${busy + 1}`] === false,
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
    expect(result.text).toEqual(renderCompleteAnswer(100));
  });
});

describe('agent whose drain must end', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({
      engines: 1,
      agent: {lanes: {shortSlots: 1}, drainTimeoutMs: 800},
    });
  });
  after(async () => {
    await stack.close();
  });

  it('hands back a request that waits in its queue', async () => {
    // Guards against a lost link, and so an unknown outcome, for a request
    // that has not been passed to the target.
    let count = 0;
    const running = streamCompletion(
      stack.gateUrl,
      {...long, prompt: 's', max_tokens: 2000},
      auth,
      () => count++,
    );
    await waitUntil(() => count > 0);
    const waiting = postJson(
      `${stack.gateUrl}/v1/completions`,
      {model: 'chat', prompt: 's', max_tokens: 2},
      auth,
    );
    await waitUntil(async () => {
      const {targets} = await readAdmin<{
        targets: Array<{id: string; load?: {queued: number}}>;
      }>(stack.gate, 'targets');
      return targets.some(target => target.load?.queued === 1);
    });
    await stack.agents[0].drain();
    const {status, body} = await waiting;
    expect([status, body.error.type]).toEqual([503, 'not_run']);
    await running;
  });
});

describe('target that the host list marks as leaving', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 2});
  });
  after(async () => {
    await stack.close();
  });

  it('receives no requests until the host list marks it as live again', async () => {
    // Guards against routing to a host that is leaving according to the host
    // list although its agent does not drain.
    stack.hostList.setHosts([{id: 'engine-1', state: 'leaving'}]);
    await waitUntil(
      async () => (await readTargetUsability(stack))['engine-1'] === false,
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
    await waitUntil(
      async () => (await readTargetUsability(stack))['engine-1'] === true,
    );
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

  it('completes the stream in flight before the gate stops', async () => {
    // Guards against cutting a stream when its gate is replaced.
    let drained: Promise<void> | undefined;
    const result = await streamCompletion(stack.gateUrl, long, auth, count => {
      if (count === 3) drained = stack.gate.drain();
    });
    await drained;
    expect(result.done).toEqual(true);
    expect(result.text).toEqual(renderCompleteAnswer(100));
  });
});

/** Duration of a suspension, in ms. */
const FREEZE_MS = 50;

function renderRequest(
  maxTokens: number,
  prompt = 's',
  stream = false,
): string {
  const body = JSON.stringify({
    model: 'chat',
    prompt,
    max_tokens: maxTokens,
    stream,
  });
  return (
    'POST /v1/completions HTTP/1.1\r\nHost: a\r\n' +
    `Authorization: ${auth.authorization}\r\n` +
    `Content-Length: ${body.length}\r\n\r\n${body}`
  );
}

/** Response heads read on one connection, and whether it was reset. */
interface ConnectionResult {
  readonly heads: readonly string[];
  readonly hasReset: boolean;
}

/**
 * Sends a request and, after its answer, a second request that the gate reads
 * only after its drain has begun.
 */
function sendRequestDuringStop(
  stack: Stack,
  prompt: string,
): Promise<ConnectionResult> {
  const {port, hostname} = new URL(stack.gateUrl);
  const heads: string[] = [];
  let hasReset = false;
  return new Promise(resolve => {
    const socket = connect(Number(port), hostname, () =>
      socket.write(renderRequest(2)),
    );
    socket.on('data', chunk => {
      const text = String(chunk);
      if (text.startsWith('HTTP/1.1')) heads.push(text);
      if (heads.length > 1) return;
      socket.write(renderRequest(2, prompt));
      void stack.gate.drain();
      freezeProcess(FREEZE_MS);
    });
    socket.on('error', () => (hasReset = true));
    socket.on('close', () => resolve({heads, hasReset}));
  });
}

/** Length of a prompt that the gate receives in many reads, in characters. */
const LONG_PROMPT_CHARS = 8_000_000;

describe('gate whose drain begins', () => {
  let stack: Stack;
  beforeEach(async () => {
    stack = await startStack({engines: 1});
  });
  afterEach(async () => {
    await stack.close();
  });

  it('answers a request that has already arrived with status 503 and closes its connection', async () => {
    // Guards against a connection that is reset by the drain because a request
    // on it is unread.
    const {heads, hasReset} = await sendRequestDuringStop(stack, 's');
    expect(hasReset).toEqual(false);
    expect(heads.map(head => head.slice(9, 12))).toEqual(['200', '503']);
    expect(/^connection: close/im.test(heads[1])).toEqual(true);
  });

  it('reads the whole body of a long prompt before it refuses the request', async () => {
    // Guards against a refusal that does not reach its caller because the
    // connection is reset while part of the body is unread.
    const prompt = 's'.repeat(LONG_PROMPT_CHARS);
    const {heads, hasReset} = await sendRequestDuringStop(stack, prompt);
    expect(hasReset).toEqual(false);
    expect(heads.map(head => head.slice(9, 12))).toEqual(['200', '503']);
  });
});

describe('gate whose drain begins during a request', () => {
  let stack: Stack;
  beforeEach(async () => {
    stack = await startStack({engines: 1});
  });
  afterEach(async () => {
    await stack.close();
  });

  it('sends Connection: close with the answer', async () => {
    // Guards against callers that reuse a connection to a draining gate.
    const {port, hostname} = new URL(stack.gateUrl);
    const text = await new Promise<string>(resolve => {
      let received = '';
      const socket = connect(Number(port), hostname, () =>
        socket.write(renderRequest(50)),
      );
      socket.on('data', chunk => (received += String(chunk)));
      socket.on('close', () => resolve(received));
      const {scheduler} = stack.engines[0];
      void waitUntil(() => scheduler.readLoad().running > 0).then(() =>
        stack.gate.drain(),
      );
    });
    expect(text.slice(9, 12)).toEqual('200');
    expect(/^connection: close/im.test(text)).toEqual(true);
  });

  it('answers a request that its caller sends as soon as a stream from before the drain has ended', async () => {
    // Guards against a connection that is closed under a request, because the
    // answer before it could no longer say that its connection ends.
    const {port, hostname} = new URL(stack.gateUrl);
    const text = await new Promise<string>(resolve => {
      let received = '';
      let hasSecond = false;
      const socket = connect(Number(port), hostname, () =>
        socket.write(renderRequest(20, 's', true)),
      );
      socket.on('data', chunk => {
        received += String(chunk);
        void stack.gate.drain();
        if (hasSecond || !received.includes('[DONE]')) return;
        hasSecond = true;
        socket.write(renderRequest(2));
      });
      socket.on('close', () => resolve(received));
    });
    const heads = text.split('HTTP/1.1 ').slice(1);
    expect(heads.map(head => head.slice(0, 3))).toEqual(['200', '503']);
    expect(/^connection: close/im.test(heads[1])).toEqual(true);
  });
});
