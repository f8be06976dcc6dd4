import {describe, it} from 'node:test';
import {expect} from 'earl';
import {NO_POSITION} from '../fleet/fact-position.js';
import fc from 'fast-check';
import {DecodeError} from '../errors.js';
import {createFleetState} from '../fleet/fleet-state.js';
import {buildPosition, buildTarget} from '../test/build-target.js';
import {buildConfig} from '../test/gate-harness.js';
import {decodeSharedFacts, toKnownFacts} from './shared-facts.js';

const NO_FACTS_KNOWN = {configVersion: 0, position: NO_POSITION};

/** Returns facts in the form in which a peer receives them. */
function describeOnWire(): unknown {
  const state = createFleetState(() => 0);
  state.applySnapshot({
    position: buildPosition(9),
    config: buildConfig(7),
    targets: [buildTarget('a', 3), buildTarget('b', 9)],
    malformed: [],
  });
  return JSON.parse(JSON.stringify(state.describeShared(NO_FACTS_KNOWN)));
}

/** Lists the paths of all leaf values in `value`. */
function listPaths(value: unknown): ReadonlyArray<readonly string[]> {
  if (typeof value !== 'object' || value === null) return [[]];
  return Object.entries(value).flatMap(([key, inner]) =>
    listPaths(inner).map(path => [key, ...path]),
  );
}

function replaceAt(path: readonly string[], invalidValue: unknown): unknown {
  const facts = describeOnWire();
  let parent = facts as Record<string, unknown>;
  for (const key of path.slice(0, -1))
    parent = parent[key] as Record<string, unknown>;
  parent[path[path.length - 1]] = invalidValue;
  return facts;
}

describe('facts shared between gates', () => {
  it('are unchanged by encoding, decoding and applying them', () => {
    const state = createFleetState(() => 0);
    state.applyShared(decodeSharedFacts(describeOnWire()));
    expect(
      JSON.parse(JSON.stringify(state.describeShared(NO_FACTS_KNOWN))),
    ).toEqual(describeOnWire());
  });

  it('are rejected with DecodeError when any value is replaced by null, an array or an object', () => {
    // Guards against non-finite numbers, which JSON turns into null.
    fc.assert(
      fc.property(
        fc.constantFrom(...listPaths(describeOnWire())),
        fc.constantFrom(null, [], {}),
        (path, invalidValue) => {
          expect(() =>
            decodeSharedFacts(replaceAt(path, invalidValue)),
          ).toThrow(DecodeError);
        },
      ),
      {numRuns: 300, seed: 21},
    );
  });

  it('are requested in full by a peer that sends no or malformed versions', () => {
    // Guards against an error while gates of two versions run side by side.
    expect(toKnownFacts(undefined)).toEqual(NO_FACTS_KNOWN);
    expect(toKnownFacts({})).toEqual(NO_FACTS_KNOWN);
    expect(toKnownFacts({configVersion: 'x'})).toEqual(NO_FACTS_KNOWN);
  });

  it('omit the configuration and the targets that the peer already knows', () => {
    const state = createFleetState(() => 0);
    state.applyShared(decodeSharedFacts(describeOnWire()));
    const newerFacts = state.describeShared({
      configVersion: 7,
      position: buildPosition(9),
    });
    expect([newerFacts.config, newerFacts.targets.length]).toEqual([
      undefined,
      0,
    ]);
    const targets = state.describeShared({
      configVersion: 7,
      position: buildPosition(3),
    });
    expect([targets.config, targets.targets.length]).toEqual([undefined, 2]);
  });

  it('remove no targets of a receiver that lacks only the configuration', () => {
    // Guards against an answer without targets that removes all known targets.
    const newerState = createFleetState(() => 0);
    newerState.applyShared(decodeSharedFacts(describeOnWire()));
    const ownState = createFleetState(() => 0);
    ownState.applySnapshot({
      position: buildPosition(12),
      config: buildConfig(5),
      targets: [buildTarget('c', 12)],
      malformed: [],
    });
    const known = {configVersion: 5, position: ownState.position};
    ownState.applyShared(newerState.describeShared(known));
    expect(ownState.config?.version).toEqual(7);
    expect(ownState.targetCount).toEqual(1);
  });
});
