import {createServer} from 'node:http';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {closeHttpServer, closeIdleWhenRead, openListener} from './listen.js';

/** Idle time of kept connections, in ms: far more than a callback waits. */
const IDLE_MS = 1000;

/** Time that the process stands still, in ms; Node adds a second to the idle time. */
const FROZEN_MS = 2600;

const REQUEST = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';

/** Stands still as a stopped process does: nothing is read, no timer runs. */
function freezeProcess(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, FROZEN_MS);
}

/** Asks once, leaves the connection idle, and says how it ends. */
async function askTwice(freezes: boolean): Promise<readonly string[]> {
  const server = createServer({keepAliveTimeout: IDLE_MS}, (_req, res) => {
    res.end('ok');
  });
  closeIdleWhenRead(server);
  const port = await openListener(server, {host: '127.0.0.1', port: 0});
  const seen: string[] = [];
  await new Promise<void>(resolve => {
    const socket = connect(port, '127.0.0.1', () => socket.write(REQUEST));
    socket.on('data', () => {
      seen.push('answer');
      if (seen.length > 1) socket.end();
      // Behind a round of reading: timers run before the next one.
      else if (freezes)
        setImmediate(() => {
          socket.write(REQUEST);
          freezeProcess();
        });
    });
    socket.on('error', () => seen.push('reset'));
    socket.on('close', () => resolve());
  });
  await closeHttpServer(server);
  return seen;
}

describe('connections that are kept', () => {
  it('are not reset over a request that waits to be read', async () => {
    // A gate is stopped for two seconds. A request comes in on a connection
    // that has been idle for three. Woken, the gate finds the idle time of
    // five seconds over before it reads: the request was reset unread, and
    // its caller, who had used the connection in time, heard nothing.
    expect(await askTwice(true)).toEqual(['answer', 'answer']);
  });

  it('are closed when nobody uses them', async () => {
    expect(await askTwice(false)).toEqual(['answer']);
  });
});
