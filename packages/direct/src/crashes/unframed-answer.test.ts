import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  CRASHING_BODY,
  openCrashFleet,
  startUnframed,
} from '../test/crash-fleet.js';
import {formatEvents} from '../test/fake-target.js';
import {openGateHarness} from '../test/gate-harness.js';
import type {CrashFleet, CrashFleetOptions} from '../test/crash-fleet.js';
import type {TargetScript} from '../test/fake-target.js';
import type {GateHarness} from '../test/gate-harness.js';

/** Most servers that may end under one request. */
const MAX_CRASHES = 3;

/** Number of times that the caller sends the request again. */
const REPEATS = 6;

const EVENT = formatEvents(1, 1);

/** Sends the crashing request again and again; counts whole answers. */
async function countWhole(
  fleet: CrashFleet,
  path = '/stream/x',
): Promise<number> {
  let count = 0;
  for (let i = 0; i < REPEATS; i++) {
    const call = {gate: i % 3, body: CRASHING_BODY, path};
    const {status, isWhole} = await fleet.call(call);
    if (status === 200 && isWhole) count++;
  }
  return count;
}

async function runWithFleet(
  options: Partial<CrashFleetOptions>,
  test: (fleet: CrashFleet) => Promise<void>,
): Promise<void> {
  const fleet = await openCrashFleet({gates: 3, targets: 12, ...options});
  try {
    await test(fleet);
  } finally {
    fleet.close();
  }
}

async function runWithGate(
  service: string,
  script: TargetScript,
  test: (gate: GateHarness) => Promise<void>,
): Promise<void> {
  const gate = await openGateHarness();
  try {
    for (const id of ['a', 'b']) await gate.addTarget(id, service, script);
    await gate.waitUntil(
      async () => (await gate.readGauge('targets_known')) === 2,
    );
    await test(gate);
  } finally {
    gate.close();
  }
}

describe('answer without length or chunks under which its server ends', () => {
  const streams = {
    'without an event': '',
    'after one event': EVENT,
    'inside an event': EVENT.slice(0, -3),
  };
  for (const [when, unframedText] of Object.entries(streams))
    it(`is no whole stream ${when}, and the request is refused`, () =>
      // Guards against a crash that looks like the end of the answer.
      runWithFleet({unframedText}, async fleet => {
        expect(await countWhole(fleet)).toEqual(0);
        expect(fleet.crashes <= MAX_CRASHES).toEqual(true);
      }));

  it('is no whole call with half a body, and the request is refused', () =>
    // Guards against half a body that a caller takes for a whole one.
    runWithFleet({service: 'orders', unframedText: 'wh'}, async fleet => {
      expect(await countWhole(fleet, '/safe/x')).toEqual(0);
      expect(fleet.crashes <= MAX_CRASHES).toEqual(true);
    }));
});

describe('answer without length or chunks of a server that goes on', () => {
  it('is a whole stream with all its events', () =>
    runWithGate(
      'chat',
      (req, res) => {
        startUnframed(req, res, formatEvents(1, 2));
        setTimeout(() => res.end(formatEvents(3, 3)), 30);
      },
      async gate => {
        const answer = await gate.call('/stream/x', {tokens: 10});
        expect([answer.status, answer.isWhole]).toEqual([200, true]);
        expect(answer.isFramed).toEqual(true);
        expect(answer.body).toEqual(formatEvents(1, 3));
      },
    ));

  it('is a whole call', () =>
    runWithGate(
      'orders',
      (req, res) => {
        startUnframed(req, res, 'who');
        res.end('le');
      },
      async gate => {
        const {status, isWhole, body} = await gate.call('/safe/x');
        expect([status, isWhole, body]).toEqual([200, true, 'whole']);
      },
    ));

  it('is no stream without any event', () =>
    // Guards against an empty answer that a caller takes for a whole stream.
    runWithGate(
      'chat',
      (req, res) => {
        startUnframed(req, res, '');
        res.end();
      },
      async gate => {
        const {status, isWhole} = await gate.call('/stream/x', {tokens: 10});
        expect(status === 200 && isWhole).toEqual(false);
      },
    ));
});

describe('gate that ends while it passes on an answer without length or chunks', () => {
  it('leaves no whole stream', () =>
    // Guards against a caller that takes half an answer for a whole one because
    // the end of the gate's connection marks its end.
    runWithGate(
      'chat',
      (req, res) => startUnframed(req, res, EVENT),
      async gate => {
        const answering = gate.call('/stream/x', {tokens: 10});
        await gate.waitUntil(
          async () => (await gate.readGauge('streams_in_flight')) === 1,
        );
        await sleep(100);
        gate.gate.close();
        expect((await answering).isWhole).toEqual(false);
      },
    ));

  it('leaves no whole call', () =>
    // Guards against half a body of which the caller can't see that it is one.
    runWithGate(
      'orders',
      (req, res) => startUnframed(req, res, 'who'),
      async gate => {
        const answering = gate.call('/unsafe/x', {method: 'POST'});
        await gate.waitUntil(
          async () => (await gate.readGauge('calls_in_flight')) === 1,
        );
        await sleep(100);
        gate.gate.close();
        expect((await answering).isWhole).toEqual(false);
      },
    ));
});
