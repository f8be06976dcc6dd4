import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {answerCompletely} from '../test/fake-target.js';
import {openGateHarness} from '../test/gate-harness.js';

/** Length of a request body that arrives in many chunks, in bytes. */
const BODY_BYTES = 8_000_000;

describe('request body above the limit', () => {
  it('is answered with 413 without a connection reset', async () => {
    // Guards against a connection reset that discards the 413 before the caller
    // reads it.
    const harness = await openGateHarness();
    try {
      await harness.addTarget('t', 'orders', answerCompletely);
      await harness.waitUntil(async () => (await harness.askReady()) === 200);
      let text = '';
      let hasReset = false;
      await new Promise<void>(resolve => {
        const socket = connect(harness.port, harness.host, () =>
          socket.write(
            'POST /unsafe/x HTTP/1.1\r\nHost: site\r\nx-test-key: k1\r\n' +
              'x-test-id: q1\r\nConnection: close\r\n' +
              `Content-Length: ${BODY_BYTES}\r\n\r\n${'x'.repeat(BODY_BYTES)}`,
          ),
        );
        socket.on('data', chunk => (text += String(chunk)));
        socket.on('error', () => (hasReset = true));
        socket.on('close', () => resolve());
      });
      expect(hasReset).toEqual(false);
      expect(text.slice(9, 12)).toEqual('413');
    } finally {
      harness.close();
    }
  });
});
