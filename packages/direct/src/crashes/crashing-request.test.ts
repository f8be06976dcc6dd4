import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {CRASHING_BODY, openCrashFleet} from '../test/crash-fleet.js';
import type {CrashFleet, CrashFleetOptions} from '../test/crash-fleet.js';

/** Most servers that may end under one request. */
const MAX_CRASHES = 3;

/** Number of times that the caller sends the request again. */
const REPEATS = 9;

/** Time within which every gate must know of the third crash, in ms. */
const CONTACT_MS = 3000;

/** Runs a test with a fleet and closes the fleet. */
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

/** Sends the crashing request until one gate refuses it. */
async function sendUntilRefused(fleet: CrashFleet, gate = 0): Promise<void> {
  for (let i = 0; i < REPEATS; i++) {
    const {status} = await fleet.call({gate, body: CRASHING_BODY});
    if (status === 503) return;
  }
  throw new Error(`not refused within ${REPEATS} requests`);
}

describe('request under which servers crash', () => {
  it('reaches no server any more after three have crashed, from whichever gate', () =>
    // Guards against a request that ends server after server because each gate
    // takes every retry for a new request.
    runWithFleet({}, async fleet => {
      for (let i = 0; i < REPEATS; i++)
        await fleet.call({gate: i % 3, body: CRASHING_BODY});
      expect(fleet.crashes <= MAX_CRASHES).toEqual(true);
      expect(fleet.countReceived(CRASHING_BODY) <= MAX_CRASHES).toEqual(true);
    }));

  it('is refused with a time to come back, and requests beside it are served', () =>
    // Guards against a caller that is told to retry at once, and against
    // refusing the other requests of the same account.
    runWithFleet({}, async fleet => {
      for (let i = 0; i < MAX_CRASHES; i++)
        await fleet.call({gate: i % 3, body: CRASHING_BODY});
      const refused = await fleet.call({gate: 2, body: CRASHING_BODY});
      expect(refused.status).toEqual(503);
      expect(Number(refused.retryAfter) > 60).toEqual(true);
      const answers = await Promise.all(
        [0, 1, 2].map(gate => fleet.call({gate, body: 'sound'})),
      );
      expect(answers.map(answer => fleet.isWholeStream(answer))).toEqual([
        true,
        true,
        true,
      ]);
    }));

  it('is refused by all gates in time when the announcements are lost', () =>
    // Guards against a gate that never hears of a crash whose datagram was lost.
    runWithFleet({}, async fleet => {
      for (const {gate} of fleet.gates)
        gate['peers'].announceCrashes = () => undefined;
      await sendUntilRefused(fleet);
      await sleep(CONTACT_MS);
      const before = fleet.countReceived(CRASHING_BODY);
      for (const gate of [1, 2])
        expect((await fleet.call({gate, body: CRASHING_BODY})).status).toEqual(
          503,
        );
      expect(fleet.countReceived(CRASHING_BODY)).toEqual(before);
    }));

  it('is refused by a gate that has restarted in time', () =>
    // Guards against a restarted gate that knows of no crash.
    runWithFleet({}, async fleet => {
      await sendUntilRefused(fleet);
      // The other gates repeat nothing any more by then.
      await sleep(CONTACT_MS + 500);
      await fleet.restartGate(1);
      await sleep(CONTACT_MS);
      const before = fleet.countReceived(CRASHING_BODY);
      const {status} = await fleet.call({gate: 1, body: CRASHING_BODY});
      expect(status).toEqual(503);
      expect(fleet.countReceived(CRASHING_BODY)).toEqual(before);
    }));

  it('does not run at a second gate while it may crash a server of the first', () =>
    // Guards against copies of a suspect request that crash a server each.
    runWithFleet({crashDelayMs: 300}, async fleet => {
      const first = fleet.call({gate: 0, body: CRASHING_BODY});
      while (fleet.crashes < 1) await sleep(5);
      // Lets the first gate place its second attempt and announce it.
      await sleep(100);
      const copies = await Promise.all(
        [1, 2, 1, 2].map(gate => fleet.call({gate, body: CRASHING_BODY})),
      );
      await first;
      expect(copies.map(({status}) => status)).toEqual([503, 503, 503, 503]);
      expect(fleet.countReceived(CRASHING_BODY)).toEqual(2);
    }));

  it('is cancelled where it still waits for its first event when it is refused', () =>
    // Guards against attempts under way at the last crash that end more servers.
    runWithFleet({crashDelayMs: 150}, async fleet => {
      const calls = [fleet.call({gate: 0, body: CRASHING_BODY})];
      await sleep(75);
      calls.push(fleet.call({gate: 1, body: CRASHING_BODY}));
      await sleep(100);
      calls.push(fleet.call({gate: 2, body: CRASHING_BODY}));
      await Promise.all(calls);
      expect(fleet.crashes).toEqual(2);
    }));

  it('of one account leaves the same request of another account alone', () =>
    // Guards against a caller who makes the gates refuse another caller.
    runWithFleet({isCrashing: () => fleetIsCrashing}, async fleet => {
      await sendUntilRefused(fleet);
      fleetIsCrashing = false;
      const call = {gate: 0, body: CRASHING_BODY};
      expect((await fleet.call(call)).status).toEqual(503);
      const other = await fleet.call({...call, key: 'k2'});
      expect(fleet.isWholeStream(other)).toEqual(true);
    }).finally(() => {
      fleetIsCrashing = true;
    }));
});

