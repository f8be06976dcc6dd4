import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {buildSignedHead} from '../test/fake-target.js';
import {buildConfig} from '../test/gate-harness.js';
import {runStopBed} from '../test/stop-bed.js';
import type {Socket} from 'node:net';
import type {TargetScript} from '../test/fake-target.js';
import type {StopBed} from '../test/stop-bed.js';

/** Grace period of the gate under test, in ms. */
const GRACE_MS = 2000;

/** Time from the signal until the gate drops what is open, in ms. */
const DROP_MS = 1800;

/** Callers whose heads arrive one after the other around the drop. */
const CALLERS = 100;

/** Time between two of them, in ms. */
const STEP_MS = 2;

/** Time in which a request reaches the gate and its answer the caller, in ms. */
const TRIP_MS = 20;

/** Length of a body, of which its caller can send only a part, in bytes. */
const BODY_BYTES = 90_000_000;

/** Part of a body that a caller sends at a time, in bytes. */
const PART = Buffer.alloc(16 * 1024, 'a');

/** Answer that its caller does not read before the gate ends. */
const answerLargely: TargetScript = (req, res) => {
  const body = Buffer.alloc(8 * 1024 * 1024, 'a');
  res.writeHead(200, {
    ...buildSignedHead(req),
    'content-length': String(body.length),
  });
  res.end(body);
};

function openSocket({harness}: StopBed): Promise<Socket> {
  return new Promise(resolve => {
    const socket = connect(harness.port, harness.host, () => resolve(socket));
    socket.on('error', () => undefined);
  });
}

/** Sends a head and then a body without end; resolves with what was answered. */
function sendBody(socket: Socket, id: string): Promise<string> {
  return new Promise(resolve => {
    let text = '';
    socket.on('data', part => (text += String(part)));
    socket.once('close', () => resolve(text));
    const sendPart = () => {
      if (socket.writable)
        socket.write(PART, () => void setTimeout(sendPart, STEP_MS));
    };
    socket.write(
      `x-test-id: ${id}\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`,
      sendPart,
    );
  });
}

describe('gate whose process is about to end', () => {
  it('answers requests whose bodies still arrive when it drops what is open', async () => {
    // Guards against answers that are lost as unread bytes reset their connections.
    const scripts = {orders: [answerLargely], chat: []};
    // A body above the limit would be refused at its head.
    const {limits} = buildConfig(1);
    const config = {limits: {...limits, maxBodyBytes: BODY_BYTES}};
    await runStopBed({graceMs: GRACE_MS, scripts, config}, async bed => {
      const slow = await openSocket(bed);
      slow.once('data', () => slow.pause());
      slow.write(
        'GET /safe/x HTTP/1.1\r\nHost: site\r\nx-test-key: k1\r\n' +
          'x-test-id: slow\r\nx-test-deadline: 20000\r\n\r\n',
      );
      const sockets: Socket[] = [];
      for (let i = 0; i < CALLERS; i++) sockets.push(await openSocket(bed));
      for (const socket of sockets)
        socket.write(
          'POST /unsafe/x HTTP/1.1\r\nHost: site\r\nx-test-key: k1\r\n',
        );
      await sleep(100);
      let endedAt = Infinity;
      const stopped = bed.harness.gate.drain().then(() => {
        endedAt = performance.now();
        bed.harness.gate.close();
      });
      await sleep(DROP_MS - CALLERS * STEP_MS);
      const calls: Array<{sentAt: number; answer: Promise<string>}> = [];
      for (const [i, socket] of sockets.entries()) {
        const sentAt = performance.now();
        if (!socket.destroyed)
          calls.push({sentAt, answer: sendBody(socket, `q${i}`)});
        await sleep(STEP_MS);
      }
      await stopped;
      slow.destroy();
      const sent = calls.filter(({sentAt}) => sentAt < endedAt - TRIP_MS);
      const texts = await Promise.all(sent.map(({answer}) => answer));
      expect(texts.map(text => text.slice(9, 12))).toEqual(
        texts.map(() => '503'),
      );
      expect(texts.length > CALLERS / 10).toEqual(true);
    });
  });
});
