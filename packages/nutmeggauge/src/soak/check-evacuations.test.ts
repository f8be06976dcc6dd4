import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  findNotRefused,
  findSendsToEvacuated,
  findUnusedRestored,
} from './check-evacuations.js';
import {buildSchedule} from './schedule.js';
import {findTargetZone} from './soak-zones.js';
import {buildHistory} from './test-history.js';
import type {CallerRecord, InjectedFault, SoakHistory} from './history.js';

/** Targets of the zones `z` and `y`. */
const TARGET_Z = 't4-1';
const TARGET_Y = 't5-1';

const SPAN_Z = {zone: 'z', from: 1000, to: 9000};
const SPAN_Y = {zone: 'y', from: 1500, to: 8500};

function buildRecord(
  requestId: string,
  changes: Partial<CallerRecord> = {},
): CallerRecord {
  const {sentAt = 900} = changes;
  return {
    requestId,
    kind: 'safe',
    gate: 1,
    key: 'key-1',
    sentAt,
    endedAt: sentAt + 50,
    status: 200,
    isSigned: true,
    isWhole: true,
    body: '',
    hasGivenUp: false,
    ...changes,
  };
}

function buildRun(requestId: string, target: string, at: number) {
  return {requestId, target, at, hasKey: false, account: 'acme'};
}

function buildFault(
  action: InjectedFault['action'],
  beganAt: number,
): InjectedFault {
  return {action, beganAt, endedAt: beganAt + 400};
}

describe('check of requests to evacuated zones', () => {
  const findAt = (
    at: number,
    changes: Partial<SoakHistory> = {},
    target = TARGET_Z,
  ) =>
    findSendsToEvacuated(
      buildHistory({
        evacuations: [SPAN_Z],
        records: [buildRecord('a')],
        runs: [buildRun('a', target, at)],
        ...changes,
      }),
    ).map(({promise}) => promise);

  it('finds a request that arrives over five seconds after the entry and before its deletion', () => {
    expect(findAt(6000)).toEqual([]);
    expect(findAt(6001)).toEqual(['zone-evacuated']);
    expect(findAt(9000)).toEqual([]);
  });

  it('finds a request that the target refuses', () => {
    const refusal = {requestId: 'a', target: TARGET_Z, at: 7000, restMs: 700};
    expect(findAt(2000, {refusals: [refusal]})).toEqual(['zone-evacuated']);
  });

  it('finds a new reservation for a long prompt', () => {
    const ticket = 'a-1-0';
    const reservations = [{ticket, target: 't2-1', at: 7000}];
    expect(findAt(2000, {reservations})).toEqual(['zone-evacuated']);
  });

  it('leaves requests to another zone alone', () => {
    expect(findAt(7000, {}, TARGET_Y)).toEqual([]);
  });

  it('excuses a gate that was stopped or suspended in the last five seconds', () => {
    const pause = (gate: number, at: number) => ({
      faults: [buildFault({kind: 'gate-pause', gate}, at)],
    });
    expect(findAt(7500, pause(1, 2200))).toEqual([]);
    expect(findAt(7500, pause(1, 2000))).toEqual(['zone-evacuated']);
    expect(findAt(7500, pause(2, 2200))).toEqual(['zone-evacuated']);
    const outage = {node: 'gate-1', isStop: true, from: 2200, to: 2600};
    expect(findAt(7500, {outages: [outage]})).toEqual([]);
  });

  it('excuses a gate without the store only if no other gate could read it', () => {
    const cut = (gates: readonly number[]) => ({
      faults: gates.map(gate =>
        buildFault({kind: 'store-link', gate, mode: 'refuse'}, 3000),
      ),
    });
    expect(findAt(7000, cut([1]))).toEqual(['zone-evacuated']);
    expect(findAt(7000, cut([0, 1, 2]))).toEqual([]);
  });

  it('excuses requests shortly after a fault of the store, and those on a faulty link', () => {
    const store = buildFault({kind: 'store', mode: 'silent'}, 4000);
    expect(findAt(7400, {faults: [store]})).toEqual([]);
    expect(findAt(7401, {faults: [store]})).toEqual(['zone-evacuated']);
    const link = (target: number) => ({
      faults: [buildFault({kind: 'target-link', target, mode: 'delay'}, 6000)],
    });
    expect(findAt(7000, link(4))).toEqual([]);
    expect(findAt(7000, link(5))).toEqual(['zone-evacuated']);
  });
});

