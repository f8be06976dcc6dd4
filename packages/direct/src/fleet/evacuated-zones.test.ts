import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {NO_POSITION} from './fact-position.js';
import {buildPosition, buildTarget} from '../test/build-target.js';
import {buildConfig} from '../test/gate-harness.js';
import {decodeSharedFacts} from '../peers/shared-facts.js';
import {EvacuatedZones} from './evacuated-zones.js';
import {createFleetState} from './fleet-state.js';
import type {FleetState} from './fleet-state.js';
import type {SharedFacts} from './fleet-types.js';

const NO_FACTS_KNOWN = {configVersion: 0, position: NO_POSITION};

/** Number of restored zones that a gate remembers. */
const MAX_RESTORED = 64;

/** Applies a full read of a store that holds `evacuations` by their revisions. */
function applyRead(
  state: FleetState,
  revision: number,
  evacuations: Readonly<Record<string, number>> = {},
  {era = 0, malformedZones = [] as readonly string[]} = {},
): void {
  state.applySnapshot({
    position: buildPosition(revision, era),
    config: buildConfig(1),
    targets: [{...buildTarget('a', 1), position: buildPosition(1, era)}],
    malformed: [],
    evacuations: Object.entries(evacuations).map(([zone, written]) => ({
      zone,
      position: buildPosition(written, era),
    })),
    malformedZones,
  });
}

function createState(
  ...read: [revision: number, evacuations?: Readonly<Record<string, number>>]
): FleetState {
  const state = createFleetState(() => 0);
  applyRead(state, ...read);
  return state;
}

function applyEntry(
  state: FleetState,
  kind: 'zone-evacuated' | 'zone-restored',
  revision: number,
  era = 0,
): void {
  state.applyChange({kind, zone: 'z', position: buildPosition(revision, era)});
}

/** Returns facts in the form in which a peer receives them. */
function describeOnWire(state: FleetState): SharedFacts {
  const text = JSON.stringify(state.describeShared(NO_FACTS_KNOWN));
  return decodeSharedFacts(JSON.parse(text));
}

