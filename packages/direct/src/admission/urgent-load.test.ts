import {describe, it} from 'node:test';
import {expect} from 'earl';
import {AdmissionLoad} from '../test/admission-load.js';
import {createAdmissionQueue} from './admission-queue.js';
import {UrgencyOrder} from './admission-order.js';
import type {LoadKind} from '../test/admission-load.js';

/** Eight slots on each of ten engines. */
const SLOTS = 80;

const RUN_MS = 30_000;

/** Urgent short streams at 1.2 times the capacity. */
const URGENT: LoadKind = {
  name: 'urgent',
  urgency: 0,
  perSecond: 96,
  holdMs: 1000,
  objectiveMs: 259,
  promptTokens: 4960,
};

const LONG: LoadKind = {
  name: 'long',
  urgency: 1,
  perSecond: 2,
  holdMs: 3000,
  objectiveMs: 8024,
  promptTokens: 220_000,
};

async function runLoad(kinds: readonly LoadKind[], isByUrgency: boolean) {
  const load = new AdmissionLoad(
    {
      slots: SLOTS,
      createOrder: isByUrgency ? () => new UrgencyOrder() : undefined,
    },
    kinds,
  );
  await load.run(RUN_MS);
  if (process.env.PRINT_LOAD !== undefined)
    for (const {name} of kinds) {
      const {offered, placed, late, refused, slowestRefusalMs} =
        load.find(name);
      console.log({name, offered, placed, late, refused, slowestRefusalMs});
    }
  return load;
}

