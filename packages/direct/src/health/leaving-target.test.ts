import {describe, it} from 'node:test';
import {buildLoopbackHost} from '@nutmeggauge/core';
import {expect} from 'earl';
import {addAnnouncingTarget} from '../test/announcing-target.js';
import {openGateHarness} from '../test/gate-harness.js';
import type {AnnouncingTarget} from '../test/announcing-target.js';
import type {GateHarness} from '../test/gate-harness.js';

/** Number of requests after a target has said that it leaves; they fit one engine. */
const REQUEST_COUNT = 10;

/** Port of the gates of the first test; each test uses the next ones. */
let lastPort = 27_000;

async function runGates(
  count: number,
  test: (gates: readonly GateHarness[]) => Promise<void>,
): Promise<void> {
  const port = (lastPort += 10);
  const gates: GateHarness[] = [];
  try {
    for (let i = 0; i < count; i++)
      gates.push(
        await openGateHarness({
          host: buildLoopbackHost(i),
          port,
          seedHosts: [buildLoopbackHost(0)],
        }),
      );
    for (const harness of gates)
      await harness.waitUntil(
        () => harness.gate['peers'].countGates() === count,
      );
    await test(gates);
  } finally {
    for (const gate of gates) gate.close();
  }
}

let lastRequest = 0;

function callOften(gate: GateHarness, path: string, count = REQUEST_COUNT) {
  return Promise.all(
    Array.from({length: count}, () => {
      const id = `q${++lastRequest}`;
      return gate.call(`${path}${id}`, {id, tokens: 1000});
    }),
  );
}

/** Calls a gate until it has passed on an answer that says so. */
async function callUntilSaid(
  gate: GateHarness,
  path: string,
  {state, received}: AnnouncingTarget,
): Promise<number> {
  state.leaving = '1';
  const before = received.length;
  await gate.waitUntil(async () => {
    await callOften(gate, path, 4);
    return received.length > before;
  });
  return received.length;
}

describe('target that says in its answers that it leaves', () => {
  for (const [path, service] of [
    ['/safe/', 'orders'],
    ['/unsafe/', 'orders'],
    ['/stream/', 'chat'],
  ] as const)
    it(`gets no further request to ${path} from a gate that has passed that on`, () =>
      // Guards against gates that learn of a leave from the store alone.
      runGates(1, async ([gate]) => {
        const leaving = await addAnnouncingTarget([gate], 't1', service);
        await addAnnouncingTarget([gate], 't2', service);
        const count = await callUntilSaid(gate, path, leaving);
        const answers = await callOften(gate, path);
        expect(answers.map(({status}) => status)).toEqual(
          answers.map(() => 200),
        );
        expect(leaving.received.length).toEqual(count);
      }));

  it('gets no further request from gates that hear of it from a peer', () =>
    // Guards against a leave that each gate has to find out for itself.
    runGates(2, async gates => {
      const [first, second] = gates;
      const leaving = await addAnnouncingTarget(gates, 't1', 'orders');
      await addAnnouncingTarget(gates, 't2', 'orders');
      const count = await callUntilSaid(first, '/safe/', leaving);
      await second.waitUntil(() =>
        second.lines.some(line => line.includes('target_leaving')),
      );
      await callOften(second, '/safe/');
      expect(leaving.received.length).toEqual(count);
    }));

  it('is refused at once where no other target is left', () =>
    // Guards against requests that wait until their deadline for a target that
    // does not come back.
    runGates(1, async ([gate]) => {
      const leaving = await addAnnouncingTarget([gate], 't1', 'chat');
      await callUntilSaid(gate, '/stream/', leaving);
      const [answer] = await callOften(gate, '/stream/', 1);
      expect([answer.status, answer.body]).toEqual([
        503,
        '{"error":{"reason":"no_target"}}',
      ]);
      expect(answer.ms < 1000).toEqual(true);
    }));

  it('stays known as leaving when its entry expires and comes back', () =>
    // Guards against an outage of the store that makes a leave forgotten.
    runGates(1, async ([gate]) => {
      const leaving = await addAnnouncingTarget([gate], 't1', 'orders');
      await addAnnouncingTarget([gate], 't2', 'orders');
      const count = await callUntilSaid(gate, '/safe/', leaving);
      gate.store.dropTarget('t1');
      const isKnown = () => gate.gate['state'].findTarget('t1') !== undefined;
      await gate.waitUntil(() => !isKnown());
      gate.store.publishTarget(leaving.target.entry);
      await gate.waitUntil(isKnown);
      await callOften(gate, '/safe/');
      expect(leaving.received.length).toEqual(count);
    }));

  it('is used again when its name belongs to a new process', () =>
    // Guards against a leave that outlasts the process that has announced it.
    runGates(1, async ([gate]) => {
      const leaving = await addAnnouncingTarget([gate], 't1', 'orders');
      const count = await callUntilSaid(gate, '/safe/', leaving);
      leaving.state.leaving = undefined;
      const entry = {...leaving.target.entry, id: 't1@7', bornAt: 7};
      gate.store.publishTarget(entry);
      await gate.waitUntil(
        () => gate.gate['state'].findIncarnation('t1@7') !== undefined,
      );
      await callOften(gate, '/safe/');
      expect(leaving.received.length).toEqual(count + REQUEST_COUNT);
    }));

  it('keeps its requests if the field has another value', () =>
    // Guards against a leave that is taken from a bad value.
    runGates(1, async ([gate]) => {
      const staying = await addAnnouncingTarget([gate], 't1', 'orders');
      for (const value of ['0', '', 'no', '2']) {
        staying.state.leaving = value;
        await callOften(gate, '/safe/', 2);
      }
      expect(staying.received.length).toEqual(8);
    }));
});
