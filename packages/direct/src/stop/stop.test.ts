import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  answerCompletely,
  buildSignedHead,
  formatEvents,
} from '../test/fake-target.js';
import {ENGINE, buildConfig, openGateHarness} from '../test/gate-harness.js';
import type {FakeTarget, TargetScript} from '../test/fake-target.js';
import type {
  CallOptions,
  GateHarness,
  ReceivedResponse,
} from '../test/gate-harness.js';

/** Grace period of the gate under test, in ms. */
const GRACE_MS = 2000;

/** Time after which a refusal is no longer prompt, in ms. */
const PROMPT_MS = 500;

/** Deadline above the grace period, in ms. */
const DEADLINE_MS = 20_000;

/** Time from the request to the begin of its answer, in ms. */
const BEGIN_MS = 100;

/** Objective by which a stream may wait for longer than the grace period, in ms. */
const OBJECTIVE_MS = 20_000;

/** Output tokens that no engine generates within the grace period. */
const LONG_OUTPUT_TOKENS = 10_000;

interface Bed {
  readonly harness: GateHarness;
  readonly engine: FakeTarget;
}

/** Begins a stream that its engine never ends. */
const beginStream: TargetScript = (req, res) => {
  res.writeHead(200, buildSignedHead(req));
  res.write(formatEvents(1, 1));
};

function countTargets({lines}: GateHarness): number {
  return lines.filter(line => line.includes('"target_added"')).length;
}

/** Runs a test with one engine that has one slot, and one order service. */
async function runBed(
  script: TargetScript,
  test: (bed: Bed) => Promise<void>,
): Promise<void> {
  const {routes} = buildConfig(1);
  const config = buildConfig(1, {
    routes: routes.map(route => ({
      ...route,
      timeoutMs: DEADLINE_MS,
      objectiveMs: route.kind === 'stream' ? OBJECTIVE_MS : route.objectiveMs,
    })),
    services: [
      {name: 'orders', engine: undefined},
      {name: 'chat', engine: {...ENGINE, slots: 1}},
    ],
  });
  const harness = await openGateHarness({config});
  try {
    const engine = await harness.addTarget('e', 'chat', script);
    await harness.addTarget('o', 'orders', script);
    await harness.waitUntil(async () => (await harness.askReady()) === 200);
    await harness.waitUntil(() => countTargets(harness) === 2);
    await test({harness, engine});
  } finally {
    harness.close();
  }
}

function callStream(harness: GateHarness, id: string, options?: CallOptions) {
  return harness.call('/stream/x', {
    method: 'POST',
    id,
    deadlineMs: DEADLINE_MS,
    tokens: 1000,
    ...options,
  });
}

/** Sends a stream; resolves once its caller has got the head of the answer. */
async function openStream(
  harness: GateHarness,
  id: string,
): Promise<{readonly answer: Promise<ReceivedResponse>}> {
  let markBegun: () => void = () => undefined;
  const hasBegun = new Promise<void>(resolve => (markBegun = resolve));
  const answer = callStream(harness, id, {onHead: markBegun});
  await hasBegun;
  return {answer};
}

/** Fills the only slot, and then sends streams that wait for it. */
async function holdStreams({harness}: Bed, ids: readonly string[]) {
  await openStream(harness, 'holder');
  const answers = ids.map(id => callStream(harness, id));
  await sleep(100);
  return answers;
}

/** Ends the gate as its process does after a stop. */
async function stopGate({harness}: Bed): Promise<void> {
  await harness.gate.drain();
  harness.gate.close();
}

/** Lists what the log says of a request at the stop. */
function listActions({lines}: GateHarness, requestId: string) {
  return lines
    .map(line => JSON.parse(line) as Record<string, unknown>)
    .filter(
      ({event, requestId: id}) =>
        event === 'request_at_stop' && id === requestId,
    )
    .map(({action, place}) => `${action} in ${place}`);
}

