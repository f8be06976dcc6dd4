import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {answerCompletely} from '../test/fake-target.js';
import {buildConfig, openGateHarness} from '../test/gate-harness.js';
import type {Socket} from 'node:net';
import type {GateHarness} from '../test/gate-harness.js';

/** Length of a request body above the limit, in bytes. */
const BODY_BYTES = 200_000;

/** Idle timeout of the configuration, in ms. */
const IDLE_TIMEOUT_MS = 400;

async function checkWithGate(
  check: (harness: GateHarness) => Promise<void>,
): Promise<void> {
  const {limits} = buildConfig(1);
  const harness = await openGateHarness({
    config: buildConfig(1, {
      limits: {...limits, idleTimeoutMs: IDLE_TIMEOUT_MS},
    }),
  });
  try {
    await harness.addTarget('t', 'orders', answerCompletely);
    await harness.waitUntil(async () => (await harness.askReady()) === 200);
    await check(harness);
  } finally {
    harness.close();
  }
}

/**
 * Connects, lets `send` write to the connection, and returns the statuses that
 * the gate sent until it closed the connection, with `reset` at the end if the
 * gate reset it.
 */
function openConnection(
  harness: GateHarness,
  send: (socket: Socket) => void,
): Promise<readonly string[]> {
  return new Promise(resolve => {
    let text = '';
    let hasReset = false;
    const socket = connect(harness.port, harness.host, () => send(socket));
    socket.on('data', chunk => (text += String(chunk)));
    socket.on('error', () => (hasReset = true));
    socket.on('close', () => {
      const statuses = [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(m => m[1]);
      resolve(hasReset ? [...statuses, 'reset'] : statuses);
    });
  });
}

function renderHead(...headers: readonly string[]): string {
  return [
    'POST /unsafe/x HTTP/1.1',
    'Host: site',
    'x-test-key: k1',
    'x-test-id: q1',
    ...headers,
    '',
    '',
  ].join('\r\n');
}

const HEAD = renderHead(`Content-Length: ${BODY_BYTES}`);
const BODY = 'x'.repeat(BODY_BYTES);
const LAST_REQUEST = renderHead('Content-Length: 0', 'Connection: close');

describe('request whose body the gate has not read', () => {
  it('is answered with 413, and the next request on its connection is served', async () => {
    // Guards against a connection that is reset over the rest of a body.
    await checkWithGate(async harness => {
      const statuses = await openConnection(harness, socket =>
        socket.write(HEAD + BODY + LAST_REQUEST),
      );
      expect(statuses).toEqual(['413', '200']);
    });
  });

  it('is answered with 413, and its connection ends after the idle timeout when the rest never arrives', async () => {
    // Guards against a connection that stays open for a caller that is gone.
    await checkWithGate(async harness => {
      const statuses = await openConnection(harness, socket =>
        socket.write(HEAD + BODY.slice(1)),
      );
      expect(statuses).toEqual(['413']);
    });
  });

  it('is answered with 413 while the gate starts to drain', async () => {
    // Guards against a drain that resets a connection over the rest of a body.
    await checkWithGate(async harness => {
      let drained: Promise<void> | undefined;
      const statuses = await openConnection(harness, socket => {
        socket.write(HEAD + BODY.slice(1));
        socket.once('data', () => {
          drained = harness.gate.drain();
          socket.write('x' + renderHead('Content-Length: 0'));
        });
      });
      expect(statuses).toEqual(['413', '200']);
      await drained;
    });
  });

  it('is not forwarded when the caller disconnects or breaks the protocol within the body', async () => {
    // Guards against running a request with a part of its body.
    await checkWithGate(async harness => {
      let requestCount = 0;
      harness.setScripts((req, res) => {
        requestCount++;
        answerCompletely(req, res);
      });
      for (const text of [
        `${renderHead('Content-Length: 9')}half`,
        `${renderHead('Transfer-Encoding: chunked')}5\r\nhello\r\nno chunk`,
      ])
        await openConnection(harness, socket => socket.end(text));
      await openConnection(harness, socket => socket.write(LAST_REQUEST));
      expect(requestCount).toEqual(1);
    });
  });
});