let fleetIsCrashing = true;

describe('request that servers break off without a crash', () => {
  it('is sent again however often', () =>
    // Guards against a request that is blamed for servers that spoil answers.
    runWithFleet({isOnlyCut: true}, async fleet => {
      for (let i = 0; i < REPEATS; i++)
        await fleet.call({gate: i % 3, body: CRASHING_BODY});
      expect(fleet.countReceived(CRASHING_BODY)).toEqual(2 * REPEATS);
    }));
});

describe('requests beside servers that crash', () => {
  it('are all served when servers crash under none of them', () =>
    // Guards against a wave of crashes that makes the gates refuse requests.
    runWithFleet({}, async fleet => {
      const calls: Array<ReturnType<CrashFleet['call']>> = [];
      for (let wave = 0; wave < 3; wave++) {
        for (let i = 0; i < 24; i++)
          calls.push(fleet.call({gate: i % 3, body: `sound ${wave} ${i}`}));
        await sleep(30);
        void fleet.endTargets(3);
        await sleep(400);
      }
      const answers = await Promise.all(calls);
      const isRefused = answers.filter(({body}) =>
        body.includes('crashes_servers'),
      );
      expect(isRefused.length).toEqual(0);
    }));

  it('go on to another server when the one that they share crashes', () =>
    // Guards against a crash that costs other callers their answers.
    runWithFleet({targets: 3, crashDelayMs: 100}, async fleet => {
      const calls = Array.from({length: 9}, (_, i) =>
        fleet.call({gate: i % 3, body: `sound ${i}`}),
      );
      await fleet.call({gate: 0, body: CRASHING_BODY});
      const answers = await Promise.all(calls);
      expect(
        answers.filter(answer => fleet.isWholeStream(answer)).length,
      ).toEqual(9);
    }));
});

describe('call under which plain servers crash', () => {
  const OPTIONS = {service: 'orders', targets: 9} as const;

  it('reaches no server any more after three have crashed if it is safe', () =>
    // Guards against hedges and retries that end one server after the other.
    runWithFleet(OPTIONS, async fleet => {
      for (let i = 0; i < REPEATS; i++)
        await fleet.call({
          gate: i % 3,
          body: CRASHING_BODY,
          path: '/safe/x',
        });
      expect(fleet.crashes <= MAX_CRASHES).toEqual(true);
      expect(fleet.countReceived(CRASHING_BODY) <= MAX_CRASHES).toEqual(true);
    }));

  it('reaches no server any more after three have crashed if it is unsafe', () =>
    // Guards against unsafe calls that are never retried but come again.
    runWithFleet(OPTIONS, async fleet => {
      const call = {body: CRASHING_BODY, path: '/unsafe2/x'};
      const statuses: number[] = [];
      for (let i = 0; i < REPEATS; i++)
        statuses.push((await fleet.call({...call, gate: i % 3})).status);
      expect(fleet.crashes <= MAX_CRASHES).toEqual(true);
      // A call that may have run is not answered with a status that denies it.
      expect(statuses).toEqual([502, 502, ...Array(REPEATS - 2).fill(503)]);
    }));
});