describe('check of requests while all zones are evacuated', () => {
  const findFor = (
    changes: Partial<CallerRecord>,
    evacuations = [SPAN_Z, SPAN_Y],
  ) =>
    findNotRefused(
      buildHistory({evacuations, records: [buildRecord('a', changes)]}),
    ).map(({promise}) => promise);

  it('finds a request that is not refused with 503', () => {
    expect(findFor({sentAt: 7000, status: 503})).toEqual([]);
    expect(findFor({sentAt: 7000, status: 504})).toEqual([
      'all-zones-evacuated',
    ]);
  });

  it('leaves requests alone of which a part falls into another time', () => {
    expect(findFor({sentAt: 6500})).toEqual([]);
    expect(findFor({sentAt: 8450})).toEqual([]);
    expect(findFor({sentAt: 7000}, [SPAN_Z])).toEqual([]);
  });

  it('leaves requests with a revoked key and those without an answer to other checks', () => {
    expect(findFor({sentAt: 7000, status: 401})).toEqual([]);
    expect(findFor({sentAt: 7000, status: undefined})).toEqual([]);
    expect(findFor({sentAt: 7000, hasGivenUp: true})).toEqual([]);
  });
});

describe('check of zones that were taken back', () => {
  const findWith = (runAt: number, sentAt = 11_001, evacuations = [SPAN_Z]) =>
    findUnusedRestored(
      buildHistory({
        evacuations,
        records: Array.from({length: 20}, (_, i) =>
          buildRecord(`q${i}`, {sentAt}),
        ),
        runs: [buildRun('q0', TARGET_Z, runAt)],
      }),
    ).map(({detail}) => detail);

  it('finds a gate that serves calls without the zone', () => {
    expect(findWith(8000)).toEqual(['z: unused by gate 1']);
    expect(findWith(9500)).toEqual([]);
  });

  it('leaves a gate alone that has served too little since then', () => {
    expect(findWith(8000, 10_999)).toEqual([]);
  });

  it('checks a zone that was evacuated twice after its last evacuation', () => {
    const again = {zone: 'z', from: 9200, to: 9700};
    expect(findWith(9100, 12_000, [SPAN_Z, again])).toEqual([
      'z: unused by gate 1',
    ]);
  });
});

describe('evacuations of the soak', () => {
  const SIZES = {
    gates: 3,
    targets: 6,
    lengthMs: 20_000,
    restores: 2,
    gateStops: 2,
  };

  it('leave the other faults of a seed unchanged and end before the fault-free time', () => {
    const others = buildSchedule(7, SIZES);
    const faults = buildSchedule(7, {...SIZES, evacuations: 3});
    expect(faults.slice(0, others.length)).toEqual([...others]);
    const added = faults.slice(others.length);
    expect(added.map(({action}) => action.kind)).toEqual([
      'zone-evacuation',
      'zone-evacuation',
      'zone-evacuation',
    ]);
    for (const {atMs, forMs} of added) {
      expect(forMs >= 6000).toEqual(true);
      expect(atMs + forMs <= 15_000).toEqual(true);
    }
  });

  it('tell the zone of a target by its id', () => {
    expect([TARGET_Z, TARGET_Y, 't0-12'].map(findTargetZone)).toEqual([
      'z',
      'y',
      'z',
    ]);
  });
});
