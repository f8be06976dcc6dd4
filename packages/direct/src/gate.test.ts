import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {buildLoopbackHost, freezeProcess} from '@nutmeggauge/core';
import {HOLD_AFTER_OUTAGE_MS} from './fleet/target-table.js';
import {
  answerCompletely,
  buildSignedHead,
  formatEvents,
} from './test/fake-target.js';
import {buildConfig, openGateHarness} from './test/gate-harness.js';
import type {TargetScript} from './test/fake-target.js';

/** Time until a stopping gate of these tests refuses new requests, in ms. */
const STOP_NOTICE_MS = 1000;

/** Duration of a suspension, in ms. */
const FREEZE_MS = 400;

describe('direct gate', () => {
  it('fails readiness at once when a drain starts, and still serves open and newly arriving requests', async () => {
    // Guards against requests that fail during a rolling restart of the gates.
    const harness = await openGateHarness();
    try {
      const answerSlowly: TargetScript = (req, res) =>
        void setTimeout(() => answerCompletely(req, res), 400);
      await harness.addTarget('t', 'orders', answerSlowly);
      await harness.waitUntil(async () => (await harness.askReady()) === 200);
      const running = harness.call('/unsafe/order', {method: 'POST'});
      await new Promise(resolve => setTimeout(resolve, 50));
      const drained = harness.gate.drain();
      expect(await harness.askReady()).toEqual(503);
      const arriving = harness.call('/unsafe/order', {
        method: 'POST',
        id: 'q2',
      });
      expect((await running).status).toEqual(200);
      expect((await arriving).status).toEqual(200);
      await drained;
    } finally {
      harness.close();
    }
  });

  it('refuses requests late in a drain with 503 and Retry-After, and finishes open ones', async () => {
    // Guards against accepting requests that cannot finish before the process
    // is killed.
    const harness = await openGateHarness();
    try {
      const answerSlowly: TargetScript = (req, res) =>
        void setTimeout(() => answerCompletely(req, res), 700);
      await harness.addTarget('t', 'orders', answerSlowly);
      await harness.waitUntil(async () => (await harness.askReady()) === 200);
      const drained = harness.gate.drain();
      await new Promise(resolve => setTimeout(resolve, 600));
      const running = harness.call('/unsafe/order', {method: 'POST'});
      await new Promise(resolve => setTimeout(resolve, 600));
      const late = await harness.call('/unsafe/order', {
        method: 'POST',
        id: 'q2',
      });
      expect(late.status).toEqual(503);
      expect(Number(late.retryAfter) > 0).toEqual(true);
      expect((await running).status).toEqual(200);
      await drained;
    } finally {
      harness.close();
    }
  });

  it('answers 503 to a request that is still unread when the gate stops accepting requests', async () => {
    // Guards against resetting connections with an unread request during a
    // drain.
    const harness = await openGateHarness();
    try {
      await harness.addTarget('t', 'orders', answerCompletely);
      await harness.waitUntil(async () => (await harness.askReady()) === 200);
      const request =
        'GET /safe/x HTTP/1.1\r\nHost: site\r\nx-test-key: k1\r\n' +
        'x-test-id: q1\r\nx-test-deadline: 4000\r\n\r\n';
      const statuses: string[] = [];
      await new Promise<void>(resolve => {
        const socket = connect(harness.port, harness.host, () =>
          socket.write(request),
        );
        socket.on('data', chunk => {
          statuses.push(String(chunk).slice(9, 12));
          if (statuses.length > 1) return;
          void harness.gate.drain();
          const writeAndFreeze = () => {
            socket.write(request);
            freezeProcess(FREEZE_MS);
          };
          // `setImmediate` runs after the poll phase of the event loop, so that
          // the gate's timers run before the gate reads the request.
          setTimeout(
            () => setImmediate(writeAndFreeze),
            STOP_NOTICE_MS - FREEZE_MS / 2,
          );
        });
        socket.on('error', () => statuses.push('reset'));
        socket.on('close', () => resolve());
      });
      expect(statuses).toEqual(['200', '503']);
    } finally {
      harness.close();
    }
  });

  it('answers a request that its caller sends as soon as a stream from before the drain has ended', async () => {
    // Guards against a connection that is closed under a request, because the
    // answer before it could no longer say that its connection ends.
    const harness = await openGateHarness();
    try {
      let hasSecond = false;
      let finishStream = () => {};
      await harness.addTarget('t', 'chat', (req, res) => {
        res.writeHead(200, buildSignedHead(req));
        res.write(formatEvents(1, 1));
        finishStream = () => res.end(formatEvents(2, 2));
        if (hasSecond) finishStream();
      });
      await harness.waitUntil(async () => (await harness.askReady()) === 200);
      const request =
        'GET /stream/x HTTP/1.1\r\nHost: site\r\nx-test-key: k1\r\n' +
        'x-test-id: q1\r\nx-test-tokens: 1000\r\nx-test-deadline: 4000\r\n\r\n';
      const text = await new Promise<string>(resolve => {
        let received = '';
        const socket = connect(harness.port, harness.host, () =>
          socket.write(request),
        );
        socket.on('data', chunk => {
          const isFirst = received === '';
          received += String(chunk);
          if (isFirst) {
            void harness.gate.drain();
            finishStream();
          }
          if (!received.endsWith('0\r\n\r\n') || hasSecond) return;
          hasSecond = true;
          socket.write(request);
        });
        socket.on('close', () => resolve(received));
      });
      const heads = text.split('HTTP/1.1 ').slice(1);
      expect(heads.length).toEqual(2);
      expect(/^connection: close/im.test(heads[0])).toEqual(false);
      expect(/^connection: close/im.test(heads[1])).toEqual(true);
    } finally {
      harness.close();
    }
  });

  it('applies a configuration from another gate while its own store is down', async () => {
    // Guards against a revoked key that still works at a gate that cannot
    // reach the store.
    const port = 22_000;
    const hosts = [buildLoopbackHost(0), buildLoopbackHost(1)];
    const firstGate = await openGateHarness({host: hosts[0], port});
    const secondGate = await openGateHarness({
      host: hosts[1],
      port,
      seedHosts: [hosts[0]],
    });
    try {
      await firstGate.addTarget('t', 'orders', answerCompletely);
      const entry = (
        await secondGate.addTarget('t2', 'orders', answerCompletely)
      ).entry;
      firstGate.store.publishTarget(entry);
      await secondGate.waitUntil(
        async () => (await secondGate.askReady()) === 200,
      );
      secondGate.store.isDown = true;
      firstGate.store.publishConfig(
        buildConfig(9, {accounts: [{name: 'acme', keys: ['k9']}]}),
      );
      await secondGate.waitUntil(
        async () =>
          (await secondGate.call('/safe/x', {key: 'k9'})).status === 200,
      );
      expect((await secondGate.call('/safe/x', {key: 'k1'})).status).toEqual(
        401,
      );
    } finally {
      firstGate.close();
      secondGate.close();
    }
  });

  it('removes a held target as soon as a gate without an outage confirms its removal', async () => {
    // Guards against using a target that was removed while only this gate could
    // not reach the store.
    const port = 22_200;
    const hosts = [buildLoopbackHost(4), buildLoopbackHost(5)];
    const [firstGate, secondGate] = await Promise.all([
      openGateHarness({host: hosts[0], port}),
      openGateHarness({host: hosts[1], port, seedHosts: [hosts[0]]}),
    ]);
    const isLogged = (event: string) =>
      secondGate.lines.some(
        line => line.includes(event) && line.includes('"t"'),
      );
    try {
      // Both stores publish the same changes.
      const leaving = await firstGate.addTarget(
        't',
        'orders',
        answerCompletely,
      );
      secondGate.store.publishTarget(leaving.entry);
      // Waits for the hold time, so that only the outage below causes a hold.
      await new Promise(resolve =>
        setTimeout(resolve, HOLD_AFTER_OUTAGE_MS + 100),
      );
      const staying = await secondGate.addTarget(
        't2',
        'orders',
        answerCompletely,
      );
      firstGate.store.publishTarget(staying.entry);
      await secondGate.waitUntil(
        async () => (await secondGate.readGauge('targets_known')) === 2,
      );
      secondGate.store.isDown = true;
      secondGate.store.dropHistory();
      await secondGate.waitUntil(() =>
        secondGate.lines.some(line => line.includes('"store_lost"')),
      );
      secondGate.store.isDown = false;
      secondGate.store.dropTarget('t');
      await secondGate.waitUntil(() => isLogged('"target_held"'));
      firstGate.store.dropTarget('t');
      await secondGate.waitUntil(() => isLogged('"target_removed"'));
      expect(
        secondGate.lines.some(line => line.includes('"hold_expired"')),
      ).toEqual(false);
    } finally {
      firstGate.close();
      secondGate.close();
    }
  });

  it('becomes ready with the facts of another gate when the store is down at startup', async () => {
    // Guards against a restarted gate that waits for a store which is down.
    const port = 22_100;
    const hosts = [buildLoopbackHost(2), buildLoopbackHost(3)];
    const firstGate = await openGateHarness({host: hosts[0], port});
    await firstGate.addTarget('t', 'orders', answerCompletely);
    await firstGate.waitUntil(async () => (await firstGate.askReady()) === 200);
    const secondGate = await openGateHarness({
      host: hosts[1],
      port,
      seedHosts: [hosts[0]],
      config: 'none',
    });
    secondGate.store.isDown = true;
    try {
      await secondGate.waitUntil(
        async () => (await secondGate.askReady()) === 200,
      );
      expect((await secondGate.call('/safe/x')).status).toEqual(200);
    } finally {
      firstGate.close();
      secondGate.close();
    }
  });

  it('serves its metrics as text over HTTP', async () => {
    const harness = await openGateHarness();
    try {
      await harness.addTarget('t', 'orders', answerCompletely);
      await harness.waitUntil(async () => (await harness.askReady()) === 200);
      await harness.call('/safe/x');
      const response = await fetch(
        `http://${harness.host}:${harness.port + 3}/`,
      );
      const text = await response.text();
      expect(text.includes('nutmeggauge_call_answered_total 1')).toEqual(true);
    } finally {
      harness.close();
    }
  });
});