describe('UrgencyOrder under load', () => {
  it('keeps long streams going while urgent short ones exceed the capacity', async () => {
    // Guards against starvation of the less urgent streams.
    const load = await runLoad([URGENT, LONG], true);
    const all = measureAll(load, ['urgent', 'long']);
    expect(load.measurePlaced('long') > all / 4).toEqual(true);
    // Long streams may wait 30 times as long and would outlast the urgent ones.
    expect(
      load.measurePlaced('urgent') >= load.measurePlaced('long') - 0.05,
    ).toEqual(true);
    expect(load.measurePlaced('urgent') > 0.75).toEqual(true);
    expect(load.find('urgent').late).toEqual(0);
  });

  it('serves urgent streams no less than other streams of the same length', async () => {
    // Guards against a reserved share of turns that favours the less urgent
    // streams when they are few.
    const other = {...URGENT, name: 'other', urgency: 1, perSecond: 24};
    const load = await runLoad([URGENT, other], true);
    const all = measureAll(load, ['urgent', 'other']);
    const plain = await runLoad([URGENT, other], false);
    expect(load.measurePlaced('urgent') > load.measurePlaced('other')).toEqual(
      true,
    );
    expect(
      load.measurePlaced('urgent') > plain.measurePlaced('urgent'),
    ).toEqual(true);
    expect(load.measurePlaced('other') > all / 4).toEqual(true);
  });

  it('lets a less urgent stream give way to an urgent newcomer', async () => {
    // Guards against urgent newcomers that are refused while less urgent streams
    // wait in their place.
    const decisions: string[] = [];
    const queue = createAdmissionQueue({
      countSlots: () => 80,
      countGates: () => 1,
      readNow: () => 0,
      order: new UrgencyOrder(),
      onDecision: ({kind, cause, stream, other}) =>
        decisions.push(
          [stream.requestId, kind, other?.requestId, cause].join(),
        ),
    });
    const {signal} = new AbortController();
    const enter = (requestId: string, urgency: number) =>
      queue.enter(
        {
          requestId,
          urgency,
          arrivedAt: 0,
          objectiveMs: 250,
          promptTokens: 1,
          tryPlace: () => true,
        },
        signal,
      );
    const waiting = ['w1', 'w2', 'w3'].map(id => enter(id, 1));
    const urgent = enter('u1', 0);
    expect(await waiting[2]).toEqual('refused');
    expect(await enter('w4', 1)).toEqual('refused');
    queue.advance();
    expect(await Promise.all([urgent, ...waiting])).toEqual([
      'placed',
      'placed',
      'placed',
      'refused',
    ]);
    expect(decisions).toEqual(['w3,gave_way,u1,urgency']);
  });

  it('places a small newcomer past a large urgent prompt that waits', () => {
    // Guards against small prompts that wait for a large one which finds too
    // little KV cache while slots are free.
    const queue = createAdmissionQueue({
      countSlots: () => 80,
      countGates: () => 1,
      readNow: () => 0,
      order: new UrgencyOrder(),
    });
    const caller = new AbortController();
    const build = (urgency: number, promptTokens: number) => ({
      urgency,
      promptTokens,
      arrivedAt: 0,
      objectiveMs: 1000,
      tryPlace: () => false,
    });
    void queue.enter(build(0, 220_000), caller.signal);
    expect(queue.isOutranked(build(1, 5000))).toEqual(false);
    expect(queue.isOutranked(build(1, 200_000))).toEqual(true);
    expect(queue.isOutranked(build(0, 200_000))).toEqual(false);
    caller.abort();
  });

  it('places a newcomer past an urgent stream that waits for other zones', () => {
    // Guards against streams that wait, or are refused, in an idle zone because
    // an urgent stream may run in a full one only.
    const queue = createAdmissionQueue({
      countSlots: () => 80,
      countGates: () => 1,
      readNow: () => 0,
      order: new UrgencyOrder(),
    });
    const caller = new AbortController();
    const build = (urgency: number, zones?: readonly string[]) => ({
      urgency,
      allowedZones: zones && new Set(zones),
      promptTokens: 5000,
      arrivedAt: 0,
      objectiveMs: 1000,
      tryPlace: () => false,
    });
    void queue.enter(build(0, ['az-1']), caller.signal);
    expect(queue.isOutranked(build(1))).toEqual(false);
    expect(queue.isOutranked(build(1, ['az-1', 'az-2']))).toEqual(false);
    expect(queue.isOutranked(build(1, ['az-1']))).toEqual(true);
    caller.abort();
  });

  it('holds nobody back once no urgent stream is refused any more', () => {
    // Guards against less urgent streams that are refused although no urgent one
    // takes the slots.
    const order = new UrgencyOrder();
    const build = (urgency: number) => ({
      urgency,
      promptTokens: 5000,
      arrivedAt: 0,
      objectiveMs: 1000,
      tryPlace: () => false,
    });
    for (let i = 0; i < 100; i++) {
      order.record(build(0), i % 2 === 0 ? 'refused' : 'placed', 0);
      order.record(build(1), 'placed', 0);
    }
    expect(order.findHoldCause(build(1), 500)).toEqual('urgency');
    expect(order.findHoldCause(build(0), 500)).toEqual(undefined);
    expect(order.findHoldCause(build(1), 1500)).toEqual(undefined);
  });

  it('counts a stream that gives up its wait as refused', async () => {
    // Guards against refused streams that raise the placed share of their kind,
    // for which later ones would be held back.
    const queue = createAdmissionQueue({
      countSlots: () => 80,
      countGates: () => 1,
      readNow: () => 0,
    });
    const {signal} = new AbortController();
    const stream = {arrivedAt: 0, objectiveMs: 1000, promptTokens: 5000};
    const outcome = queue.enter({...stream, tryPlace: () => 'refused'}, signal);
    queue.advance();
    expect(await outcome).toEqual('refused');
  });

  it('serves many less urgent streams at least a quarter as often as all', async () => {
    const other = {...URGENT, name: 'other', urgency: 3, perSecond: 300};
    const load = await runLoad([URGENT, other], true);
    const all = measureAll(load, ['urgent', 'other']);
    expect(load.measurePlaced('other') > all / 4).toEqual(true);
    expect(load.measurePlaced('urgent') > load.measurePlaced('other')).toEqual(
      true,
    );
  });

  it('refuses streams within the time that they may wait', async () => {
    // Guards against a stream that is kept waiting although more urgent ones
    // have taken its place.
    const other = {...URGENT, name: 'other', urgency: 1, perSecond: 60};
    const load = await runLoad([URGENT, other, LONG], true);
    for (const kind of [URGENT, other, LONG])
      expect(
        load.find(kind.name).slowestRefusalMs <= kind.objectiveMs * 0.35 + 1,
      ).toEqual(true);
  });

  it('leaves the order as it is among equally urgent streams', async () => {
    const long = {...LONG, urgency: 0};
    const load = await runLoad([URGENT, long], true);
    const plain = await runLoad([URGENT, long], false);
    expect([...load.outcomes]).toEqual([...plain.outcomes]);
  });
});

function measureAll(load: AdmissionLoad, names: readonly string[]): number {
  const kinds = names.map(name => load.find(name));
  const placed = kinds.reduce((sum, kind) => sum + kind.placed, 0);
  const refused = kinds.reduce((sum, kind) => sum + kind.refused, 0);
  return placed / (placed + refused);
}
