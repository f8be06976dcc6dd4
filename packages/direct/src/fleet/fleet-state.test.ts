import {describe, it} from 'node:test';
import {expect} from 'earl';
import {buildPosition, buildTarget} from '../test/build-target.js';
import {buildConfig} from '../test/gate-harness.js';
import {createFleetState} from './fleet-state.js';
import {HOLD_AFTER_OUTAGE_MS} from './target-table.js';
import type {Target} from '../types.js';

function listIds(state: ReturnType<typeof createFleetState>): string[] {
  return state
    .listUsable('chat')
    .map(target => target.id)
    .sort();
}

describe('fleet state', () => {
  it('ignores a configuration from a peer that is older than the known one', () => {
    // Guards against a peer that cannot reach the store and brings back a
    // revoked key.
    const state = createFleetState(() => 0);
    state.applyChange({kind: 'config', config: buildConfig(7)});
    state.applyShared({
      position: buildPosition(20),
      config: buildConfig(5, {accounts: [{name: 'old', keys: ['old-key']}]}),
      targets: [],
      held: [],
      doubts: [],
    });
    expect(state.config?.version).toEqual(7);
    expect(state.findAccount('old-key')).toEqual(undefined);
  });

  it('holds targets whose entries expired during an outage of the store until the hold expires', () => {
    // Guards against a fleet without targets when the store recovers after the
    // entries have expired.
    let now = 0;
    const state = createFleetState(() => now);
    state.applySnapshot({
      position: buildPosition(5),
      config: buildConfig(1),
      targets: [buildTarget('a', 3), buildTarget('b', 4)],
      malformed: [],
    });
    now = 10_000;
    state.markStoreRecovered();
    state.applySnapshot({
      position: buildPosition(9),
      config: undefined,
      targets: [],
      malformed: [],
    });
    expect(listIds(state)).toEqual(['a', 'b']);
    state.applyChange({kind: 'target', target: buildTarget('a', 12)});
    now += HOLD_AFTER_OUTAGE_MS + 1;
    state.expireHeld();
    expect(listIds(state)).toEqual(['a']);
  });

  it('drops a held target once a gate without an outage confirms its removal', () => {
    // Guards against holding a target that was removed while only this gate
    // could not reach the store.
    const state = createFleetState(() => 10_000);
    for (const [id, revision] of [
      ['a', 3],
      ['b', 4],
    ] as const)
      state.applyChange({kind: 'target', target: buildTarget(id, revision)});
    state.markStoreRecovered(5000);
    for (const [name, revision] of [
      ['a', 8],
      ['b', 9],
    ] as const)
      state.applyChange({
        kind: 'target-gone',
        name,
        position: buildPosition(revision),
        isMalformed: false,
      });
    expect(listIds(state)).toEqual(['a', 'b']);
    state.confirmRemovals(buildPosition(7));
    expect(listIds(state)).toEqual(['a', 'b']);
    state.confirmRemovals(buildPosition(8));
    expect(listIds(state)).toEqual(['b']);
  });

  it('removes a draining target at once when its entry is missing right after an outage', () => {
    // Guards against holding a target that was draining before the outage.
    const state = createFleetState(() => 0);
    state.applySnapshot({
      position: buildPosition(5),
      config: undefined,
      targets: [buildTarget('a', 3, true), buildTarget('b', 4)],
      malformed: [],
    });
    state.markStoreRecovered();
    state.applyChange({
      kind: 'target-gone',
      name: 'a',
      position: buildPosition(8),
      isMalformed: false,
    });
    expect(state.findTarget('a')).toEqual(undefined);
  });

  it('removes a target at once when its entry is removed without an outage', () => {
    const state = createFleetState(() => 100_000);
    state.applyChange({kind: 'target', target: buildTarget('a', 3)});
    state.applyChange({
      kind: 'target-gone',
      name: 'a',
      position: buildPosition(4),
      isMalformed: false,
    });
    expect(listIds(state)).toEqual([]);
  });

  it('applies newer facts from a peer and ignores older ones', () => {
    // Guards against a gate that cannot reach the store and does not learn
    // from its peers that a target is draining.
    const state = createFleetState(() => 0);
    state.applyChange({kind: 'target', target: buildTarget('a', 3)});
    const shared = {
      position: buildPosition(8),
      config: undefined,
      targets: [buildTarget('a', 8, true)],
      held: [],
      doubts: [],
    };
    state.applyShared(shared);
    expect(listIds(state)).toEqual([]);
    state.applyShared({
      ...shared,
      position: buildPosition(2),
      targets: [buildTarget('a', 2)],
    });
    expect(listIds(state)).toEqual([]);
  });

  it('keeps a target whose predecessor at the same address is removed', () => {
    const state = createFleetState(() => 0);
    state.applyChange({kind: 'target', target: buildTarget('a', 3)});
    state.applyChange({kind: 'target', target: buildTarget('a2', 4)});
    state.applyChange({
      kind: 'target-gone',
      name: 'a',
      position: buildPosition(5),
      isMalformed: false,
    });
    expect(listIds(state)).toEqual(['a2']);
  });

  it('replaces a target that restarts under its name and ignores late entries of the earlier incarnation', () => {
    // Guards against keeping the state of an earlier incarnation, or applying
    // an entry of it that arrives late.
    const state = createFleetState(() => 0);
    const events: string[] = [];
    state.onChange(({event, id}) => events.push(`${event} ${id}`));
    const buildIncarnation = (bornAt: number, revision: number): Target => ({
      ...buildTarget('a', revision),
      id: `a@${bornAt}`,
      bornAt,
      port: bornAt,
    });
    const apply = (target: Target) =>
      state.applyChange({kind: 'target', target});
    apply(buildIncarnation(1000, 3));
    apply(buildIncarnation(2000, 5));
    apply(buildIncarnation(1000, 6));
    expect(state.findTarget('a')?.port).toEqual(2000);
    expect(listIds(state)).toEqual(['a@2000']);
    expect(events).toEqual([
      'target_added a@1000',
      'target_removed a@1000',
      'target_added a@2000',
    ]);
    state.applyShared({
      position: buildPosition(9),
      config: undefined,
      targets: [buildIncarnation(1000, 8)],
      held: [],
      doubts: [],
    });
    expect(listIds(state)).toEqual(['a@2000']);
  });

  it('removes a target at once when its entry is malformed right after an outage', () => {
    // Guards against holding a target whose entry exists but cannot be decoded.
    const state = createFleetState(() => 100);
    state.applyChange({kind: 'target', target: buildTarget('a', 3)});
    state.applyChange({kind: 'target', target: buildTarget('b', 4)});
    state.markStoreRecovered();
    state.applySnapshot({
      position: buildPosition(9),
      config: undefined,
      targets: [],
      malformed: ['a'],
    });
    expect(listIds(state)).toEqual(['b']);
  });
});
