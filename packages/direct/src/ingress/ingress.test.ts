import {describe, it} from 'node:test';
import {connect} from 'node:net';
import {expect} from 'earl';
import {answerWhole} from '../test/fake-target.js';
import {buildConfig, openGateWorld} from '../test/gate-world.js';
import type {TargetScript} from '../test/fake-target.js';
import type {GateWorld} from '../test/gate-world.js';

async function checkWithGate(
  check: (world: GateWorld) => Promise<void>,
): Promise<void> {
  const world = await openGateWorld();
  try {
    await world.addTarget('t', 'orders', answerWhole);
    await world.waitUntil(async () => (await world.askReady()) === 200);
    await check(world);
  } finally {
    world.close();
  }
}

/** Sends raw bytes and collects the answer until the connection ends. */
function sendRaw(world: GateWorld, bytes: string): Promise<string> {
  return new Promise(resolve => {
    let text = '';
    const socket = connect(world.port, world.host, () => socket.write(bytes));
    socket.on('data', chunk => (text += String(chunk)));
    socket.on('error', () => resolve(text));
    socket.on('close', () => resolve(text));
  });
}

const HEAD = 'Host: site\r\nx-test-key: k1\r\nx-test-deadline: 2000\r\n';

describe('ingress', () => {
  it('tells unknown keys and unknown routes apart', async () => {
    await checkWithGate(async world => {
      expect((await world.call('/safe/x', {key: 'no'})).status).toEqual(401);
      expect((await world.call('/none/x')).status).toEqual(404);
    });
  });

  it('refuses a body over the limit', async () => {
    await checkWithGate(async world => {
      const body = 'x'.repeat(100_001);
      const answer = await world.call('/unsafe/x', {method: 'POST', body});
      expect(answer.status).toEqual(413);
    });
  });

  it('serves requests that share a connection, in order', async () => {
    await checkWithGate(async world => {
      const one = (id: string, last: string) =>
        `GET /safe/${id} HTTP/1.1\r\n${HEAD}x-test-id: ${id}\r\n${last}\r\n`;
      const text = await sendRaw(
        world,
        one('r1', '') + one('r2', 'Connection: close\r\n'),
      );
      expect(text.split('HTTP/1.1 200').length).toEqual(3);
      expect(text.indexOf('r1') < text.indexOf('r2')).toEqual(true);
    });
  });

  it('takes a chunked body', async () => {
    await checkWithGate(async world => {
      const text = await sendRaw(
        world,
        `POST /unsafe/x HTTP/1.1\r\n${HEAD}x-test-id: c1\r\n` +
          'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n' +
          '5\r\nhello\r\n0\r\n\r\n',
      );
      expect(text.startsWith('HTTP/1.1 200')).toEqual(true);
    });
  });

  it('vouches for no answer whose end it cannot see', async () => {
    // Guards against a truncated answer that is forwarded with a length.
    await checkWithGate(async world => {
      await world.addTarget('u', 'orders', answerWhole);
      const endEarly: TargetScript = req => {
        req.socket.end(
          'HTTP/1.1 200 OK\r\nx-test-signature: s\r\n' +
            `x-test-id: ${String(req.headers['x-test-id'])}\r\n\r\nshort`,
        );
      };
      world.setScripts(endEarly);
      const text = await sendRaw(
        world,
        `GET /safe/u1 HTTP/1.1\r\n${HEAD}x-test-id: u1\r\n\r\n`,
      );
      expect(text.startsWith('HTTP/1.1 200')).toEqual(true);
      expect(/content-length|transfer-encoding/i.test(text)).toEqual(false);
      expect(text.endsWith('\r\n\r\nshort')).toEqual(true);
    });
  });

  it('smuggles no second request in a body', async () => {
    // Guards against request smuggling by a body that looks like a request.
    await checkWithGate(async world => {
      const text = await sendRaw(
        world,
        `POST /unsafe/x HTTP/1.1\r\n${HEAD}x-test-id: s1\r\n` +
          'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n' +
          '0\r\n\r\nGET /safe/smuggled HTTP/1.1\r\nHost: site\r\n\r\n',
      );
      expect(text.startsWith('HTTP/1.1 400')).toEqual(true);
    });
  });

  it('refuses what a route without a service sends nowhere', async () => {
    // Guards against a route without a service, which ended the gate.
    const {routes} = buildConfig(1);
    const world = await openGateWorld({
      config: buildConfig(1, {
        routes: [...routes, {...routes[0], prefix: '/nowhere/', splits: []}],
      }),
    });
    try {
      await world.addTarget('t', 'orders', answerWhole);
      await world.waitUntil(async () => (await world.askReady()) === 200);
      const lost = await world.call('/nowhere/x');
      expect(lost.status).toEqual(503);
      expect((await world.call('/safe/x')).status).toEqual(200);
    } finally {
      world.close();
    }
  });
});
