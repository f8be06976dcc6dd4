import {METHODS as HTTP_METHODS} from 'node:http';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {formatEvents} from '../test/fake-target.js';
import {openGateHarness} from '../test/gate-harness.js';
import {callOnWire} from '../test/wire-caller.js';
import {
  answerOnWire,
  buildWireHead,
  openWireTarget,
} from '../test/wire-target.js';
import type {GateHarness} from '../test/gate-harness.js';
import type {WireCall} from '../test/wire-caller.js';
import type {WireRequest, WireScript, WireTarget} from '../test/wire-target.js';

/**
 * Methods that the parser of this Node.js knows. A server doesn't get CONNECT as a
 * request; the gate refuses it, as it does other methods.
 */
const METHODS = HTTP_METHODS.filter(method => method !== 'CONNECT');

/** Number of methods that are sent at once. */
const BATCH_SIZE = 5;

const BODY = '{"lines":1}';

/** Body that is a request by itself. */
const REQUEST_BODY =
  'POST /unsafe/smuggled HTTP/1.1\r\nHost: site\r\nx-test-id: s1\r\n\r\n';

type BodyForm = Pick<WireCall, 'framing' | 'body' | 'fields'>;

const FORMS: Readonly<Record<string, BodyForm>> = {
  'no body': {framing: 'none', body: ''},
  'an empty body with a length': {framing: 'length', body: ''},
  'an empty body in chunks': {framing: 'chunked', body: ''},
  'a body with a length': {framing: 'length', body: BODY},
  'a body in chunks': {framing: 'chunked', body: BODY},
  'a length that Connection lists': {
    framing: 'length',
    body: BODY,
    fields: ['Connection: close, content-length'],
  },
  'chunks that Connection lists': {
    framing: 'chunked',
    body: BODY,
    fields: ['Connection: close, transfer-encoding'],
  },
  'a body that is a request, with a length': {
    framing: 'length',
    body: REQUEST_BODY,
  },
  'a body that is a request, in chunks': {
    framing: 'chunked',
    body: REQUEST_BODY,
  },
};

interface Bed {
  readonly harness: GateHarness;
  /** Starts a target; publishes it in the store. */
  readonly addTarget: (
    id: string,
    service: string,
    script: WireScript,
  ) => Promise<WireTarget>;
  /** All requests that targets got, in order. */
  readonly listRequests: () => readonly WireRequest[];
  /** Sends a request to the gate; resolves with the answer. */
  readonly call: (call: Omit<WireCall, 'id'>) => Promise<string>;
}

function isListed({lines}: GateHarness, count: number): boolean {
  return lines.filter(line => line.includes('"target_added"')).length === count;
}

async function runBed(test: (bed: Bed) => Promise<void>): Promise<void> {
  const harness = await openGateHarness();
  const targets: WireTarget[] = [];
  const requests: WireRequest[] = [];
  let calls = 0;
  try {
    await test({
      harness,
      addTarget: async (id, service, script) => {
        const target = await openWireTarget(id, service, (request, socket) => {
          requests.push(request);
          script(request, socket);
        });
        targets.push(target);
        harness.store.publishTarget(target.entry);
        await harness.waitUntil(() => isListed(harness, targets.length));
        return target;
      },
      listRequests: () => requests,
      call: call =>
        callOnWire(
          {host: harness.host, port: harness.port},
          {...call, id: `q${++calls}`},
        ),
    });
  } finally {
    harness.close();
    for (const target of targets) target.close();
  }
}

/** Picks what must reach a target as the caller sent it. */
function pickSent({method, path, framing, body}: Omit<WireCall, 'id'>) {
  return {method, path, framing, body, rest: ''};
}

function pickReceived({method, path, framing, body, rest}: WireRequest) {
  return {method, path, framing, body, rest};
}

/** Answers the first request by `first`, later ones completely. */
function answerFirst(first: WireScript, later: WireScript): WireScript {
  let count = 0;
  return (request, socket) =>
    count++ === 0 ? first(request, socket) : later(request, socket);
}

/** Sends one event of a stream and breaks it off. */
const stopStream: WireScript = (request, socket) => {
  const head = buildWireHead(request, ['Content-Type: text/event-stream']);
  socket.write(head + formatEvents(1, 1));
  setTimeout(() => socket.resetAndDestroy(), 50);
};

const sendStream: WireScript = (request, socket) => {
  const events = formatEvents(2, 3);
  const head = buildWireHead(request, [
    'Content-Type: text/event-stream',
    `Content-Length: ${events.length}`,
  ]);
  socket.end(head + events);
};

const answerNotRun: WireScript = (request, socket) => {
  const fields = ['x-test-not-run: 1', 'Content-Length: 0'];
  socket.end(buildWireHead(request, fields, '503 Busy'));
};

/** Gets a request and never answers it. */
const holdAnswer: WireScript = () => undefined;

describe('framing of request bodies', () => {
  for (const route of ['unsafe', 'safe', 'stream'])
    for (const [name, form] of Object.entries(FORMS))
      it(`keeps ${name} with every method on the route ${route}`, () =>
        // Guards against a body without framing, which a target takes for no
        // body, or for another request.
        runBed(async ({addTarget, listRequests, call}) => {
          const service = route === 'stream' ? 'chat' : 'orders';
          await addTarget('t1', service, answerOnWire);
          const calls = METHODS.map(method => ({
            method,
            path: `/${route}/x?a=1`,
            ...form,
          }));
          for (let i = 0; i < calls.length; i += BATCH_SIZE)
            await Promise.all(calls.slice(i, i + BATCH_SIZE).map(call));
          const received = listRequests().map(pickReceived);
          const byMethod = (method: string) => METHODS.indexOf(method);
          received.sort((a, b) => byMethod(a.method) - byMethod(b.method));
          expect(received).toEqual(calls.map(pickSent));
        }));
});

describe('framing of request bodies that are sent again', () => {
  for (const [name, form] of Object.entries(FORMS)) {
    const runTwice = async (
      path: string,
      service: string,
      first: WireScript,
      later: WireScript,
    ) =>
      runBed(async ({addTarget, listRequests, call}) => {
        const script = answerFirst(first, later);
        await addTarget('t1', service, script);
        await addTarget('t2', service, script);
        const sent = {method: 'DELETE', path, ...form};
        await call(sent);
        const expected = pickSent(sent);
        expect(listRequests().map(pickReceived)).toEqual([expected, expected]);
      });

    it(`keeps ${name} in a retry of a call that was not run`, () =>
      // Guards against a retry that loses the body.
      runTwice('/unsafe2/x', 'orders', answerNotRun, answerOnWire));

    it(`keeps ${name} in a hedge of a slow call`, () =>
      // Guards against a hedge that loses the body.
      runTwice('/safe/x', 'orders', holdAnswer, answerOnWire));

    it(`keeps ${name} in a stream that another engine resumes`, () =>
      // Guards against a resumed stream whose engine gets no body.
      runTwice('/stream/x', 'chat', stopStream, sendStream));

    it(`keeps ${name} in a backup of a silent stream`, () =>
      // Guards against a backup whose engine gets no body.
      runTwice('/stream/x', 'chat', holdAnswer, sendStream));
  }
});
