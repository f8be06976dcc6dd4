import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {v7 as uuidv7} from 'uuid';
import {
  TEST_AUTH,
  countRuns,
  findHomeIndex,
  placeOrder,
  postJson,
  readUsable,
  renderWholeAnswer,
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

describe('engine death mid-stream', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 2});
  });
  after(async () => {
    await stack.close();
  });

  it('resumes a repeatable request on another engine and the caller gets the whole answer once', async () => {
    // Guards against missing or repeated pieces when an engine dies in
    // mid-answer.
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
    expect(result.text).toEqual(renderWholeAnswer(120));
  });
});

describe('not-repeatable request when the target dies', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 2});
  });
  after(async () => {
    await stack.close();
  });

  it('is never resent: the caller hears outcome unknown and the engines ran it once', async () => {
    // Guards against placing an order twice after its engine has died.
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

describe('order service dies after executing', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1, plain: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('answers outcome unknown, and the caller retry with the same key does not run it again', async () => {
    // Guards against a second run when the answer to an order was lost.
    stack.plain[0].setFault('drop-reply');
    const first = await placeOrder(stack, 'o-1');
    stack.plain[0].setFault('none');
    const retry = await placeOrder(stack, 'o-1');
    expect(first.body.error.type).toEqual('outcome_unknown');
    expect(retry.body.error.type).toEqual('outcome_unknown');
    expect(stack.plain[0].executions.length).toEqual(1);
  });

  it('gives the retry through a restarted gate the first answer, not a second booking', async () => {
    // Guards against a second run through a gate that knows nothing of the
    // first.
    const first = await placeOrder(stack, 'o-2');
    stack.gate.close();
    const configUrl = `http://127.0.0.1:${(stack.config.server.address() as {port: number}).port}`;
    const gateB = await startTestGate(
      configUrl,
      stack.record.version as number,
    );
    const retry = await postJson(
      `http://127.0.0.1:${gateB.port}/v1/services/orders/place-order`,
      {sku: 'kit-3'},
      {...auth, 'idempotency-key': 'o-2'},
    );
    gateB.close();
    expect(first.status).toEqual(200);
    expect(retry.body.result.slip).toEqual(first.body.result.slip);
    expect(countRuns(stack, 'o-2')).toEqual(1);
  });
});

describe('keyed order whose home agent says not run', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1, plain: 2});
  });
  after(async () => {
    await stack.close();
  });

  it('is not moved to another agent, so the caller retry cannot book it twice', async () => {
    // Guards against a second run at another target after the home refused
    // once.
    const key = 'o-home';
    const homeIndex = findHomeIndex(stack, key);
    stack.plain[homeIndex].setFault('reject');
    const first = await placeOrder(stack, key);
    stack.plain[homeIndex].setFault('none');
    const retry = await placeOrder(stack, key);
    expect(countRuns(stack, key)).toEqual(1);
    expect(first.status === 503 ? first.body.error.type : 'booked').toEqual(
      'not_run',
    );
    expect(retry.status).toEqual(200);
  });
});

describe('keyed order whose home target dies after booking it', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1, plain: 2});
  });
  after(async () => {
    await stack.close();
  });

  it('is not booked again at another agent by the caller retry', async () => {
    // Guards against a new home for keys whose home has died.
    const key = 'o-death';
    const home = findHomeIndex(stack, key);
    const first = await placeOrder(stack, key);
    stack.agents[1 + home].close();
    await waitUntil(
      async () => (await readUsable(stack))[`plain-${home + 1}`] === false,
    );
    const retry = await placeOrder(stack, key);
    expect(first.status).toEqual(200);
    expect(countRuns(stack, key)).toEqual(1);
    expect(retry.status).toEqual(503);
    expect(retry.body.error.reason).toEqual('home_unavailable');
  });
});

describe('keyed order whose home agent restarts', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1, plain: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('is not booked again by the agent that forgot it', async () => {
    // Guards against an empty ledger after a restart of the agent.
    const key = uuidv7();
    await placeOrder(stack, key);
    await stack.restartAgent(1);
    const retry = await placeOrder(stack, key);
    expect(countRuns(stack, key)).toEqual(1);
    expect(retry.body.error.type).toEqual('outcome_unknown');
  });
});

describe('keyed completion repeated by its caller', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('gives the repeat the whole answer of the first run', async () => {
    // Guards against an empty answer to a repeated stream.
    const send = () =>
      postJson(
        `${stack.gateUrl}/v1/completions`,
        {model: 'chat', prompt: 'q'.repeat(400), max_tokens: 7},
        {...auth, 'idempotency-key': 'quote-1'},
      );
    await send();
    const repeat = await send();
    expect(repeat.status).toEqual(200);
    expect(repeat.body.choices[0].text).toEqual(renderWholeAnswer(7));
    expect(countSubmitted(stack)).toEqual(1);
  });
});

describe('order that the service itself refuses', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('reaches the caller as the service answered it', async () => {
    // Guards against reporting the service's own 404 as not run.
    stack.plain[0].setFault('not-found');
    const res = await placeOrder(stack, 'o-404');
    expect(res.status).toEqual(404);
    expect(res.body.result.error).toEqual('no_such_item');
  });
});
