import {describe, it} from 'node:test';
import {expect} from 'earl';
import {COLD_BOUND, ColdFleet} from '../test/cold-fleet.js';
import {createRandom} from '../test/create-random.js';
import {startFakeClock} from '../test/fake-clock.js';
import type {ColdFleetOptions, ColdGate} from '../test/cold-fleet.js';

/** Gates of the sheet. */
const GATES = 27;

/** Time until gates that have just started agree on their homes, in ms. */
const SETTLE_MS = 8000;

/** Time for which the gates send, in ms. */
const LOAD_MS = 6000;

/** Time until the gates agree again after a change among them, in ms. */
const AGREE_AGAIN_MS = 11_000;

/** Changes among the gates in a run with random failures. */
const CHANGES = 30;

const SECOND_MS = 1000;

/** Share of the bound that the permits must allow. */
const USED_SHARE = 0.9;

/** Returns the largest number of arrivals in any closed span of one second. */
function countMostInSecond(arrivals: readonly number[]): number {
  let first = 0;
  let most = 0;
  const sorted = [...arrivals].sort((a, b) => a - b);
  for (const [i, at] of sorted.entries()) {
    while (at - sorted[first] >= SECOND_MS) first++;
    most = Math.max(most, i - first + 1);
  }
  return most;
}

/** Runs gates that agree, with a target that has just turned cold. */
async function runFleet(
  options: Partial<ColdFleetOptions>,
  run: (fleet: ColdFleet) => Promise<void>,
): Promise<ColdFleet> {
  const clock = startFakeClock(5);
  try {
    const fleet = new ColdFleet(clock, {
      gates: GATES,
      lossShare: 0,
      attemptMs: 5,
      random: createRandom(7),
      ...options,
    });
    await fleet.runFor(SETTLE_MS);
    fleet.startCold();
    await run(fleet);
    return fleet;
  } finally {
    clock.stop();
  }
}

/** Cuts a random part of the gates off from the others, or none. */
function applyCut(fleet: ColdFleet, random: () => number): void {
  const share = Math.max(0, random() - 0.4);
  const hosts = fleet.gates.map(({host}) => host);
  const side = new Set(hosts.filter(() => random() < share));
  fleet.isCut = (a, b) => side.has(a) !== side.has(b);
}

/** Requests of a run in which nine tenths of the bound were used. */
function countUsed(ms: number): number {
  return (USED_SHARE * COLD_BOUND * ms) / SECOND_MS;
}