describe('gate that stops while requests wait in it', () => {
  it('answers each stream that waits for a slot before the process ends', async () => {
    // Guards against waiting streams that are cut without an answer.
    await runBed(beginStream, async bed => {
      const held = await holdStreams(bed, ['q1', 'q2', 'q3']);
      await stopGate(bed);
      const answers = await Promise.all(held);
      expect(answers.map(({status}) => status)).toEqual([503, 503, 503]);
      expect(answers.every(({isWhole}) => isWhole)).toEqual(true);
      expect(bed.engine.received).toEqual(['holder']);
    });
  });

  it('answers a request whose body has not arrived before the process ends', async () => {
    // Guards against requests with an incomplete body that are cut.
    await runBed(beginStream, async bed => {
      const {harness} = bed;
      const answer = new Promise<string>(resolve => {
        let text = '';
        const socket = connect(harness.port, harness.host, () =>
          socket.write(
            'POST /stream/x HTTP/1.1\r\nHost: site\r\nx-test-key: k1\r\n' +
              'x-test-id: q1\r\nContent-Length: 100\r\n\r\nhalf',
          ),
        );
        socket.on('data', part => (text += String(part)));
        socket.on('error', () => undefined);
        socket.on('close', () => resolve(text));
      });
      await sleep(100);
      await stopGate(bed);
      expect((await answer).slice(9, 12)).toEqual('503');
    });
  });

  it('hands streams that cannot end in time back at once', async () => {
    // Guards against streams that wait in vain at a gate that is about to end.
    await runBed(beginStream, async bed => {
      const {harness} = bed;
      void callStream(harness, 'holder');
      await harness.waitUntil(() => bed.engine.received.includes('holder'));
      const held = callStream(harness, 'q1', {
        maxOutputTokens: LONG_OUTPUT_TOKENS,
      });
      await sleep(100);
      const stoppedAt = performance.now();
      const stopped = stopGate(bed);
      const {status, retryAfter} = await held;
      expect(status).toEqual(503);
      expect(Number(retryAfter) < PROMPT_MS / 1000).toEqual(true);
      expect(performance.now() - stoppedAt < PROMPT_MS).toEqual(true);
      await stopped;
    });
  });
});

describe('gate that has been told to stop', () => {
  it('refuses a new stream that cannot end in time without sending it', async () => {
    // Guards against streams that a stopping gate begins and cannot finish.
    await runBed(beginStream, async bed => {
      const stopped = stopGate(bed);
      const {status, ms} = await callStream(bed.harness, 'late', {
        maxOutputTokens: LONG_OUTPUT_TOKENS,
      });
      expect(status).toEqual(503);
      expect(ms < PROMPT_MS).toEqual(true);
      expect(bed.engine.received).toEqual([]);
      await stopped;
    });
  });

  it('serves a new stream that can end in time', async () => {
    // Guards against refusals of what the gate can still serve.
    const answerStream: TargetScript = (req, res) => {
      res.writeHead(200, buildSignedHead(req));
      res.end(formatEvents(1, 2));
    };
    await runBed(answerStream, async bed => {
      const stopped = stopGate(bed);
      const {status, isWhole} = await callStream(bed.harness, 'late', {
        maxOutputTokens: 100,
      });
      expect([status, isWhole]).toEqual([200, true]);
      await stopped;
    });
  });
});

