import {afterEach, beforeEach, describe, it} from 'node:test';
import {EngineTarget, PlainTarget} from '@nutmeggauge/agent';
import {expect} from 'earl';
import {UnframedServer, buildUnframed} from '../test/unframed-server.js';
import type {DispatchOutcome, DispatchRequest} from '@nutmeggauge/core';
import type {UnframedAnswer} from '../test/unframed-server.js';

/** Bodies of calls, whose parts may be valid JSON too. */
const BODIES = ['{"id":12}', '[1,2]', '"a"', 'true', 'null', '1234'];
const SECOND_BODY = '{"id":99}';

const TOKEN = 'event: token\ndata: {"seq":0,"text":"a"}\n\n';
const DONE = 'event: done\ndata: {"tokens":1,"cachedTokens":0}\n\n';
const STREAM = TOKEN + DONE;

/** Longer, so that its later tokens go on where the first answer ends. */
const SECOND_STREAM =
  'data: {"seq":0,"text":"x"}\n\ndata: {"seq":1,"text":"y"}\n\n' +
  'event: done\ndata: {"tokens":2,"cachedTokens":0}\n\n';

const FIELDS = ['Content-Type: text/event-stream'];
const OTHER_FIELDS = [...FIELDS, 'X-Request-Id: r2'];

const REQUEST: DispatchRequest = {
  requestId: 'r1',
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

/** Lists all parts of an answer that begin where it begins. */
function listParts(text: string): string[] {
  return Array.from({length: text.length}, (_, i) => text.slice(0, i));
}

describe('answer of a target without a length', () => {
  let server: UnframedServer;
  let url: string;
  beforeEach(async () => {
    server = new UnframedServer();
    url = `http://127.0.0.1:${await server.start()}`;
  });
  afterEach(() => server.stop());

  function runCall(answer: UnframedAnswer): Promise<DispatchOutcome> {
    server.answer = answer;
    return new PlainTarget(url).run(
      REQUEST,
      () => undefined,
      new AbortController().signal,
    );
  }

  async function runStream(answer: UnframedAnswer) {
    server.answer = answer;
    const texts: string[] = [];
    const {status} = await new EngineTarget(url).run(
      REQUEST,
      (_, text) => texts.push(text),
      new AbortController().signal,
    );
    return {status, text: texts.join('')};
  }

  for (const body of BODIES) {
    it(`is no other body for a call of ${body} that is reset at once`, async () => {
      // Guards against a part of a body that is taken for all of it.
      for (const part of [...listParts(body), body]) {
        const parts = [buildUnframed(part)];
        const outcome = await runCall({parts, end: 'RST'});
        if (outcome.status === 'done')
          expect(outcome.body).toEqual(JSON.parse(body));
        else expect(outcome.status).toEqual('unknown');
      }
    });

    it(`is not mixed for a call of ${body} that is answered again`, async () => {
      // Guards against two answers that are read as one.
      const second = buildUnframed(SECOND_BODY, ['X-Request-Id: r2']);
      const answers = [
        ...[...listParts(body), body].map(part => [
          buildUnframed(part) + second,
        ]),
        [buildUnframed(body), second],
      ];
      for (const parts of answers)
        expect((await runCall({parts, end: 'FIN'})).status).toEqual('unknown');
    });
  }

  it('is a whole stream only with its last event when it is reset at once', async () => {
    // Guards against a part of a stream that is taken for all of it.
    for (const part of listParts(STREAM)) {
      const parts = [buildUnframed(part, FIELDS)];
      const {status} = await runStream({parts, end: 'RST'});
      expect([part, status]).toEqual([part, 'unknown']);
    }
  });

  for (const [how, second] of [
    ['at once', buildUnframed(SECOND_STREAM, OTHER_FIELDS)],
    ['with line feeds', `HTTP/1.1 200 OK\nX-A: 1\n\n${SECOND_STREAM}`],
    ['without a field', `HTTP/1.1 200 OK\n\n${SECOND_STREAM}`],
  ])
    it(`is not mixed for a stream that is answered again ${how}`, async () => {
      // Guards against tokens of a second answer that go on with the first.
      const wrong: unknown[] = [];
      for (const part of listParts(STREAM)) {
        const parts = [buildUnframed(part, FIELDS) + second];
        const {status, text} = await runStream({parts, end: 'FIN'});
        if (status !== 'unknown' || /[xy]/.test(text)) wrong.push([part, text]);
      }
      expect(wrong).toEqual([]);
    });

  it('is not mixed for a stream that is answered again later', async () => {
    // Guards against tokens of a second answer that go on with the first.
    const wrong: unknown[] = [];
    for (const part of ['', 'event: tok', 'event: token\n', TOKEN]) {
      const second = buildUnframed(SECOND_STREAM, OTHER_FIELDS);
      const parts = [buildUnframed(part, FIELDS), second];
      const {status, text} = await runStream({parts, end: 'FIN'});
      if (status !== 'unknown' || /[xy]/.test(text)) wrong.push([part, text]);
    }
    expect(wrong).toEqual([]);
  });

  it('is the first stream when it is whole, whatever follows', async () => {
    const second = buildUnframed(SECOND_STREAM, OTHER_FIELDS);
    for (const parts of [
      [buildUnframed(STREAM, FIELDS) + second],
      [buildUnframed(STREAM, FIELDS), second],
    ])
      expect(await runStream({parts, end: 'FIN'})).toEqual({
        status: 'done',
        text: 'a',
      });
  });

  it('is a whole stream when a text contains a status line', async () => {
    // Guards against a sound stream that is taken for two answers.
    const text = 'HTTP/1.1 200 OK\r\n\r\n';
    const token = `data: ${JSON.stringify({seq: 0, text})}\n\n`;
    const parts = [buildUnframed(token + DONE, FIELDS)];
    expect(await runStream({parts, end: 'FIN'})).toEqual({
      status: 'done',
      text,
    });
  });
});
