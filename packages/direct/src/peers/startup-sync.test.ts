import {PassThrough} from 'node:stream';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FactsBusyError} from '../errors.js';
import {createFleetState} from '../fleet/fleet-state.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {buildPosition, buildTarget} from '../test/build-target.js';
import {buildConfig} from '../test/gate-harness.js';
import {StartupSync} from './startup-sync.js';
import type {SharedFacts} from '../fleet/fleet-types.js';

const PEER_FACTS: SharedFacts = {
  position: buildPosition(9, 2),
  config: buildConfig(7),
  targets: [{...buildTarget('a', 0), position: buildPosition(4, 2)}],
  held: [],
  doubts: [],
};

/**
 * Creates a gate that starts with a store in era `era`. Peers give `answers` by
 * host to the first request, and `laterAnswers` to further ones.
 */
function createHarness(
  era: number,
  answers: Readonly<Record<string, SharedFacts | Error | undefined>>,
  laterAnswers: Readonly<Record<string, SharedFacts>> = {},
) {
  let now = 0;
  const asked: string[] = [];
  const state = createFleetState(() => now);
  const sync = new StartupSync({
    state,
    listPeers: () => Object.keys(answers),
    listUpdateSources: () =>
      (state.config?.version ?? 0) < 7 ? Object.keys(answers) : [],
    fetch: host => {
      const isFirst = !asked.includes(host);
      asked.push(host);
      const facts = isFirst
        ? answers[host]
        : (laterAnswers[host] ?? answers[host]);
      if (facts === undefined) return Promise.reject(new Error('gone'));
      return facts instanceof Error
        ? Promise.reject(facts)
        : Promise.resolve(facts);
    },
    log: createDecisionLog({
      proc: 'g',
      output: new PassThrough(),
      readWallMs: Date.now,
    }),
    readNow: () => now,
    wait: ms => {
      now += ms;
      return Promise.resolve();
    },
  });
  const readStore = async () => {
    state.applySnapshot({
      position: buildPosition(5, era),
      config: buildConfig(1),
      targets: [{...buildTarget('a', 0), position: buildPosition(4, era)}],
      malformed: [],
    });
    for (let i = 0; i < 50; i++)
      await new Promise(resolve => setImmediate(resolve));
  };
  return {state, sync, asked, readStore, readWaitedMs: () => now};
}

describe('startup synchronization', () => {
  it('is done without asking a peer when the store is in its first era', async () => {
    const {sync, asked, readStore} = createHarness(0, {a: PEER_FACTS});
    expect(sync.isDone).toEqual(false);
    await readStore();
    expect(sync.isDone).toEqual(true);
    expect(asked).toEqual([]);
  });

  it('merges the facts of the first peer that answers', async () => {
    // Guards against a gate that becomes ready with the configuration of an
    // older copy of the store.
    const {state, sync, asked, readStore} = createHarness(2, {
      gone: undefined,
      a: PEER_FACTS,
    });
    await readStore();
    expect(asked).toEqual(['gone', 'a']);
    expect(sync.isDone).toEqual(true);
    expect(state.config?.version).toEqual(7);
  });

  it('asks again when a peer has a newer configuration but omitted it', async () => {
    // Guards against a gate that becomes ready with the configuration of an
    // older copy because all slots of the peer were taken.
    const {state, sync, readStore} = createHarness(
      2,
      {a: {...PEER_FACTS, config: undefined}},
      {a: PEER_FACTS},
    );
    await readStore();
    expect(sync.isDone).toEqual(true);
    expect(state.config?.version).toEqual(7);
  });

  it('retries a peer that answers that it is busy', async () => {
    // Guards against a start without facts from peers because the only peer was
    // busy.
    const {state, asked, readStore} = createHarness(
      2,
      {a: new FactsBusyError('busy')},
      {a: PEER_FACTS},
    );
    await readStore();
    expect(asked).toEqual(['a', 'a']);
    expect(state.config?.version).toEqual(7);
  });

  it('is done after 1,500 ms without any peer', async () => {
    // Guards against a single gate that never becomes ready.
    const {sync, readStore, readWaitedMs} = createHarness(2, {});
    await readStore();
    expect(sync.isDone).toEqual(true);
    expect(readWaitedMs()).toEqual(1500);
  });

  it('stays done when the store is restored later', async () => {
    // Guards against gates that are all taken out of service by a restore that
    // changes no entry.
    const {state, sync, asked, readStore} = createHarness(0, {a: PEER_FACTS});
    await readStore();
    const [target] = state.listUsable(buildTarget('a', 0).service);
    state.applySnapshot({
      position: buildPosition(5, 1),
      config: buildConfig(1),
      targets: [{...target, position: buildPosition(4, 1)}],
      malformed: [],
    });
    expect(state.position.era).toEqual(1);
    expect(sync.isDone).toEqual(true);
    expect(asked).toEqual([]);
  });
});
