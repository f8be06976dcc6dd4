import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {answerCompletely, formatEvents} from '../test/fake-target.js';
import {buildSignedHead} from '../test/fake-target.js';
import {ENGINE, buildConfig, openGateHarness} from '../test/gate-harness.js';
import {countMostArrivals, openLimitedFleet} from '../test/limited-fleet.js';
import type {GateHarness} from '../test/gate-harness.js';
import type {FakeTarget, TargetScript} from '../test/fake-target.js';

/** Bounds of the gates; with 10 requests a second, a cold target may get 20. */
const COLD_BOUNDS = {overage: 1.5, slack: 5};

const COLD_START = {durationMs: 20_000, requestsPerSecond: 10};

/** Most requests that a cold target may get in any second. */
const BOUND = 20;

/** Requests of a burst, which lasts about two seconds. */
const BURST_COUNT = 200;

/** Time between two requests of a burst, in ms. */
const CALL_INTERVAL_MS = 10;

/** Time until gates that have just started agree on their homes, in ms. */
const SETTLE_MS = 8000;

const CONFIG = buildConfig(1, {
  services: [
    {name: 'orders', engine: undefined, coldStart: COLD_START},
    {name: 'chat', engine: ENGINE, coldStart: COLD_START},
  ],
});

function answerStream(...[req, res]: Parameters<TargetScript>): void {
  res.writeHead(200, buildSignedHead(req));
  res.end(formatEvents(1, 2));
}

/** A target that notes when its requests arrive. */
interface CountedTarget {
  readonly arrivals: number[];
  readonly target: FakeTarget;
}

async function addCounted(
  harness: GateHarness,
  id: string,
  service: 'orders' | 'chat',
  script: TargetScript,
): Promise<CountedTarget> {
  const arrivals: number[] = [];
  const target = await harness.addTarget(id, service, (req, res) => {
    arrivals.push(performance.now());
    script(req, res);
  });
  await sleep(100);
  return {arrivals, target};
}

async function callOften(harness: GateHarness, path: string): Promise<void> {
  const answers: Array<Promise<unknown>> = [];
  for (let i = 0; i < BURST_COUNT; i++) {
    answers.push(harness.call(path, {id: `q${i}`, tokens: 1000}));
    await sleep(CALL_INTERVAL_MS);
  }
  await Promise.all(answers);
}

async function runGate(
  test: (harness: GateHarness) => Promise<void>,
): Promise<void> {
  const harness = await openGateHarness({
    config: CONFIG,
    coldBounds: COLD_BOUNDS,
  });
  try {
    await test(harness);
  } finally {
    harness.close();
  }
}

describe('cold target of one gate', () => {
  it('gets no more calls in any second than the bound', () =>
    // Guards against calls to a target that has just started without permits.
    // Load: 100 calls a second on one target.
    runGate(async harness => {
      await addCounted(harness, 't0', 'chat', answerStream);
      const {arrivals} = await addCounted(
        harness,
        't1',
        'orders',
        answerCompletely,
      );
      await callOften(harness, '/safe/x');
      expect(countMostArrivals(arrivals, 1000)).toBeLessThanOrEqual(BOUND);
      expect(arrivals.length).toBeGreaterThan(BOUND);
    }));

  it('gets no more streams in any second than the bound', () =>
    // Guards against streams that are sent without permits, also by retries.
    // Load: 100 streams a second on one engine.
    runGate(async harness => {
      const {arrivals} = await addCounted(harness, 't1', 'chat', answerStream);
      await callOften(harness, '/stream/x');
      expect(countMostArrivals(arrivals, 1000)).toBeLessThanOrEqual(BOUND);
      expect(arrivals.length).toBeGreaterThan(BOUND);
    }));
});

describe('cold target of three gates', () => {
  it('gets no more calls and streams in any second than the bound, and some of all', async () => {
    // Guards against permits that never pass between gates, and against gates that
    // each grant the bound. Load: 200 requests in a second, one gate after the other.
    const fleet = await openLimitedFleet(3, {
      config: CONFIG,
      coldBounds: COLD_BOUNDS,
    });
    try {
      await sleep(SETTLE_MS);
      const call = await fleet.addTarget('t1', 'orders');
      const engine = await fleet.addTarget('t2', 'chat');
      await fleet.callOften(BURST_COUNT, '/safe/x');
      await fleet.callOften(BURST_COUNT, '/stream/x');
      for (const {arrivals} of [call, engine]) {
        expect(countMostArrivals(arrivals, 1000)).toBeLessThanOrEqual(BOUND);
        expect(arrivals.length).toBeGreaterThan(BOUND / 2);
      }
    } finally {
      fleet.close();
    }
  });
});