describe('permits of a cold target', () => {
  it('keep gates that hear each other within the bound and use nine tenths of it', async () => {
    // Guards against gates that each take the target for theirs, and against a
    // bucket that wastes the bound. Load: 27 gates, 200 attempts a second each.
    const {arrivals} = await runFleet({}, fleet => fleet.runFor(LOAD_MS));
    expect(countMostInSecond(arrivals)).toBeLessThanOrEqual(COLD_BOUND);
    expect(arrivals.length).toBeGreaterThanOrEqual(countUsed(LOAD_MS));
  });

  it('keep 350 gates within the bound and use nine tenths of it', async () => {
    // Guards against a home that drowns in questions, and against shares that
    // are rounded up. Load: 350 gates, 50 attempts a second each.
    const {arrivals} = await runFleet({gates: 350, attemptMs: 20}, fleet =>
      fleet.runFor(LOAD_MS),
    );
    expect(countMostInSecond(arrivals)).toBeLessThanOrEqual(COLD_BOUND);
    expect(arrivals.length).toBeGreaterThanOrEqual(countUsed(LOAD_MS));
  });

  it('keep a fleet within the bound of which a fifth hears nobody', async () => {
    // Guards against gates that are their own home because they hear no other.
    // Load: 27 gates, 200 attempts a second each; 5 of them are cut off at once.
    const {arrivals} = await runFleet({}, async fleet => {
      const blind = new Set(fleet.gates.slice(0, 5).map(({host}) => host));
      fleet.isCut = (a, b) => blind.has(a) || blind.has(b);
      await fleet.runFor(AGREE_AGAIN_MS + LOAD_MS);
    });
    expect(countMostInSecond(arrivals)).toBeLessThanOrEqual(COLD_BOUND);
    expect(arrivals.length).toBeGreaterThan(countUsed(LOAD_MS) / 2);
  });

  it('keep both sides of a partition within the bound together', async () => {
    // Guards against two homes that each grant the whole bound.
    // Load: 13 and 14 gates, 200 attempts a second each.
    const {arrivals} = await runFleet({}, async fleet => {
      const side = new Set(fleet.gates.slice(0, 13).map(({host}) => host));
      fleet.isCut = (a, b) => side.has(a) !== side.has(b);
      await fleet.runFor(AGREE_AGAIN_MS + LOAD_MS);
      fleet.isCut = () => false;
      await fleet.runFor(AGREE_AGAIN_MS);
    });
    expect(countMostInSecond(arrivals)).toBeLessThanOrEqual(COLD_BOUND);
  });

  it('hold the bound when the home is killed, and go on with the next home', async () => {
    // Guards against a new home that grants what the old one has just granted.
    // Load: 27 gates, 200 attempts a second each; the home dies after 3 s.
    let before = 0;
    const {arrivals} = await runFleet({}, async fleet => {
      await fleet.runFor(3000);
      fleet.kill(fleet.findHome()!);
      await fleet.runFor(AGREE_AGAIN_MS);
      before = fleet.arrivals.length;
      await fleet.runFor(LOAD_MS);
    });
    expect(countMostInSecond(arrivals)).toBeLessThanOrEqual(COLD_BOUND);
    expect(arrivals.length - before).toBeGreaterThan(countUsed(LOAD_MS) * 0.9);
  });

  it('hold the bound when the home is restarted', async () => {
    // Guards against a full bucket of a home that has forgotten its grants.
    // Load: 27 gates, 200 attempts a second each; the home is back after 10 ms.
    const {arrivals} = await runFleet({}, async fleet => {
      await fleet.runFor(3000);
      const home = fleet.findHome()!;
      fleet.kill(home);
      await fleet.runFor(10);
      fleet.restart(home);
      await fleet.runFor(AGREE_AGAIN_MS + LOAD_MS);
    });
    expect(countMostInSecond(arrivals)).toBeLessThanOrEqual(COLD_BOUND);
    expect(arrivals.length).toBeGreaterThan(countUsed(LOAD_MS));
  });

  it('hold the bound and use it while other gates restart one after the other', async () => {
    // Guards against cold targets that get next to nothing in a rolling upgrade.
    // Load: 27 gates, 200 attempts a second each; one in turn is away for 4 s, so
    // that the others drop it, and 2 s pass until the next.
    const {arrivals} = await runFleet({}, async fleet => {
      const home = fleet.findHome()!;
      const others = fleet.gates.filter(gate => gate !== home).slice(1, 4);
      for (const gate of others) {
        fleet.kill(gate);
        await fleet.runFor(4000);
        fleet.restart(gate);
        await fleet.runFor(2000);
      }
    });
    expect(countMostInSecond(arrivals)).toBeLessThanOrEqual(COLD_BOUND);
    expect(arrivals.length).toBeGreaterThan(countUsed(18_000) * 0.8);
  });

  for (const seed of [1, 2])
    it(`hold the bound while gates die, return and are cut off at random (seed ${seed})`, async () => {
      // Guards against two homes that count the same gate after changes of several
      // gates. Load: 27 gates, 200 attempts a second each, a change each 0.1 to 3 s.
      const random = createRandom(seed);
      const {arrivals} = await runFleet(
        {lossShare: 0.05, random},
        async fleet => {
          const away: ColdGate[] = [];
          for (let i = 0; i < CHANGES; i++) {
            const gate = fleet.gates[Math.floor(random() * fleet.gates.length)];
            const victim = random() < 0.3 ? (fleet.findHome() ?? gate) : gate;
            const returning = random() < 0.5 ? away.shift() : undefined;
            if (returning !== undefined) fleet.restart(returning);
            else if (away.length < 5) away.push(victim);
            if (away.includes(victim)) fleet.kill(victim);
            if (random() < 0.2) applyCut(fleet, random);
            await fleet.runFor(100 + 2900 * random());
          }
        },
      );
      expect(countMostInSecond(arrivals)).toBeLessThanOrEqual(COLD_BOUND);
      expect(arrivals.length).toBeGreaterThan(COLD_BOUND);
    });

  for (const seed of [1, 2, 3])
    it(`hold the bound while one datagram in ten is lost (seed ${seed})`, async () => {
      // Guards against permits that count as unasked because their answer was
      // lost. Load: 27 gates, 200 attempts a second each.
      const {arrivals} = await runFleet(
        {lossShare: 0.1, random: createRandom(seed)},
        fleet => fleet.runFor(2 * LOAD_MS),
      );
      expect(countMostInSecond(arrivals)).toBeLessThanOrEqual(COLD_BOUND);
      expect(arrivals.length).toBeGreaterThan(countUsed(LOAD_MS) / 4);
    });
});
