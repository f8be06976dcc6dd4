import {describe, it} from 'node:test';
import {connect} from 'node:net';
import {expect} from 'earl';
import {answerCompletely} from '../test/fake-target.js';
import {buildConfig, openGateHarness} from '../test/gate-harness.js';
import type {TargetScript} from '../test/fake-target.js';
import type {GateHarness} from '../test/gate-harness.js';

async function checkWithGate(
  check: (harness: GateHarness) => Promise<void>,
): Promise<void> {
  const harness = await openGateHarness();
  try {
    await harness.addTarget('t', 'orders', answerCompletely);
    await harness.waitUntil(async () => (await harness.askReady()) === 200);
    await check(harness);
  } finally {
    harness.close();
  }
}

/** Sends raw bytes and returns all bytes received until the connection ends. */
function sendRaw(harness: GateHarness, bytes: string): Promise<string> {
  return new Promise(resolve => {
    let text = '';
    const socket = connect(harness.port, harness.host, () =>
      socket.write(bytes),
    );
    socket.on('data', chunk => (text += String(chunk)));
    socket.on('error', () => resolve(text));
    socket.on('close', () => resolve(text));
  });
}

const HEAD = 'Host: site\r\nx-test-key: k1\r\nx-test-deadline: 2000\r\n';

describe('ingress', () => {
  it('responds with 401 to an unknown API key and with 404 to an unknown route', async () => {
    await checkWithGate(async harness => {
      expect((await harness.call('/safe/x', {key: 'no'})).status).toEqual(401);
      expect((await harness.call('/none/x')).status).toEqual(404);
    });
  });

  it('responds with 413 to a request body above the limit', async () => {
    await checkWithGate(async harness => {
      const body = 'x'.repeat(100_001);
      const answer = await harness.call('/unsafe/x', {method: 'POST', body});
      expect(answer.status).toEqual(413);
    });
  });

  it('serves pipelined requests in order', async () => {
    await checkWithGate(async harness => {
      const formatRequest = (id: string, last: string) =>
        `GET /safe/${id} HTTP/1.1\r\n${HEAD}x-test-id: ${id}\r\n${last}\r\n`;
      const text = await sendRaw(
        harness,
        formatRequest('r1', '') + formatRequest('r2', 'Connection: close\r\n'),
      );
      expect(text.split('HTTP/1.1 200').length).toEqual(3);
      expect(text.indexOf('r1') < text.indexOf('r2')).toEqual(true);
    });
  });

  it('accepts a chunked request body', async () => {
    await checkWithGate(async harness => {
      const text = await sendRaw(
        harness,
        `POST /unsafe/x HTTP/1.1\r\n${HEAD}x-test-id: c1\r\n` +
          'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n' +
          '5\r\nhello\r\n0\r\n\r\n',
      );
      expect(text.startsWith('HTTP/1.1 200')).toEqual(true);
    });
  });

  it('adds neither a length nor chunked encoding to a response that ends with its connection', async () => {
    // Guards against a truncated response that is forwarded with a length.
    await checkWithGate(async harness => {
      await harness.addTarget('u', 'orders', answerCompletely);
      const endEarly: TargetScript = req => {
        req.socket.end(
          'HTTP/1.1 200 OK\r\nx-test-signature: s\r\n' +
            `x-test-id: ${String(req.headers['x-test-id'])}\r\n\r\nshort`,
        );
      };
      harness.setScripts(endEarly);
      const text = await sendRaw(
        harness,
        `GET /safe/u1 HTTP/1.1\r\n${HEAD}x-test-id: u1\r\n\r\n`,
      );
      expect(text.startsWith('HTTP/1.1 200')).toEqual(true);
      expect(/content-length|transfer-encoding/i.test(text)).toEqual(false);
      expect(text.endsWith('\r\n\r\nshort')).toEqual(true);
    });
  });

  it('rejects a request with both Content-Length and Transfer-Encoding', async () => {
    // Guards against request smuggling with a body that contains a second
    // request.
    await checkWithGate(async harness => {
      const text = await sendRaw(
        harness,
        `POST /unsafe/x HTTP/1.1\r\n${HEAD}x-test-id: s1\r\n` +
          'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n' +
          '0\r\n\r\nGET /safe/smuggled HTTP/1.1\r\nHost: site\r\n\r\n',
      );
      expect(text.startsWith('HTTP/1.1 400')).toEqual(true);
    });
  });

  it('responds with 503 on a route without a service and keeps serving', async () => {
    // Guards against a gate that terminates on a route without a service.
    const {routes} = buildConfig(1);
    const harness = await openGateHarness({
      config: buildConfig(1, {
        routes: [...routes, {...routes[0], prefix: '/nowhere/', splits: []}],
      }),
    });
    try {
      await harness.addTarget('t', 'orders', answerCompletely);
      await harness.waitUntil(async () => (await harness.askReady()) === 200);
      const lost = await harness.call('/nowhere/x');
      expect(lost.status).toEqual(503);
      expect((await harness.call('/safe/x')).status).toEqual(200);
    } finally {
      harness.close();
    }
  });
});
