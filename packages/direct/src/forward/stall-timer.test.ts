import {connect, createServer} from 'node:net';
import {describe, it} from 'node:test';
import {freezeProcess, openListener} from '@nutmeggauge/core';
import {expect} from 'earl';
import {StallTimer, chooseTtftTimeoutMs} from './stall-timer.js';

/** Stall timeout, and the duration of a longer suspension, in ms. */
const STALL_MS = 200;
const SUSPENSION_MS = 500;

describe('stall timer', () => {
  it('uses a first-token timeout below 1,000 ms for a short prompt', () => {
    // Guards against a retry that starts too late when an engine has died
    // without a connection reset.
    expect(chooseTtftTimeoutMs(80, 30, 300) < 1000).toEqual(true);
  });

  it('uses a first-token timeout of one to two objectives for a long prefill', () => {
    // Guards against a second prefill of a prompt that was merely preempted.
    const objectiveMs = 4000;
    expect(chooseTtftTimeoutMs(400, 1500, objectiveMs) > objectiveMs).toEqual(
      true,
    );
    expect(
      chooseTtftTimeoutMs(400, 1500, objectiveMs) < 2 * objectiveMs,
    ).toEqual(true);
  });

  it('does not expire while received events are still unread after a suspension', async () => {
    // Guards against timers that expire before a resumed process has read its
    // sockets.
    let stallCount = 0;
    const stallTimer = new StallTimer(() => {
      stallCount++;
      return 'ignore';
    });
    const server = createServer(socket => {
      socket.write('first');
      setImmediate(() => {
        stallTimer.restart(STALL_MS);
        socket.write('second');
        freezeProcess(SUSPENSION_MS);
      });
    });
    const port = await openListener(server, {host: '127.0.0.1', port: 0});
    const socket = connect(port, '127.0.0.1');
    let text = '';
    await new Promise<void>(resolve =>
      socket.on('data', part => {
        text += String(part);
        stallTimer.restart(STALL_MS);
        if (text.endsWith('second')) resolve();
      }),
    );
    stallTimer.stop();
    socket.destroy();
    server.close();
    expect(stallCount).toEqual(0);
  });
});
