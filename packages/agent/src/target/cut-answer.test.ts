import {createServer} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {openListener} from '@nutmeggauge/core';
import {expect} from 'earl';
import {EngineTarget} from './engine-target.js';
import {PlainTarget} from './plain-target.js';
import type {Server, Socket} from 'node:net';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';

/** Runs under way at once. */
const CONCURRENCY = 32;

/** Time between the last byte of an answer and a reset, in ms. */
const RESET_WAIT_MS = 5;

/** Time until a run counts as hanging, in ms. */
const HANG_MS = 3000;

/** Bodies of calls; each part of the number is valid JSON. */
const BODIES = {'a number': '12345678', 'an object': '{"id":12345}'};
const EVENTS =
  'event: token\ndata: {"seq":0,"text":" a"}\n\n' +
  'event: done\ndata: {"tokens":1,"cachedTokens":0}\n\n';

type End = 'FIN' | 'RST';

interface Cut {
  readonly text: string;
  readonly end: End;
}

interface Form {
  readonly name: string;
  readonly head: string;
  readonly frame: (body: string) => string;
  /** Whether the end of the connection is that of the body. */
  readonly isUnframed?: boolean;
}

const formatChunks = (body: string) =>
  `${(3).toString(16)}\r\n${body.slice(0, 3)}\r\n${(body.length - 3).toString(16)}\r\n${body.slice(3)}\r\n0\r\n\r\n`;
const giveBody = (body: string) => body;
const OK = 'HTTP/1.1 200 OK\r\n';

function listForms(length: number): readonly Form[] {
  const sized = `Content-Length: ${length}\r\n\r\n`;
  const chunked = 'Transfer-Encoding: chunked\r\n\r\n';
  const closing = 'Connection: close\r\n';
  const hints = 'HTTP/1.1 103 Early Hints\r\nx-a: 1\r\n\r\n';
  return [
    {name: 'a length', head: OK + sized, frame: giveBody},
    {name: 'a length, closing', head: OK + closing + sized, frame: giveBody},
    {name: 'chunks', head: OK + chunked, frame: formatChunks},
    {
      name: 'chunks, closing',
      head: OK + closing + chunked,
      frame: formatChunks,
    },
    {name: '103 before a length', head: hints + OK + sized, frame: giveBody},
    {
      name: '103 before chunks, closing',
      head: hints + OK + closing + chunked,
      frame: formatChunks,
    },
    {
      name: 'HTTP/1.0 with a length',
      head: `HTTP/1.0 200 OK\r\n${sized}`,
      frame: giveBody,
    },
    {
      name: 'neither',
      head: `${OK}x-a: 1\r\n\r\n`,
      frame: giveBody,
      isUnframed: true,
    },
    {
      name: 'neither, closing',
      head: `${OK}${closing}\r\n`,
      frame: giveBody,
      isUnframed: true,
    },
  ];
}

/** Lists all cuts of an answer. */
function listCuts({head, frame}: Form, body: string): Cut[] {
  const text = head + frame(body);
  return (['FIN', 'RST'] as const).flatMap(end =>
    Array.from({length: text.length}, (_, i) => ({
      text: text.slice(0, i),
      end,
    })),
  );
}

function buildRequest(requestId: string): DispatchRequest {
  return {
    requestId,
    account: 'a',
    pool: 'chat',
    kind: 'generate',
    prompt: 'p',
    op: 'read',
    args: {},
    deadlineAt: Date.now() + 60_000,
    notRepeatable: true,
    keyed: false,
    recordVersion: 1,
    attempt: 1,
  };
}

describe('target whose answer is cut', () => {
  const cuts = new Map<string, Cut>();
  let server: Server;
  let url = '';
  before(async () => {
    server = createServer(answer);
    const port = await openListener(server, {host: '127.0.0.1', port: 0});
    url = `http://127.0.0.1:${port}`;
  });
  after(() => server.close());

  function answer(socket: Socket): void {
    socket.on('error', () => undefined);
    let received = '';
    const receive = (part: Buffer) => {
      received += String(part);
      const id = /"requestId":"(r\d+)"/.exec(received)?.[1];
      const cut = id === undefined ? undefined : cuts.get(id);
      if (cut === undefined) return;
      socket.off('data', receive);
      socket.resume();
      if (cut.end === 'FIN') return void socket.end(cut.text);
      socket.write(cut.text);
      setTimeout(() => socket.resetAndDestroy(), RESET_WAIT_MS);
    };
    socket.on('data', receive);
  }

  async function run(
    createTarget: () => EngineTarget | PlainTarget,
    cut: Cut,
  ): Promise<DispatchOutcome | 'hangs'> {
    const id = `r${cuts.size + 1}`;
    cuts.set(id, cut);
    const abort = new AbortController();
    let timer: NodeJS.Timeout | undefined;
    const hang = new Promise<'hangs'>(resolve => {
      timer = setTimeout(() => resolve('hangs'), HANG_MS);
    });
    const ran = createTarget().run(
      buildRequest(id),
      () => undefined,
      abort.signal,
    );
    const outcome = await Promise.race([ran, hang]);
    clearTimeout(timer);
    abort.abort();
    return outcome;
  }

  /** Lists the cuts after which the outcome is not `unknown`. */
  async function listWrong(
    createTarget: () => EngineTarget | PlainTarget,
    left: Cut[],
  ) {
    const wrong: unknown[] = [];
    const runNext = async () => {
      for (let cut = left.pop(); cut !== undefined; cut = left.pop()) {
        const outcome = await run(createTarget, cut);
        if (outcome === 'hangs' || outcome.status !== 'unknown')
          wrong.push([cut, outcome]);
      }
    };
    await Promise.all(Array.from({length: CONCURRENCY}, runNext));
    return wrong;
  }

  for (const [name, body] of Object.entries(BODIES))
    for (const form of listForms(body.length))
      it(`has an unknown outcome for a call of ${name} with ${form.name}`, async () => {
        // Guards against a part of an answer that is taken for a whole one.
        const wrong = await listWrong(
          () => new PlainTarget(url),
          listCuts(form, body),
        );
        expect(wrong).toEqual([]);
        const whole = {text: form.head + form.frame(body), end: 'FIN'} as const;
        const outcome = await run(() => new PlainTarget(url), whole);
        const isShown = form.isUnframed !== true || name !== 'a number';
        expect(outcome === 'hangs' ? outcome : outcome.status).toEqual(
          isShown ? 'done' : 'unknown',
        );
        const answered = isShown ? (JSON.parse(body) as unknown) : undefined;
        expect((outcome as {readonly body?: unknown}).body).toEqual(answered);
      });

  for (const form of listForms(EVENTS.length))
    it(`has an unknown outcome for a stream with ${form.name}`, async () => {
      // Guards against a part of a stream that is taken for a whole one.
      // The event that ends a stream shows that it is whole.
      const end = form.head + form.frame(EVENTS);
      const isShort = ({text}: Cut) => !text.includes('"cachedTokens":0}\n\n');
      const wrong = await listWrong(
        () => new EngineTarget(url),
        listCuts(form, EVENTS).filter(isShort),
      );
      expect(wrong).toEqual([]);
      const outcome = await run(() => new EngineTarget(url), {
        text: end,
        end: 'FIN',
      });
      expect(outcome).toEqual({
        status: 'done',
        chunks: 1,
        tokens: 1,
        cachedTokens: 0,
      });
    });
});