describe('evacuated zones', () => {
  it('follow the newer of an entry and its deletion, in any order', () => {
    // Guards against a late entry that evacuates a restored zone again.
    const state = createState(5);
    applyEntry(state, 'zone-restored', 9);
    applyEntry(state, 'zone-evacuated', 8);
    expect(state.isEvacuated('z')).toEqual(false);
    applyEntry(state, 'zone-evacuated', 10);
    applyEntry(state, 'zone-restored', 9);
    expect(state.isEvacuated('z')).toEqual(true);
  });

  it('are no longer listed as usable and are counted', () => {
    const state = createState(5, {'az-1': 4});
    const [target] = [state.findTarget('a')];
    expect(state.listUsable('chat')).toEqual([]);
    expect(state.listEngines()).toEqual([]);
    expect(target !== undefined && state.isUsable(target)).toEqual(false);
    expect(state.evacuatedCount).toEqual(1);
    expect(state.isWhollyEvacuated('chat')).toEqual(true);
  });

  it('advance the position of the gate, so that peers ask for them', () => {
    // Guards against a gate that cannot reach the store and finds no peer to ask.
    const blind = createState(5);
    const state = createState(5);
    applyEntry(state, 'zone-evacuated', 6);
    expect(blind.isBehind(state.position)).toEqual(true);
  });

  it('are restored by a later read of the store that lacks the entry', () => {
    // Guards against an evacuation that lasts because its deletion was lost with
    // the history.
    const state = createState(5, {z: 4});
    applyRead(state, 3);
    expect(state.isEvacuated('z')).toEqual(true);
    applyRead(state, 8);
    expect(state.isEvacuated('z')).toEqual(false);
  });

  it('stay evacuated while a restored copy of the store lacks the entry', () => {
    // Guards against a restore of the store that takes an evacuation back.
    const state = createState(50, {z: 40});
    applyRead(state, 20, {}, {era: 1});
    applyRead(state, 25, {}, {era: 1});
    expect(state.isEvacuated('z')).toEqual(true);
    applyEntry(state, 'zone-evacuated', 26, 1);
    applyEntry(state, 'zone-restored', 27, 1);
    expect(state.isEvacuated('z')).toEqual(false);
  });

  it('stay restored if a restored copy of the store still has the entry', () => {
    // Guards against a restore of the store that evacuates a zone again.
    const state = createState(35, {z: 30});
    applyEntry(state, 'zone-restored', 40);
    for (const revision of [32, 33]) {
      applyRead(state, revision, {z: 30}, {era: 1});
      expect(state.isEvacuated('z')).toEqual(false);
    }
    applyEntry(state, 'zone-evacuated', 34, 1);
    expect(state.isEvacuated('z')).toEqual(true);
  });

  it('are restored by a deletion after a restore that another gate reads late', () => {
    // Guards against a gate that reads a restored store late and makes its peers
    // evacuate a zone again that was restored meanwhile.
    const early = createState(50, {z: 40});
    applyRead(early, 20, {}, {era: 1});
    applyEntry(early, 'zone-evacuated', 21, 1);
    applyEntry(early, 'zone-restored', 22, 1);
    const late = createState(50, {z: 40});
    applyRead(late, 30, {}, {era: 1});
    early.applyShared(describeOnWire(late));
    late.applyShared(describeOnWire(early));
    expect([early, late].map(state => state.isEvacuated('z'))).toEqual([
      false,
      false,
    ]);
  });

  it('are learned from a peer, also if the list of targets is up to date', () => {
    // Guards against evacuations that are ignored because nothing else is newer.
    const state = createState(5);
    const peer = createState(5, {z: 6});
    const events: string[] = [];
    state.onChange(({event, id, source}) =>
      events.push(`${event} ${id} ${source}`),
    );
    const facts = {...describeOnWire(peer), position: state.position};
    state.applyShared(facts);
    expect(state.isEvacuated('z')).toEqual(true);
    expect(events).toEqual(['zone_evacuated z peer']);
  });

  it('are restored by a peer that has started after the deletion', () => {
    // Guards against a gate that cannot reach the store and keeps an evacuation
    // that no peer remembers.
    const state = createState(5, {z: 4});
    state.applyShared(describeOnWire(createState(9)));
    expect(state.isEvacuated('z')).toEqual(false);
  });

  it('are not changed by a peer of an earlier version, which sends none', () => {
    // Guards against a peer that knows no evacuations and so seems to end them.
    const state = createState(5, {z: 4});
    const {evacuations, ...facts} = describeOnWire(createState(9));
    expect(evacuations?.zones).toEqual([]);
    state.applyShared(facts);
    expect(state.isEvacuated('z')).toEqual(true);
  });

  it('are not taken from a peer that has missed a deletion', () => {
    // Guards against a gate that has just started and learns outdated facts.
    const state = createState(9);
    state.mergeShared(describeOnWire(createState(5, {z: 4})));
    expect(state.isEvacuated('z')).toEqual(false);
  });

  it('of a gate that starts after a restore are those of its peers', () => {
    // Guards against a gate that takes a restored copy for the truth.
    const peer = createState(50, {y: 40, z: 30});
    applyEntry(peer, 'zone-restored', 45);
    applyRead(peer, 32, {z: 30}, {era: 1});
    const state = createFleetState(() => 0);
    applyRead(state, 33, {z: 30}, {era: 1});
    state.mergeShared(describeOnWire(peer));
    expect(['y', 'z'].map(zone => state.isEvacuated(zone))).toEqual([
      true,
      false,
    ]);
  });

  it('hold while their entry is malformed, for this gate and its peers', () => {
    // Guards against a damaged entry that ends the evacuation of its zone.
    const state = createState(5, {z: 4});
    const started = createFleetState(() => 0);
    for (const one of [state, started])
      applyRead(one, 9, {}, {malformedZones: ['z']});
    state.applyShared(describeOnWire(started));
    expect(state.isEvacuated('z')).toEqual(true);
    started.applyShared(describeOnWire(state));
    expect(started.isEvacuated('z')).toEqual(true);
    applyRead(state, 10);
    expect(state.isEvacuated('z')).toEqual(false);
  });

  it('hold although a gate that passes on the facts of another never read the malformed entry', () => {
    // Guards against a malformed entry that ends the evacuation of its zone by way
    // of a gate that cannot reach the store.
    const state = createState(5, {z: 4});
    const reader = createFleetState(() => 0);
    applyRead(reader, 9, {}, {malformedZones: ['z']});
    const between = createState(3);
    between.applyShared(describeOnWire(reader));
    state.applyShared(describeOnWire(between));
    expect(state.isEvacuated('z')).toEqual(true);
    between.applyShared(describeOnWire(state));
    expect(between.isEvacuated('z')).toEqual(true);
  });

  it('are restored by a peer that has read later and missed the evacuation', () => {
    // Guards against an older deletion that hides that the entry is gone.
    const peer = createState(1);
    applyEntry(peer, 'zone-restored', 2);
    applyRead(peer, 9);
    const state = createState(5, {z: 4});
    state.applyShared(describeOnWire(peer));
    expect(state.isEvacuated('z')).toEqual(false);
  });

  it('are remembered as restored in bounded number', () => {
    // Guards against facts between gates that grow with the names once used.
    const zones = new EvacuatedZones();
    for (let i = 0; i < 3 * MAX_RESTORED; i++) {
      const zone = `z${i}`;
      for (const isEvacuated of [true, false]) {
        const position = buildPosition(2 * i + (isEvacuated ? 1 : 2));
        zones.apply({zone, isEvacuated, position});
      }
    }
    expect(zones.describeShared().zones.length).toEqual(MAX_RESTORED);
  });

  it('of all gates equal the store once one has read it and told the others', () => {
    // Guards against an order of reads and hand-overs that leaves a gate behind.
    const step = fc.oneof(
      fc.record({
        kind: fc.constantFrom('write' as const),
        zone: fc.constantFrom('y', 'z'),
        isEvacuated: fc.boolean(),
      }),
      fc.record({
        kind: fc.constantFrom('read' as const, 'watch' as const),
        gate: fc.nat(2),
      }),
      fc.record({
        kind: fc.constantFrom('tell' as const),
        from: fc.nat(2),
        to: fc.nat(2),
      }),
    );
    fc.assert(
      fc.property(fc.array(step, {maxLength: 40}), steps => {
        const gates = [0, 1, 2].map(() => new EvacuatedZones());
        const readUntil = [0, 0, 0];
        const log: Array<{readonly zone: string; isEvacuated: boolean}> = [];
        const isIn = (zone: string) =>
          log.filter(one => one.zone === zone).pop()?.isEvacuated ?? false;
        const readAll = (gate: number) => {
          gates[gate].applySnapshot({
            position: buildPosition(log.length),
            entries: ['y', 'z'].filter(isIn).map(zone => ({
              zone,
              position: buildPosition(
                log.map(one => one.zone).lastIndexOf(zone) + 1,
              ),
            })),
            malformed: [],
          });
          readUntil[gate] = log.length;
        };
        const watch = (gate: number) => {
          log.slice(readUntil[gate]).forEach((one, i) => {
            const position = buildPosition(readUntil[gate] + i + 1);
            gates[gate].apply({...one, position});
          });
          readUntil[gate] = log.length;
          gates[gate].markRead(buildPosition(log.length));
        };
        for (const one of steps) {
          if (one.kind === 'write') log.push(one);
          else if (one.kind === 'tell')
            gates[one.to].merge(gates[one.from].describeShared());
          else if (one.kind === 'read') readAll(one.gate);
          else watch(one.gate);
        }
        readAll(0);
        for (const gate of gates.slice(1))
          gate.merge(gates[0].describeShared());
        for (const gate of gates)
          for (const zone of ['y', 'z'])
            expect(gate.isEvacuated(zone)).toEqual(isIn(zone));
      }),
      {numRuns: 4000},
    );
  });
});
