import {createServer} from 'node:http';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {closeHttpServer, closeIdleWhenRead, openListener} from './listen.js';

/** Idle timeout of kept connections, in ms. */
const IDLE_MS = 1000;

/** Suspension, in ms: Node adds a second to the idle timeout. */
const FROZEN_MS = 2600;

const REQUEST = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';

/** Blocks like a stopped process: no reads, no timers. */
function freezeProcess(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, FROZEN_MS);
}

/** Sends two requests on one connection; returns how each ends. */
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
      // After the round of reading that follows the timers.
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
    // Guards against closing a connection whose request arrived during a
    // suspension.
    expect(await askTwice(true)).toEqual(['answer', 'answer']);
  });

  it('are closed when nobody uses them', async () => {
    expect(await askTwice(false)).toEqual(['answer']);
  });
});
