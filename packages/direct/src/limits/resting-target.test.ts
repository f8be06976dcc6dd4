import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {addAnnouncingTarget} from '../test/announcing-target.js';
import {ENGINE, buildConfig, openGateHarness} from '../test/gate-harness.js';
import type {AnnouncingTarget} from '../test/announcing-target.js';
import type {GateHarness, ReceivedResponse} from '../test/gate-harness.js';
import type {FleetConfig} from '../types.js';

/** Number of requests while a target rests; they fit one engine. */
const REQUEST_COUNT = 10;

/** Rest that a target asks for, in s. */
const REST_S = 30;

/** Rest that ends within a test, in s. */
const SHORT_REST_S = 0.6;

/** Requests that a resting target may get of one gate. */
const MAX_REST_REQUESTS = 2;

/** Time that a caller waits, in ms. */
const DEADLINE_MS = 4000;

let lastRequest = 0;

function callOften(
  gate: GateHarness,
  path: string,
  count = REQUEST_COUNT,
): Promise<readonly ReceivedResponse[]> {
  return Promise.all(
    Array.from({length: count}, () => {
      const id = `q${++lastRequest}`;
      return gate.call(`${path}${id}`, {
        id,
        tokens: 1000,
        deadlineMs: DEADLINE_MS,
      });
    }),
  );
}

async function runGate(
  test: (gate: GateHarness) => Promise<void>,
  config?: FleetConfig,
): Promise<void> {
  const gate = await openGateHarness({config});
  try {
    await test(gate);
  } finally {
    gate.close();
  }
}

/** Calls the gate until the target has turned a request away. */
async function callUntilRefused(
  gate: GateHarness,
  path: string,
  {state, received}: AnnouncingTarget,
  rest: string,
): Promise<number> {
  state.rest = rest;
  const before = received.length;
  await gate.waitUntil(async () => {
    await callOften(gate, path, 1);
    return received.length > before;
  });
  return received.length;
}

/** Lists the rests that the gate has logged, each with its length in ms. */
function listRests(gate: GateHarness): ReadonlyArray<[string, number]> {
  return gate.lines
    .map(line => JSON.parse(line) as Record<string, unknown>)
    .filter(({event}) => event === 'target_rests')
    .map(({target, ms}) => [String(target), Number(ms)]);
}

const KINDS = [
  ['/safe/', 'orders'],
  ['/unsafe2/', 'orders'],
  ['/stream/', 'chat'],
] as const;

