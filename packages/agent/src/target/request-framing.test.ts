import {createServer} from 'node:net';
import {describe, it} from 'node:test';
import {openListener} from '@nutmeggauge/core';
import {expect} from 'earl';
import {EngineTarget} from './engine-target.js';
import {PlainTarget} from './plain-target.js';
import type {DispatchRequest} from '@nutmeggauge/core';
import type {TargetClient} from './target.js';

/** Time for which bytes after a request are awaited, in ms. */
const REST_WAIT_MS = 50;

const REQUEST: DispatchRequest = {
  requestId: 'r1',
  account: 'a',
  pool: 'chat',
  kind: 'generate',
  prompt: 'GET / HTTP/1.1\r\n\r\n',
  op: 'cancel',
  args: {text: 'naïve'},
  deadlineAt: Date.now() + 60_000,
  notRepeatable: true,
  keyed: false,
  recordVersion: 1,
  attempt: 1,
};

/** Returns all bytes that a request puts on its connection. */
async function readSentBytes(
  createTarget: (url: string) => TargetClient,
): Promise<string> {
  let text = '';
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', part => (text += part.toString('latin1')));
    socket.once('data', () => setTimeout(() => socket.destroy(), REST_WAIT_MS));
  });
  const port = await openListener(server, {host: '127.0.0.1', port: 0});
  const target = createTarget(`http://127.0.0.1:${port}`);
  await target.run(REQUEST, () => undefined, new AbortController().signal);
  server.close();
  return text;
}

describe('requests of an agent to its target', () => {
  for (const [name, createTarget] of [
    ['engine', (url: string) => new EngineTarget(url)],
    ['plain service', (url: string) => new PlainTarget(url)],
  ] as const)
    it(`give the length of the body to an ${name}`, async () => {
      // Guards against a body whose end the target cannot find.
      const [head, body] = (await readSentBytes(createTarget)).split(
        /\r\n\r\n(.*)/s,
      );
      const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
      expect(length).toEqual(String(body.length));
      expect(/\r\ntransfer-encoding:/i.test(head)).toEqual(false);
    });
});
