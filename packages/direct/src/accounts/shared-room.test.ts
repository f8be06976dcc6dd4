import {describe, it} from 'node:test';
import {expect} from 'earl';
import {AdmissionLoad} from '../test/admission-load.js';
import {createRandom} from '../test/create-random.js';
import {AccountUsage} from './account-usage.js';
import {SharedRoomOrder} from './shared-room-order.js';
import type {LoadKind} from '../test/admission-load.js';

const SLOTS = 80;

/** Number of accounts of the configuration. */
const ACCOUNTS = 24;

const HOLD_MS = 1000;

/** Streams a second of one account that would use an equal share of the slots. */
const FAIR_PER_SECOND = (SLOTS * 1000) / HOLD_MS / ACCOUNTS;

const HEARTBEAT_MS = 1000;

function buildKind(name: string, perSecond: number): LoadKind {
  return {
    name,
    account: name,
    perSecond,
    holdMs: HOLD_MS,
    objectiveMs: 600,
    promptTokens: 4960,
  };
}

const BURST = buildKind('burst', FAIR_PER_SECOND * 20);

/** Accounts that use seven tenths of their share. */
const OTHERS = Array.from({length: ACCOUNTS - 1}, (_, i) =>
  buildKind(`other-${i}`, FAIR_PER_SECOND * 0.7),
);

interface RoomOptions {
  readonly gates?: number;
  readonly ms?: number;
  /** Whether accounts are told apart; true unless given. */
  readonly isShared?: boolean;
  /** Returns whether the heartbeat of a gate to another one arrives. */
  readonly isHeard?: (from: number, to: number) => boolean;
}

async function runRoom(
  kinds: readonly LoadKind[],
  {gates = 1, ms = 20_000, isShared = true, isHeard}: RoomOptions = {},
) {
  let now = 0;
  // The clocks of the gates differ by days.
  const usages = Array.from(
    {length: gates},
    (_, gate) =>
      new AccountUsage({
        countAccounts: () => (isShared ? ACCOUNTS : 1),
        readNow: () => now + gate * 1e8,
      }),
  );
  const load = new AdmissionLoad(
    {
      slots: SLOTS,
      gates,
      createOrder: (_, gate) => new SharedRoomOrder(usages[gate]),
      onPlaced: (gate, {account, holdMs}) =>
        usages[gate].recordPlacement(account, holdMs),
      onTick: at => {
        now = at + 1;
        if (now % HEARTBEAT_MS !== 0) return;
        for (const [from, usage] of usages.entries()) {
          const report = usage.buildReport();
          for (const [to, peer] of usages.entries())
            if (to !== from && (isHeard?.(from, to) ?? true))
              peer.applyReport(`gate-${from}`, report);
        }
      },
    },
    kinds,
  );
  await load.run(ms);
  const outcome = {
    load,
    burst: load.outcomes.has('burst') ? load.measurePlaced('burst') : 0,
    others: measureOthers(load),
    least: Math.min(
      ...[...load.outcomes.keys()].map(name => load.measurePlaced(name)),
    ),
  };
  if (process.env.PRINT_LOAD !== undefined) {
    const {burst, others, least} = outcome;
    console.log({gates, isShared, burst, others, least});
  }
  return outcome;
}

function measureOthers(load: AdmissionLoad): number {
  const names = [...load.outcomes.keys()].filter(name => name !== 'burst');
  const outcomes = names.map(name => load.find(name));
  const placed = outcomes.reduce((sum, other) => sum + other.placed, 0);
  const refused = outcomes.reduce((sum, other) => sum + other.refused, 0);
  return placed / (placed + refused);
}

describe('SharedRoomOrder under load', () => {
  it('serves the usual traffic of the others during the burst of one account', async () => {
    const kinds = [BURST, ...OTHERS];
    const plain = await runRoom(kinds, {isShared: false});
    const shared = await runRoom(kinds);
    expect(plain.others < 0.75).toEqual(true);
    expect(shared.others > 0.97).toEqual(true);
    // What the others leave unused is lent.
    const placed = [...shared.load.outcomes.values()].reduce(
      (sum, outcome) => sum + outcome.placed,
      0,
    );
    expect(placed > SLOTS * 20 * 0.97).toEqual(true);
  });

  it('lets an account that is alone take all', async () => {
    const plain = await runRoom([BURST, buildKind('idle', 0)], {
      isShared: false,
    });
    const shared = await runRoom([BURST, buildKind('idle', 0)]);
    expect([...shared.load.outcomes]).toEqual([...plain.load.outcomes]);
  });

  it('keeps the order between accounts of about equal use', async () => {
    const plain = await runRoom([buildKind('a', 48), buildKind('b', 48)], {
      isShared: false,
    });
    const shared = await runRoom([buildKind('a', 48), buildKind('b', 48)]);
    expect([...shared.load.outcomes]).toEqual([...plain.load.outcomes]);
  });

  it('gives a lent share back within a second', async () => {
    const burst = buildKind('burst', 200);
    const owner = {...buildKind('owner', 30), startsAt: 10_000};
    const {load} = await runRoom([burst, owner], {ms: 11_000});
    const {placed, refused, waitsMs} = load.find('owner');
    expect(placed > 10).toEqual(true);
    expect(refused <= 1).toEqual(true);
    expect(Math.max(...waitsMs) < 210).toEqual(true);
  });

  it('serves an account that always needs several shares a quarter as often as all', async () => {
    // Guards against starvation of the largest account while all others together
    // take almost all room.
    const others = OTHERS.map(({name}) =>
      buildKind(name, FAIR_PER_SECOND * 1.02),
    );
    const {load, burst} = await runRoom([BURST, ...others]);
    const all = [...load.outcomes.values()];
    const placed = all.reduce((sum, outcome) => sum + outcome.placed, 0);
    const offered = all.reduce((sum, outcome) => sum + outcome.offered, 0);
    expect(burst > placed / offered / 4).toEqual(true);
  });

  it('gives nothing more to an account that repeats refused requests', async () => {
    const kinds = [BURST, ...OTHERS];
    const once = await runRoom(kinds);
    const repeated = await runRoom([{...BURST, repeats: 20}, ...OTHERS]);
    expect(repeated.others > once.others - 0.02).toEqual(true);
  });

  it('gives the same shares at gates that hear each other as at one', async () => {
    const kinds = [BURST, ...OTHERS];
    const one = await runRoom(kinds);
    const six = await runRoom(kinds, {gates: 6});
    expect(Math.abs(six.others - one.others) < 0.05).toEqual(true);
    expect(Math.abs(six.burst - one.burst) < 0.05).toEqual(true);
  });

  it('protects the others at a blind gate and while datagrams are lost', async () => {
    const kinds = [BURST, ...OTHERS];
    const random = createRandom(5);
    const lossy = await runRoom(kinds, {
      gates: 6,
      isHeard: () => random() < 0.5,
    });
    const blind = await runRoom(kinds, {
      gates: 6,
      isHeard: (from, to) => from !== 0 && to !== 0,
    });
    for (const {others} of [lossy, blind]) expect(others > 0.93).toEqual(true);
  });
});
