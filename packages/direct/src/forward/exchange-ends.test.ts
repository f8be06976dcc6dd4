import {connect, createServer} from 'node:net';
import {describe, it} from 'node:test';
import {openListener, waitMs} from '@nutmeggauge/core';
import {expect} from 'earl';
import {buildListeningTarget} from '../test/build-target.js';
import {buildCallBody, openEndingTargets} from '../test/ending-targets.js';
import {openGateHarness} from '../test/gate-harness.js';
import {formatCall} from '../test/wire-caller.js';
import {buildWireHead, openWireTarget} from '../test/wire-target.js';
import {openExchange} from './exchange.js';
import type {Socket} from 'node:net';
import type {ExchangeError} from '../errors.js';
import type {GateHarness} from '../test/gate-harness.js';
import type {ExchangeOptions} from './exchange-options.js';

const RUNS = 10;

/** More than the kernel takes of a request that its peer does not read. */
const UNREAD_BYTES = 16 * 1024 * 1024;

const ANSWER = 'HTTP/1.1 200 OK\r\n\r\nabc';

/** Part of an answer that is larger than what a gate holds. */
const PART = 'a'.repeat(2 * 1024 * 1024);

/** Time in which a target gets what was sent to it, in ms. */
const SEND_MS = 30;

type Outcome = 'whole' | 'unsent' | 'cut';

/** Sends a request to a target that reads nothing; returns what became of it. */
async function runExchange(
  handle: (socket: Socket) => void,
  options: Pick<ExchangeOptions, 'body' | 'sendCheck'>,
): Promise<Outcome> {
  const accepted = new Set<Socket>();
  const server = createServer({pauseOnConnect: true}, socket => {
    accepted.add(socket);
    socket.on('error', () => undefined);
    handle(socket);
  });
  await openListener(server, {host: '127.0.0.1', port: 0});
  const exchange = openExchange({
    ...options,
    target: buildListeningTarget('t1', 'orders', server),
    method: 'POST',
    path: '/',
    buildHeaders: () => ['host', 'site'],
  });
  try {
    const head = await exchange.head;
    let text = '';
    for await (const part of exchange.readBody(head)) text += String(part);
    expect(text).toEqual('abc');
    return 'whole';
  } catch (error) {
    return (error as ExchangeError).wasSent ? 'cut' : 'unsent';
  } finally {
    exchange.cancel();
    for (const socket of accepted) socket.destroy();
    server.close();
  }
}

async function countOutcomes(
  ...args: Parameters<typeof runExchange>
): Promise<Readonly<Record<string, number>>> {
  const counts: Record<string, number> = {};
  for (let i = 0; i < RUNS; i++) {
    const outcome = await runExchange(...args);
    counts[outcome] = (counts[outcome] ?? 0) + 1;
  }
  return counts;
}

describe('exchange whose target reads nothing', () => {
  const large = Buffer.alloc(UNREAD_BYTES, 'a');
  const body = {bytes: large, framing: 'length'} as const;

  it('is cut if the target resets while bytes of the request wait', async () => {
    // Guards against a reset that is not seen because the write behind it is dropped.
    const reset = (socket: Socket) =>
      void setTimeout(() => {
        socket.write(ANSWER);
        socket.resetAndDestroy();
      }, SEND_MS);
    expect(await countOutcomes(reset, {body})).toEqual({cut: RUNS});
  });

  it('is whole if the target ends its side while bytes of the request wait', async () => {
    const close = (socket: Socket) =>
      void setTimeout(() => socket.end(ANSWER), SEND_MS);
    expect(await countOutcomes(close, {body})).toEqual({whole: RUNS});
  });

  it('is not sent if the target closes before a late request', async () => {
    // Guards against a request that hangs, and counts as sent, on a half-open connection.
    const none = {bytes: Buffer.alloc(0), framing: 'none'} as const;
    const sendCheck = {
      isLate: true,
      waitForReads: () => waitMs(SEND_MS),
      isWanted: () => true,
    };
    for (const end of [
      (socket: Socket) => void socket.end(),
      (socket: Socket) => void socket.destroy(),
    ])
      expect(await countOutcomes(end, {body: none, sendCheck})).toEqual({
        unsent: RUNS,
      });
  });
});

describe('answer with a transfer coding other than chunks', () => {
  const sent = buildCallBody(3000);
  const body = {...sent, fields: ['Transfer-Encoding: identity']};
  const call = {path: '/safe/x', method: 'GET'};

  it('is not whole if it is reset, cut or followed by another', async () => {
    // Guards against a length on bytes whose end only the connection marks.
    for (const ending of ['reset', 'twice', 'other-late'] as const) {
      const targets = await openEndingTargets({
        service: 'orders',
        body,
        endings: [ending],
      });
      const answers = await targets.askAll(RUNS, call);
      targets.close();
      for (const {status, isWhole} of answers)
        expect(isWhole && status === 200).toEqual(false);
    }
  });

  it('says no more of its end to callers than the server did', async () => {
    const targets = await openEndingTargets({
      service: 'orders',
      body,
      endings: ['cut'],
    });
    const answers = await targets.askAll(RUNS, call);
    targets.close();
    for (const {isFramed} of answers) expect(isFramed).toEqual(false);
  });
});

describe('large answer without a length or chunks', () => {
  for (const version of ['1.0', '1.1'] as const)
    it(`does not look whole to a caller of HTTP/${version} that closes its side`, async () => {
      // Guards against a part that ends with a close, as Node.js answers one.
      const harness = await openGateHarness();
      const target = await openWireTarget('t1', 'orders', (request, socket) => {
        socket.write(buildWireHead(request) + PART);
      });
      harness.store.publishTarget(target.entry);
      await harness.waitUntil(
        async () => (await harness.readGauge('targets_known')) === 1,
      );
      try {
        for (let i = 0; i < RUNS; i++)
          expect(await readPart(harness, version)).toEqual('reset');
      } finally {
        harness.close();
        target.close();
      }
    });
});

/** Closes its side once a caller has got a part of an answer; returns its end. */
function readPart(
  {host, port}: GateHarness,
  version: '1.0' | '1.1',
): Promise<'closed' | 'reset'> {
  return new Promise(resolve => {
    const socket = connect({host, port, allowHalfOpen: true});
    let text = '';
    socket.on('data', part => {
      text += part.toString('latin1');
      // Nothing else is on its way then, so that Node.js reports a reset as one.
      if (text.endsWith(PART)) socket.end();
    });
    socket.once('end', () => resolve('closed'));
    socket.once('error', () => resolve('reset'));
    const call = {id: 'q1', path: '/safe/x', method: 'GET', version};
    socket.write(formatCall({...call, framing: 'none', body: ''}));
  });
}
