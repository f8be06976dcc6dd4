import {createServer} from 'node:http';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {freezeProcess} from './freeze-process.js';
import {closeHttpServer, closeIdleAfterRead, openListener} from './listen.js';

/** Idle timeout of keep-alive connections, in ms. */
const IDLE_MS = 1000;

/**
 * Duration of the suspension, in ms; Node adds a second to the idle timeout.
 */
const SUSPENSION_MS = 2600;

const REQUEST = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';

/**
 * Sends a request on a keep-alive connection, and a second one followed by a
 * suspension if `shouldFreeze`. Returns the answers and resets seen by the
 * client.
 */
async function sendTwoRequests(
  shouldFreeze: boolean,
): Promise<readonly string[]> {
  const server = createServer({keepAliveTimeout: IDLE_MS}, (_req, res) => {
    res.end('ok');
  });
  closeIdleAfterRead(server);
  const port = await openListener(server, {host: '127.0.0.1', port: 0});
  const outcomes: string[] = [];
  await new Promise<void>(resolve => {
    const socket = connect(port, '127.0.0.1', () => socket.write(REQUEST));
    socket.on('data', () => {
      outcomes.push('answer');
      if (outcomes.length > 1) socket.end();
      // Sends after the current poll phase, so the server has not read the
      // request when the process freezes.
      else if (shouldFreeze)
        setImmediate(() => {
          socket.write(REQUEST);
          freezeProcess(SUSPENSION_MS);
        });
    });
    socket.on('error', () => outcomes.push('reset'));
    socket.on('close', () => resolve());
  });
  await closeHttpServer(server);
  return outcomes;
}

describe('closing of idle HTTP connections', () => {
  it('keeps a connection whose request arrived during a suspension longer than the idle timeout', async () => {
    // Guards against resetting a connection with an unread request: after a
    // suspension, the idle timeout fires before the server reads its sockets.
    expect(await sendTwoRequests(true)).toEqual(['answer', 'answer']);
  });

  it('closes a connection without a further request after the idle timeout', async () => {
    expect(await sendTwoRequests(false)).toEqual(['answer']);
  });
});
