import {describe, it} from 'node:test';
import {expect} from 'earl';
import {startFakeClock} from '../test/fake-clock.js';
import {buildSignedHead, formatEvents} from '../test/fake-target.js';
import {ENGINE, buildConfig, openGateHarness} from '../test/gate-harness.js';
import {ImpatientCallers} from '../test/impatient-callers.js';
import type {ServerResponse} from 'node:http';
import type {FakeTarget, TargetScript} from '../test/fake-target.js';

/** Retries that are allowed within the window, of which three may be spent. */
const RETRY_BOUNDS = {ratio: 0, slack: 4, windowMs: 1000};

/** Streams that fit into the KV cache of one engine. */
const STREAMS_PER_ENGINE = 3;

const STREAM_TOKENS = 3000;

/** Time between two events of a stream, in ms. */
const EVENT_INTERVAL_MS = 100;

describe('retries that wait for an engine', () => {
  it('stay within the retry budget when they are sent', async () => {
    // Guards against retries that are claimed at one time and sent at another,
    // together with those of a later window.
    const base = buildConfig(1);
    const config = buildConfig(1, {
      routes: base.routes.map(route => ({...route, maxAttempts: 4})),
      services: [{name: 'chat', engine: {...ENGINE, kvCapacityTokens: 15_500}}],
    });
    const harness = await openGateHarness({config, retryBounds: RETRY_BOUNDS});
    const clock = startFakeClock();
    const callers = new ImpatientCallers(clock, harness);
    const arrivals: string[] = [];
    const open = new Map<string, ServerResponse>();
    let lastEvent = 1;
    // Engines whose streams pause would get backups.
    const advance = async (ms: number) => {
      for (let left = ms; left > 0; left -= EVENT_INTERVAL_MS) {
        await callers.advance(Math.min(left, EVENT_INTERVAL_MS));
        lastEvent++;
        for (const res of open.values())
          res.write(formatEvents(lastEvent, lastEvent));
      }
    };
    const beginStream: TargetScript = (req, res) => {
      const id = String(req.headers['x-test-id']);
      arrivals.push(id);
      open.set(id, res);
      res.writeHead(200, buildSignedHead(req));
      res.write(formatEvents(1, 1));
    };
    try {
      const engines: FakeTarget[] = [];
      for (const name of ['blocked', 'first', 'second']) {
        engines.push(await harness.addTarget(name, 'chat', beginStream));
        await clock.advanceUntil(
          () => harness.gate['state'].targetCount === engines.length,
        );
        for (let i = 0; i < STREAMS_PER_ENGINE; i++)
          callers.connect({
            id: `${name}-${i}`,
            path: `/stream/${name}-${i}`,
            tokens: STREAM_TOKENS,
          });
        const [newest] = engines.slice(-1);
        await clock.advanceUntil(
          () => newest.received.length === STREAMS_PER_ENGINE,
        );
      }
      const [, first, second] = engines;
      first.close();
      await advance(RETRY_BOUNDS.windowMs + 300);
      second.close();
      await advance(300);
      expect(arrivals.length).toEqual(3 * STREAMS_PER_ENGINE);
      for (const [id, res] of open)
        if (id.startsWith('blocked')) {
          res.end();
          open.delete(id);
        }
      await harness.addTarget('spare', 'chat', beginStream);
      await advance(700);
      const retries = arrivals.length - 3 * STREAMS_PER_ENGINE;
      expect(retries > 0 && retries <= RETRY_BOUNDS.slack).toEqual(true);
    } finally {
      callers.close();
      clock.stop();
      harness.close();
    }
  });
});
