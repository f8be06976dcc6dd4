import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {v7 as uuidv7} from 'uuid';
import {
  TEST_AUTH,
  countExecutions,
  findHomeIndex,
  placeOrder,
  postJson,
  readTargetUsability,
  renderCompleteAnswer,
  startStack,
  startTestGate,
  streamCompletion,
  waitUntil,
} from '../test/stack.js';
import type {Stack} from '../test/stack.js';

const auth = TEST_AUTH;
const countSubmitted = (stack: Stack) =>
  stack.engines.reduce((sum, e) => sum + e.scheduler.submitted, 0);
const killBusyEngine = async (stack: Stack) => {
  let busy: Stack['engines'][number] | undefined;
  await waitUntil(
    () =>
      (busy = stack.engines.find(e => e.scheduler.readLoad().running > 0)) !==
      undefined,
  );
  await busy?.close();
};

describe('repeatable stream whose engine dies', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 2});
  });
  after(async () => {
    await stack.close();
  });

  it('resumes on another engine and delivers every token of the answer exactly once', async () => {
    // Guards against missing or repeated tokens when an engine dies in the
    // middle of an answer.
    let killed: Promise<void> | undefined;
    const result = await streamCompletion(
      stack.gateUrl,
      {model: 'chat', prompt: 'r'.repeat(4000), max_tokens: 120},
      auth,
      count => {
        if (count === 5) killed = killBusyEngine(stack);
      },
    );
    await killed;
    expect(result.done).toEqual(true);
    expect(result.text).toEqual(renderCompleteAnswer(120));
  });
});

describe('non-repeatable request whose engine dies', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 2});
  });
  after(async () => {
    await stack.close();
  });

  it('fails with outcome_unknown and is not submitted to another engine', async () => {
    // Guards against executing a non-repeatable request twice after its engine
    // has died.
    const before = countSubmitted(stack);
    const pending = postJson(
      `${stack.gateUrl}/v1/completions`,
      {model: 'chat', prompt: 'o'.repeat(4000), max_tokens: 150},
      {...auth, 'idempotency-key': 'kit-order-77'},
    );
    await killBusyEngine(stack);
    const res = await pending;
    expect(res.status).toEqual(502);
    expect(res.body.error.type).toEqual('outcome_unknown');
    expect(countSubmitted(stack) - before).toEqual(1);
  });
});

describe('retry of an order with the same idempotency key', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1, plain: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('fails with outcome_unknown and does not execute the order again after its first answer was lost', async () => {
    // Guards against a second execution when the answer to an order was lost.
    stack.plain[0].setFault('drop-reply');
    const first = await placeOrder(stack, 'o-1');
    stack.plain[0].setFault('none');
    const retry = await placeOrder(stack, 'o-1');
    expect(first.body.error.type).toEqual('outcome_unknown');
    expect(retry.body.error.type).toEqual('outcome_unknown');
    expect(stack.plain[0].executions.length).toEqual(1);
  });

  it('returns the first answer without executing the order again when the retry goes through a new gate', async () => {
    // Guards against a second execution through a gate that has no state about
    // the first one.
    const first = await placeOrder(stack, 'o-2');
    stack.gate.close();
    const configUrl = `http://127.0.0.1:${(stack.config.server.address() as {port: number}).port}`;
    const newGate = await startTestGate(
      configUrl,
      stack.record.version as number,
    );
    const retry = await postJson(
      `http://127.0.0.1:${newGate.port}/v1/services/orders/place-order`,
      {sku: 'kit-3'},
      {...auth, 'idempotency-key': 'o-2'},
    );
    newGate.close();
    expect(first.status).toEqual(200);
    expect(retry.body.result.slip).toEqual(first.body.result.slip);
    expect(countExecutions(stack, 'o-2')).toEqual(1);
  });
});

describe('order with an idempotency key whose home agent reports not_run', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1, plain: 2});
  });
  after(async () => {
    await stack.close();
  });

  it('is not sent to another agent, so that a retry by the caller executes it only once', async () => {
    // Guards against a second execution at another target after the home target
    // has refused the first attempt.
    const key = 'o-home';
    const homeIndex = findHomeIndex(stack, key);
    stack.plain[homeIndex].setFault('reject');
    const first = await placeOrder(stack, key);
    stack.plain[homeIndex].setFault('none');
    const retry = await placeOrder(stack, key);
    expect(countExecutions(stack, key)).toEqual(1);
    expect(first.status === 503 ? first.body.error.type : 'booked').toEqual(
      'not_run',
    );
    expect(retry.status).toEqual(200);
  });
});

describe('order with an idempotency key whose home agent goes down after its execution', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1, plain: 2});
  });
  after(async () => {
    await stack.close();
  });

  it('is refused with home_unavailable on retry instead of being executed by another agent', async () => {
    // Guards against assigning a new home to the keys of an agent that is down.
    const key = 'o-death';
    const homeIndex = findHomeIndex(stack, key);
    const first = await placeOrder(stack, key);
    stack.agents[1 + homeIndex].close();
    await waitUntil(
      async () =>
        (await readTargetUsability(stack))[`plain-${homeIndex + 1}`] === false,
    );
    const retry = await placeOrder(stack, key);
    expect(first.status).toEqual(200);
    expect(countExecutions(stack, key)).toEqual(1);
    expect(retry.status).toEqual(503);
    expect(retry.body.error.reason).toEqual('home_unavailable');
  });
});

describe('order with an idempotency key whose home agent restarts after its execution', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1, plain: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('fails with outcome_unknown on retry instead of being executed again', async () => {
    // Guards against an agent that takes a key for a new one because its ledger
    // is empty after a restart.
    const key = uuidv7();
    await placeOrder(stack, key);
    await stack.restartAgent(1);
    const retry = await placeOrder(stack, key);
    expect(countExecutions(stack, key)).toEqual(1);
    expect(retry.body.error.type).toEqual('outcome_unknown');
  });
});

describe('completion repeated with the same idempotency key', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('returns the whole answer of the first run without running again', async () => {
    // Guards against an empty answer to a completion that is repeated.
    const send = () =>
      postJson(
        `${stack.gateUrl}/v1/completions`,
        {model: 'chat', prompt: 'q'.repeat(400), max_tokens: 7},
        {...auth, 'idempotency-key': 'quote-1'},
      );
    await send();
    const repeat = await send();
    expect(repeat.status).toEqual(200);
    expect(repeat.body.choices[0].text).toEqual(renderCompleteAnswer(7));
    expect(countSubmitted(stack)).toEqual(1);
  });
});

describe('order that the service answers with an error', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('returns the status and the body of the service to the caller', async () => {
    // Guards against reporting a 404 of the service as not_run.
    stack.plain[0].setFault('not-found');
    const res = await placeOrder(stack, 'o-404');
    expect(res.status).toEqual(404);
    expect(res.body.result.error).toEqual('no_such_item');
  });
});
