import {connect, createServer} from 'node:net';
import {describe, it} from 'node:test';
import {openListener} from '@nutmeggauge/core';
import {expect} from 'earl';
import {StallTimer, chooseTtftTimeoutMs} from './stall-timer.js';

/** Silence that counts as a stall, and a longer suspension, in ms. */
const STALL_MS = 200;
const FROZEN_MS = 500;

describe('stall timer', () => {
  it('sends a short stream elsewhere while it can still be on time', () => {
    // Its engine has died without a reset.
    expect(chooseTtftTimeoutMs(80, 30, 300) < 1000).toEqual(true);
  });

  it('does not prefill a long prompt twice because others delay it', () => {
    // Guards against a second prefill of a prompt that was merely preempted.
    const objectiveMs = 4000;
    expect(chooseTtftTimeoutMs(400, 1500, objectiveMs) > objectiveMs).toEqual(
      true,
    );
    expect(
      chooseTtftTimeoutMs(400, 1500, objectiveMs) < 2 * objectiveMs,
    ).toEqual(true);
  });

  it('counts no engine as stalled whose events are not read yet', async () => {
    // Guards against timers that expire before a resumed process has read its
    // sockets.
    let judged = 0;
    const stall = new StallTimer(() => {
      judged++;
      return 'ignore';
    });
    const server = createServer(socket => {
      socket.write('first');
      setImmediate(() => {
        socket.write('second');
        // Blocks like a suspended host: no reads, no timers.
        const lock = new Int32Array(new SharedArrayBuffer(4));
        Atomics.wait(lock, 0, 0, FROZEN_MS);
      });
    });
    const port = await openListener(server, {host: '127.0.0.1', port: 0});
    const socket = connect(port, '127.0.0.1');
    let text = '';
    stall.restart(STALL_MS);
    await new Promise<void>(resolve =>
      socket.on('data', part => {
        text += String(part);
        stall.restart(STALL_MS);
        if (text.endsWith('second')) resolve();
      }),
    );
    stall.stop();
    socket.destroy();
    server.close();
    expect(judged).toEqual(0);
  });
});
