import {describe, it} from 'node:test';
import {expect} from 'earl';
import {buildPosition, buildTarget} from '../test/build-target.js';
import {buildConfig} from '../test/gate-world.js';
import {createFleetState} from './fleet-state.js';
import {LAPSE_HOLD_MS} from './target-table.js';
import type {Target} from '../types.js';

function listIds(state: ReturnType<typeof createFleetState>): string[] {
  return state
    .listUsable('chat')
    .map(target => target.id)
    .sort();
}

describe('fleet state', () => {
  it('never goes back to an older configuration', () => {
    // Guards against a cut-off peer that brings back a revoked key.
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

  it('keeps targets whose entries expired during an outage of the store', () => {
    // Guards against an empty fleet when the store returns after the entries
    // have expired.
    let now = 0;
    const state = createFleetState(() => now);
    state.applySnapshot({
      position: buildPosition(5),
      config: buildConfig(1),
      targets: [buildTarget('a', 3), buildTarget('b', 4)],
      malformed: [],
    });
    now = 10_000;
    state.markStoreBack();
    state.applySnapshot({
      position: buildPosition(9),
      config: undefined,
      targets: [],
      malformed: [],
    });
    expect(listIds(state)).toEqual(['a', 'b']);
    state.applyChange({kind: 'target', target: buildTarget('a', 12)});
    now += LAPSE_HOLD_MS + 1;
    state.expireHeld();
    expect(listIds(state)).toEqual(['a']);
  });

  it('drops what another gate saw leave while the store turned this one away', () => {
    // Guards against holding a target that left while only this gate was cut
    // off.
    const state = createFleetState(() => 10_000);
    for (const [id, revision] of [
      ['a', 3],
      ['b', 4],
    ] as const)
      state.applyChange({kind: 'target', target: buildTarget(id, revision)});
    state.markStoreBack(5000);
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

  it('drops a target that was leaving, also right after an outage', () => {
    // Guards against holding a target that was draining before the outage.
    const state = createFleetState(() => 0);
    state.applySnapshot({
      position: buildPosition(5),
      config: undefined,
      targets: [buildTarget('a', 3, true), buildTarget('b', 4)],
      malformed: [],
    });
    state.markStoreBack();
    state.applyChange({
      kind: 'target-gone',
      name: 'a',
      position: buildPosition(8),
      isMalformed: false,
    });
    expect(state.findTarget('a')).toEqual(undefined);
  });

  it('removes a target at once while the store is sound', () => {
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

  it('takes newer facts from another gate and leaves older ones', () => {
    // Guards against a drain that a cut-off gate does not learn from its peers.
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

  it('tells a restarted target at the same address apart', () => {
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

  it('takes a server that starts again under its name for another one', () => {
    // Guards against state or a late message of an earlier incarnation.
    const state = createFleetState(() => 0);
    const events: string[] = [];
    state.onChange(({event, id}) => events.push(`${event} ${id}`));
    const buildLife = (bornAt: number, revision: number): Target => ({
      ...buildTarget('a', revision),
      id: `a@${bornAt}`,
      bornAt,
      port: bornAt,
    });
    const apply = (target: Target) =>
      state.applyChange({kind: 'target', target});
    apply(buildLife(1000, 3));
    apply(buildLife(2000, 5));
    apply(buildLife(1000, 6));
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
      targets: [buildLife(1000, 8)],
      held: [],
      doubts: [],
    });
    expect(listIds(state)).toEqual(['a@2000']);
  });

  it('uses no target whose entry somebody else has overwritten', () => {
    // Guards against holding a target whose entry exists but cannot be decoded.
    const state = createFleetState(() => 100);
    state.applyChange({kind: 'target', target: buildTarget('a', 3)});
    state.applyChange({kind: 'target', target: buildTarget('b', 4)});
    state.markStoreBack();
    state.applySnapshot({
      position: buildPosition(9),
      config: undefined,
      targets: [],
      malformed: ['a'],
    });
    expect(listIds(state)).toEqual(['b']);
  });
});
