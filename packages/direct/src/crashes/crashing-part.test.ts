import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {openCrashFleet} from '../test/crash-fleet.js';
import type {CrashFleet, CrashFleetOptions} from '../test/crash-fleet.js';
import type {ReceivedResponse} from '../test/gate-harness.js';

/** Part of a prompt under which every server crashes. */
const BAD_PART = 'bad';

/** Most servers that may end under requests that come one at a time. */
const MAX_CRASHES = 3;

/** Number of servers that must never end, however many requests come at once. */
const TOO_MANY_CRASHES = 6;

/** Time between two crashing requests, in ms. */
const INTERVAL_MS = 150;

/** Number of crashing requests, no two alike. */
const CRASHING_COUNT = 20;

async function runWithFleet(
  options: Partial<CrashFleetOptions>,
  test: (fleet: CrashFleet) => Promise<void>,
): Promise<void> {
  const fleet = await openCrashFleet({
    gates: 3,
    targets: 12,
    isCrashing: (_body, parts) => parts.slice(0, -1).includes(BAD_PART),
    ...options,
  });
  try {
    await test(fleet);
  } finally {
    fleet.close();
  }
}

/** Sends a crashing request that shares no other part with earlier ones. */
function callBad(fleet: CrashFleet, i: number): Promise<ReceivedResponse> {
  return fleet.call({
    gate: i % fleet.gates.length,
    body: `crashing ${i}`,
    parts: [`first${i}`, BAD_PART, `own${i}`],
  });
}

/** Counts answers that are complete streams. */
function countWhole(
  fleet: CrashFleet,
  answers: readonly ReceivedResponse[],
): number {
  return answers.filter(answer => fleet.isWholeStream(answer)).length;
}

describe('part of a prompt under which servers crash', () => {
  it('ends no further server after three, in requests of which no two are alike', () =>
    // Guards against requests that end server after server because only their
    // whole contents are compared.
    runWithFleet({}, async fleet => {
      for (let i = 0; i < CRASHING_COUNT; i++) await callBad(fleet, i);
      expect(fleet.crashes <= MAX_CRASHES).toEqual(true);
      expect(fleet.received.length <= MAX_CRASHES).toEqual(true);
    }));

  it('ends less than six servers when ten gates have a request with it on the way', () =>
    // Guards against requests under way that go on after the part is known.
    runWithFleet({gates: 10, targets: 24, crashDelayMs: 150}, async fleet => {
      const calls: Array<Promise<ReceivedResponse>> = [];
      for (let i = 0; i < CRASHING_COUNT; i++) {
        calls.push(callBad(fleet, i));
        await sleep(60);
      }
      await Promise.all(calls);
      expect(fleet.crashes < TOO_MANY_CRASHES).toEqual(true);
    }));

  it('leaves requests alone that share the caller and all other parts', () =>
    // Guards against sound requests that are refused, or lost in crashes, because
    // of a part that they do not hold.
    runWithFleet({}, async fleet => {
      const sound: Array<Promise<ReceivedResponse>> = [];
      for (let i = 0; i < CRASHING_COUNT; i++) {
        const shared = ['common', `session${i % 3}`];
        void fleet.call({
          gate: i % 3,
          body: `crashing ${i}`,
          parts: [shared[0], BAD_PART, shared[1], `own${i}`],
        });
        for (let gate = 0; gate < 3; gate++)
          sound.push(
            fleet.call({
              gate,
              body: `sound ${i} ${gate}`,
              parts: [...shared, `sound${i}${gate}`],
            }),
          );
        await sleep(INTERVAL_MS);
      }
      const answers = await Promise.all(sound);
      expect(fleet.crashes <= MAX_CRASHES).toEqual(true);
      expect(countWhole(fleet, answers)).toEqual(answers.length);
    }));
});
