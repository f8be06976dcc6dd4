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
import type {Socket} from 'node:net';
import type {GateHarness} from '../test/gate-harness.js';
import type {WireRequest, WireScript, WireTarget} from '../test/wire-target.js';

const MIB = 1024 * 1024;

const EVENT_STREAM = 'Content-Type: text/event-stream';
const CHUNKED = 'Transfer-Encoding: chunked';

/** Answer that is larger than what is held. */
const LARGE_BODY = 'abcdefgh'.repeat(MIB);

/** Writes `text` until the connection closes. */
function writeForever(socket: Socket, text: string): void {
  const timer = setInterval(() => {
    if (!socket.writableNeedDrain) socket.write(text);
  }, 1);
  socket.once('close', () => clearInterval(timer));
}

/** Begins an answer with `start`, and goes on without end. */
function sendForever(
  buildStart: (request: WireRequest) => string,
  repeated = 'a'.repeat(65_536),
): WireScript {
  return (request, socket) => {
    socket.write(buildStart(request));
    writeForever(socket, repeated);
  };
}

const sendError: WireScript = sendForever(request =>
  buildWireHead(request, [], '500 Failed'),
);

const sendEvents: WireScript = (request, socket) => {
  const after = Number(request.headers['x-test-after'] ?? 0);
  socket.end(
    buildWireHead(request, [EVENT_STREAM]) + formatEvents(after + 1, 3),
  );
};

interface Bed {
  readonly harness: GateHarness;
  readonly targets: readonly WireTarget[];
  /** Target that got the first request. */
  readonly findFirst: () => string;
  readonly call: (path: string, waitMs?: number) => Promise<string>;
  /** Bounds that the log names for a target. */
  readonly listBounds: (target: string) => readonly string[];
}

/** Runs a test with targets whose first request the first script answers. */
async function runBed(
  service: string,
  [first, later]: readonly [WireScript, WireScript],
  test: (bed: Bed) => Promise<void>,
): Promise<void> {
  const harness = await openGateHarness();
  const targets: WireTarget[] = [];
  let firstTarget = '';
  try {
    for (const id of ['t1', 't2']) {
      const target = await openWireTarget(id, service, (request, socket) => {
        const script = firstTarget === '' ? first : later;
        firstTarget ||= id;
        script(request, socket);
      });
      targets.push(target);
      harness.store.publishTarget(target.entry);
    }
    await harness.waitUntil(
      () =>
        harness.lines.filter(line => line.includes('"target_added"')).length ===
        targets.length,
    );
    const {host, port} = harness;
    await test({
      harness,
      targets,
      findFirst: () => firstTarget,
      call: (path, waitMs) =>
        callOnWire(
          {host, port},
          {method: 'GET', path, id: 'q1', framing: 'none', body: ''},
          waitMs,
        ),
      listBounds: target =>
        harness.lines
          .map(line => JSON.parse(line) as Record<string, unknown>)
          .filter(line => line.event === 'answer_oversized')
          .filter(line => line.target === target)
          .map(line => String(line.bound)),
    });
    await harness.waitUntil(
      async () => (await harness.readGauge('answer_bytes_held')) === 0,
    );
  } finally {
    harness.close();
    for (const target of targets) target.close();
  }
}

