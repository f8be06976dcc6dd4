import {once} from 'node:events';
import {connect} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {Worker} from 'node:worker_threads';
import {expect} from 'earl';
import {freezeProcess} from './freeze-process.js';
import {ReadTimeout} from './read-timeout.js';
import type {Socket} from 'node:net';

/** Timeout, in ms. */
const TIMEOUT_MS = 200;

/** Longest wait until the sender has sent its bytes, in ms. */
const MAX_SEND_MS = 10_000;

/**
 * Bytes that let the receive window of the connection grow, and bytes that then
 * arrive during a suspension: more than one iteration of the event loop reads.
 */
const WARM_UP_BYTES = 64 * 1024 * 1024;
const BURST_BYTES = 3 * 1024 * 1024;

/**
 * Source of a worker that sends as many bytes as each message says, without end
 * for `Infinity`, and sets a flag when the system has taken them all.
 */
const SENDER = `
  const {createServer} = require('node:net');
  const {parentPort, workerData} = require('node:worker_threads');
  const part = Buffer.alloc(65536);
  const server = createServer(socket => {
    let left = 0;
    const send = () => {
      while (left > 0) {
        const size = Math.min(left, part.length);
        left -= size;
        const isLast = left === 0;
        const mark = () => {
          Atomics.store(workerData, 0, 1);
          Atomics.notify(workerData, 0);
        };
        if (!socket.write(part.subarray(0, size), isLast ? mark : undefined))
          return;
      }
    };
    socket.on('drain', send);
    socket.on('error', () => undefined);
    parentPort.on('message', bytes => { left += bytes; send(); });
    parentPort.postMessage('open');
  });
  server.listen(0, '127.0.0.1', () =>
    parentPort.postMessage(server.address().port),
  );
`;

describe('timeout of a process that reads late', () => {
  let sender: Worker;
  let socket: Socket;
  let bytes = 0;
  /** 1 once the system has taken all bytes of the sender, else 0. */
  let sentFlag: Int32Array;

  beforeEach(async () => {
    bytes = 0;
    sentFlag = new Int32Array(new SharedArrayBuffer(4));
    sender = new Worker(SENDER, {eval: true, workerData: sentFlag});
    const [port] = (await once(sender, 'message')) as [number];
    socket = connect(port, '127.0.0.1');
    await once(sender, 'message');
    socket.on('data', part => (bytes += part.length));
  });

  afterEach(async () => {
    socket.destroy();
    await sender.terminate();
  });

  /** Requests bytes and resolves when all have been read. */
  async function readBytes(count: number): Promise<void> {
    const end = bytes + count;
    sender.postMessage(count);
    while (bytes < end) await once(socket, 'data');
  }

  it('does not expire before data behind more than one read has been read', async () => {
    // Guards against an answer that counts as missing because it arrived behind
    // other data.
    await readBytes(WARM_UP_BYTES);
    sentFlag[0] = 0;
    let hasExpired = false;
    const timeout = new ReadTimeout(
      () => (hasExpired = true),
      TIMEOUT_MS,
      () => socket.bytesRead,
    );
    const read = readBytes(BURST_BYTES).then(() => timeout.stop());
    Atomics.wait(sentFlag, 0, 0, MAX_SEND_MS);
    freezeProcess(2 * TIMEOUT_MS);
    await read;
    expect(hasExpired).toEqual(false);
  });

  it('expires while other data keeps arriving', async () => {
    // Guards against a wait that never ends for a peer that sends without end.
    sender.postMessage(Infinity);
    await new Promise<void>(
      resolve =>
        void new ReadTimeout(resolve, TIMEOUT_MS, () => socket.bytesRead),
    );
    expect(bytes).toBeGreaterThan(0);
  });

  it('does not expire after it has been stopped', async () => {
    let hasExpired = false;
    const timeout = new ReadTimeout(() => (hasExpired = true), 1);
    await new Promise<void>(resolve => {
      setTimeout(() => {
        // The timeout waits for pending data now.
        timeout.stop();
        setImmediate(() => setImmediate(resolve));
      }, 1);
      // Both timers are due in the same iteration of the event loop.
      freezeProcess(10);
    });
    expect(hasExpired).toEqual(false);
  });
});