describe('gate whose process is about to end', () => {
  for (const path of ['/unsafe/x', '/safe/x', '/stream/x'])
    it(`answers a request on ${path} that a target has not answered with an unknown outcome`, async () => {
      // Guards against requests at a target that are cut without an answer.
      await runBed(
        () => undefined,
        async bed => {
          const {harness} = bed;
          const options = {
            method: 'POST',
            deadlineMs: DEADLINE_MS,
            tokens: 1000,
          };
          const answer = harness.call(path, options);
          await sleep(100);
          await stopGate(bed);
          const {status, isWhole, body} = await answer;
          expect([status, isWhole]).toEqual([502, true]);
          expect(body.includes('outcome_unknown')).toEqual(true);
        },
      );
    });

  it('breaks a begun stream off, and not before the end of the grace period', async () => {
    // Guards against streams that are cut while their engine may still end them.
    // The engine begins its answer some time after it has got the request.
    const beginLater: TargetScript = (req, res) =>
      void setTimeout(() => beginStream(req, res), BEGIN_MS);
    await runBed(beginLater, async bed => {
      const {answer} = await openStream(bed.harness, 'q1');
      const stoppedAt = performance.now();
      const stopped = stopGate(bed);
      const {status, isWhole} = await answer;
      expect([status, isWhole]).toEqual([200, false]);
      expect(performance.now() - stoppedAt > GRACE_MS / 2).toEqual(true);
      await stopped;
      expect(listActions(bed.harness, 'q1')).toEqual([
        'kept in answer',
        'cut in answer',
      ]);
    });
  });

  it('finishes a whole answer whose caller reads slowly', async () => {
    // Guards against answers that are broken off although only their caller is slow.
    const body = Buffer.alloc(8 * 1024 * 1024, 'a');
    const answerLargely: TargetScript = (req, res) => {
      res.writeHead(200, {
        ...buildSignedHead(req),
        'content-length': String(body.length),
      });
      res.end(body);
    };
    await runBed(answerLargely, async bed => {
      const {harness} = bed;
      const received = new Promise<number>(resolve => {
        let bytes = 0;
        const socket = connect(harness.port, harness.host, () =>
          socket.write(
            'GET /safe/x HTTP/1.1\r\nHost: site\r\nx-test-key: k1\r\n' +
              `x-test-id: q1\r\nx-test-deadline: ${DEADLINE_MS}\r\n\r\n`,
          ),
        );
        socket.once('data', () => {
          socket.pause();
          setTimeout(() => socket.resume(), GRACE_MS * 0.8);
        });
        socket.on('data', part => (bytes += part.length));
        socket.on('error', () => undefined);
        socket.on('close', () => resolve(bytes));
      });
      await sleep(100);
      await stopGate(bed);
      expect((await received) > body.length).toEqual(true);
    });
  });

  it('logs where each request waited and what became of it', async () => {
    // Guards against requests of a stop that the log does not explain.
    await runBed(beginStream, async bed => {
      const [held] = await holdStreams(bed, ['q1']);
      await stopGate(bed);
      await held;
      expect(listActions(bed.harness, 'q1')).toEqual(['refused in queue']);
      expect(listActions(bed.harness, 'holder')).toEqual([
        'kept in answer',
        'cut in answer',
      ]);
    });
  });

  it('answers calls that end during the stop', async () => {
    // Guards against a stop that ends open calls too early.
    const answerLate: TargetScript = (req, res) =>
      void setTimeout(() => answerCompletely(req, res), GRACE_MS / 2);
    await runBed(answerLate, async bed => {
      const answer = bed.harness.call('/unsafe/x', {
        method: 'POST',
        deadlineMs: DEADLINE_MS,
      });
      await sleep(100);
      await stopGate(bed);
      expect((await answer).status).toEqual(200);
      expect(listActions(bed.harness, 'q1')).toEqual([
        'kept in target',
        'finished in caller',
      ]);
    });
  });
});

describe('gate that waits for slow callers before its process ends', () => {
  it('answers a request whose body has begun to arrive meanwhile', async () => {
    // Guards against requests that arrive after the others were ended and are cut.
    await runBed(beginStream, async bed => {
      const {harness} = bed;
      void callStream(harness, 'holder');
      await harness.waitUntil(() => bed.engine.received.includes('holder'));
      const opened = await new Promise<ReturnType<typeof connect>>(resolve => {
        const socket = connect(harness.port, harness.host, () =>
          resolve(socket),
        );
      });
      const answer = new Promise<string>(resolve => {
        let text = '';
        opened.on('data', part => (text += String(part)));
        opened.on('error', () => undefined);
        opened.on('close', () => resolve(text));
      });
      opened.write('POST /stream/x HTTP/1.1\r\nHost: site\r\n');
      const stopped = stopGate(bed);
      await sleep(GRACE_MS / 2 + 100);
      opened.write(
        'x-test-key: k1\r\nx-test-id: q1\r\nContent-Length: 9\r\n\r\n',
      );
      await stopped;
      expect((await answer).slice(9, 12)).toEqual('503');
    });
  });
});