describe('answers without end', () => {
  const startEvent = (request: WireRequest) =>
    `${buildWireHead(request, [EVENT_STREAM])}${formatEvents(1, 1)}data: `;

  it('lets another engine resume a stream whose event passes its bound', () =>
    // Guards against a gate that holds an event until its memory is spent.
    runBed(
      'chat',
      [sendForever(startEvent), sendEvents],
      async ({call, findFirst, listBounds, harness}) => {
        const answer = await call('/stream/x');
        for (const id of [1, 2, 3])
          expect(answer.split(`data: piece-${id}\n\n`).length).toEqual(2);
        expect(answer.endsWith('0\r\n\r\n')).toEqual(true);
        const first = findFirst();
        expect(listBounds(first)).toEqual(['event']);
        const counters = harness.gate['context'].counters.read();
        expect(counters['answer.oversized.event']).toEqual(1);
        const {health} = harness.gate['context'];
        expect(health.readFailureShare(first) > 0).toEqual(true);
      },
    ));

  it('lets another target answer a call whose error passes its bound', () =>
    // Guards against an error that is held until the memory is spent.
    runBed(
      'orders',
      [sendError, answerOnWire],
      async ({call, findFirst, listBounds}) => {
        const answer = await call('/safe/x');
        expect(answer.startsWith('HTTP/1.1 200')).toEqual(true);
        expect(answer.endsWith('whole')).toEqual(true);
        expect(listBounds(findFirst())).toEqual(['error-body']);
      },
    ));

  it('answers another engine after an error that passes its bound', () =>
    // Guards against an error of an engine that is held without a bound.
    runBed(
      'chat',
      [sendError, sendEvents],
      async ({call, findFirst, listBounds}) => {
        const answer = await call('/stream/x');
        expect(answer.includes('data: piece-3')).toEqual(true);
        expect(listBounds(findFirst())).toEqual(['error-body']);
      },
    ));

  it('lets another target answer a call whose chunks have one byte each', () =>
    // Guards against chunks that take all of a gate's processor time.
    runBed(
      'orders',
      [
        sendForever(
          request => buildWireHead(request, [CHUNKED], '500 Failed'),
          '1\r\na\r\n'.repeat(10_000),
        ),
        answerOnWire,
      ],
      async ({call, findFirst, listBounds}) => {
        expect((await call('/safe/x')).endsWith('whole')).toEqual(true);
        expect(listBounds(findFirst())).toEqual(['framing']);
      },
    ));

  it('lets another target answer a call after interim heads without end', () =>
    // Guards against a target that keeps a call waiting by interim heads.
    runBed(
      'orders',
      [
        sendForever(() => '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100)),
        answerOnWire,
      ],
      async ({call, findFirst, listBounds}) => {
        expect((await call('/safe/x')).endsWith('whole')).toEqual(true);
        expect(listBounds(findFirst())).toEqual(['interim-heads']);
      },
    ));
});

describe('large answers', () => {
  const forms: ReadonlyArray<readonly [string, WireScript]> = [
    [
      'with a length',
      (request, socket) => {
        const length = `Content-Length: ${LARGE_BODY.length}`;
        socket.end(buildWireHead(request, [length]) + LARGE_BODY);
      },
    ],
    [
      'in chunks',
      (request, socket) => {
        const size = LARGE_BODY.length.toString(16);
        socket.end(
          `${buildWireHead(request, [CHUNKED])}${size}\r\n${LARGE_BODY}\r\n0\r\n\r\n`,
        );
      },
    ],
    [
      'that end with their connection',
      (request, socket) => {
        socket.end(buildWireHead(request) + LARGE_BODY);
      },
    ],
  ];
  for (const [name, script] of forms)
    for (const path of ['/unsafe/x', '/safe/x'])
      it(`${name} reach the caller of ${path} whole`, () =>
        // Guards against a bound that breaks off an answer that does end.
        runBed('orders', [script, script], async ({call, targets}) => {
          const answer = await call(path);
          expect(answer.startsWith('HTTP/1.1 200')).toEqual(true);
          const [, body] = answer.split(/\r\n\r\n(.*)/s);
          const isChunked = /\r\ntransfer-encoding: chunked\r\n/i.test(answer);
          const whole = isChunked ? parseChunks(body) : body;
          expect(whole === LARGE_BODY).toEqual(true);
          const runs = targets.flatMap(({requests}) => requests);
          expect(runs.length).toEqual(1);
        }));

  it('that are broken off do not look whole', () =>
    // Guards against a part of an answer that its caller takes for all of it.
    runBed(
      'orders',
      [
        (request, socket) => {
          socket.write(buildWireHead(request, [CHUNKED]));
          const size = LARGE_BODY.length.toString(16);
          socket.write(`${size}\r\n${LARGE_BODY.slice(MIB)}`, () =>
            socket.resetAndDestroy(),
          );
        },
        answerOnWire,
      ],
      async ({call, targets}) => {
        const answer = await call('/unsafe/x');
        expect(answer.startsWith('HTTP/1.1 200')).toEqual(true);
        expect(answer.endsWith('0\r\n\r\n')).toEqual(false);
        const runs = targets.flatMap(({requests}) => requests);
        expect(runs.length).toEqual(1);
      },
    ));
});

describe('callers that read slowly', () => {
  it('get a whole stream, of which no other engine is asked for a part', () =>
    // Guards against a stream that is held for its caller without a bound, and
    // against an engine that is taken for silent while nothing is read of it.
    runBed(
      'chat',
      [
        (request, socket) => {
          socket.write(buildWireHead(request, [EVENT_STREAM]));
          const events = `data: ${'a'.repeat(1000)}\n\n`.repeat(1000);
          for (let i = 0; i < 16; i++) socket.write(events);
          socket.end(formatEvents(1, 1));
        },
        sendEvents,
      ],
      async ({call, targets}) => {
        const answer = await call('/stream/x', 2000);
        expect(answer.includes('data: piece-1\n\n')).toEqual(true);
        expect(answer.endsWith('0\r\n\r\n')).toEqual(true);
        expect(answer.length > 16_000_000).toEqual(true);
        const runs = targets.flatMap(({requests}) => requests);
        expect(runs.length).toEqual(1);
      },
    ));

  it('get a whole stream of which little arrives at a time', () =>
    // Guards against a wait for a caller that goes on after it has read all.
    runBed(
      'chat',
      [
        (request, socket) => {
          socket.write(buildWireHead(request, [EVENT_STREAM]));
          const event = `data: ${'a'.repeat(8000)}\n\n`;
          let left = 1500;
          const sendNext = () => {
            if (left-- === 0) return void socket.end(formatEvents(1, 1));
            socket.write(event);
            setTimeout(sendNext, 1);
          };
          sendNext();
        },
        sendEvents,
      ],
      async ({call}) => {
        const answer = await call('/stream/x', 3000);
        expect(answer.includes('data: piece-1\n\n')).toEqual(true);
        expect(answer.endsWith('0\r\n\r\n')).toEqual(true);
      },
    ));
});

/** Joins the chunks of a body. */
function parseChunks(text: string): string {
  const chunks: string[] = [];
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at);
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    if (!(size > 0)) return chunks.join('');
    chunks.push(text.slice(lineEnd + 2, lineEnd + 2 + size));
    at = lineEnd + 2 + size + 2;
  }
}