describe('target that turns requests away and asks for rest', () => {
  for (const [path, service] of KINDS) {
    it(`gets no further request to ${path} in that time while others are served`, () =>
      // Guards against gates that send on to a server that has asked for rest.
      runGate(async gate => {
        const resting = await addAnnouncingTarget([gate], 't1', service);
        const rest = String(REST_S);
        const count = await callUntilRefused(gate, path, resting, rest);
        await addAnnouncingTarget([gate], 't2', service);
        const answers = await callOften(gate, path);
        expect(answers.every(({status}) => status === 200)).toEqual(true);
        const more = resting.received.length - count;
        expect(more <= MAX_REST_REQUESTS).toEqual(true);
      }));

    it(`makes requests to ${path} come back after the earliest end if all others rest too`, () =>
      // Guards against requests that are held, or sent from one resting target to
      // the next.
      runGate(async gate => {
        const targets = [
          await addAnnouncingTarget([gate], 't1', service),
          await addAnnouncingTarget([gate], 't2', service),
        ];
        for (const {state} of targets) state.rest = String(REST_S);
        targets[1].state.rest = '1.1';
        await gate.waitUntil(async () => {
          await callOften(gate, path, 1);
          return targets.every(({received}) => received.length > 0);
        });
        const countReceived = () =>
          targets.reduce((sum, {received}) => sum + received.length, 0);
        const before = countReceived();
        const answers = await callOften(gate, path);
        expect(countReceived() - before <= 2 * MAX_REST_REQUESTS).toEqual(true);
        for (const {status, retryAfter, ms} of answers) {
          expect(status).toEqual(503);
          const seconds = Number(retryAfter);
          expect(seconds > 0.5 && seconds <= DEADLINE_MS / 3000).toEqual(true);
          expect(ms < DEADLINE_MS / 4).toEqual(true);
        }
      }));

    it(`gets one request to ${path} at the end of that time, and more once it has accepted it`, () =>
      // Guards against all requests that have waited for the end of a rest.
      runGate(async gate => {
        const resting = await addAnnouncingTarget([gate], 't1', service);
        const rest = String(SHORT_REST_S);
        const count = await callUntilRefused(gate, path, resting, rest);
        await sleep(SHORT_REST_S * 1000 + 100);
        await callOften(gate, path);
        expect(resting.received.length).toEqual(count + 1);
        await sleep(SHORT_REST_S * 1000 + 100);
        resting.state.rest = undefined;
        const [first] = await callOften(gate, path, 1);
        expect(first.status).toEqual(200);
        const answers = await callOften(gate, path, 5);
        expect(answers.every(({status}) => status === 200)).toEqual(true);
      }));
  }

  it('is no helper of a long prompt in that time', () => {
    // Guards against orders to an engine that has asked for rest.
    const engine = {...ENGINE, prefillTokensPerMs: 10_000};
    const services = [
      {name: 'chat', engine: {...engine, attentionMsPerMillionPairs: 0}},
    ];
    return runGate(
      async gate => {
        const resting = await addAnnouncingTarget([gate], 't1', 'chat');
        await callUntilRefused(gate, '/stream/', resting, String(REST_S));
        await addAnnouncingTarget([gate], 't2', 'chat');
        await addAnnouncingTarget([gate], 't3', 'chat');
        await gate.call('/stream/long', {id: 'long', tokens: 500_000});
        const {reservedOn} = gate.reservations;
        expect(reservedOn.length > 0).toEqual(true);
        expect(reservedOn.includes('t1')).toEqual(false);
      },
      buildConfig(1, {services}),
    );
  });

  it('rests for a refusal that does not say whether it has run the request', () =>
    runGate(async gate => {
      const resting = await addAnnouncingTarget([gate], 't1', 'orders');
      resting.state.isSilentRefusal = true;
      const rest = String(REST_S);
      const count = await callUntilRefused(gate, '/safe/', resting, rest);
      await addAnnouncingTarget([gate], 't2', 'orders');
      await callOften(gate, '/safe/');
      expect(resting.received.length - count <= 1).toEqual(true);
    }));

  it('rests at the longest for ten minutes, and alone, whatever it asks for', () =>
    // Guards against a false answer that takes traffic from other targets.
    runGate(async gate => {
      const resting = await addAnnouncingTarget([gate], 't1', 'orders');
      await callUntilRefused(gate, '/safe/', resting, '1000000');
      await addAnnouncingTarget([gate], 't2', 'orders');
      const [answer] = await callOften(gate, '/safe/', 1);
      expect(answer.status).toEqual(200);
      expect(listRests(gate)).toEqual([['t1', 600_000]]);
    }));

  it('goes on as before if the field has a bad value or the request was not refused', () =>
    // Guards against rests that no target has asked for.
    runGate(async gate => {
      const target = await addAnnouncingTarget([gate], 't1', 'orders');
      target.state.isSilentRefusal = true;
      const pairs = [
        [503, ''],
        [503, '-3'],
        [503, 'Fri, 04 Dec 2026 06:00:00 GMT'],
        [503, 'soon'],
        [500, '30'],
        [404, '30'],
      ] as const;
      for (const [status, rest] of pairs) {
        target.state.refusalStatus = status;
        target.state.rest = rest;
        await callOften(gate, '/safe/', 1);
      }
      expect(listRests(gate)).toEqual([]);
      expect(target.received.length >= pairs.length).toEqual(true);
    }));
});
