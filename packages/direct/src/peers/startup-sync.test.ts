import {PassThrough} from 'node:stream';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FactsBusyError} from '../errors.js';
import {createFleetState} from '../fleet/fleet-state.js';
import {createDecisionLog} from '../observe/decision-log.js';
import {buildPosition, buildTarget} from '../test/build-target.js';
import {buildConfig} from '../test/gate-world.js';
import {StartupSync} from './startup-sync.js';
import type {SharedFacts} from '../fleet/fleet-state.js';

const PEER_FACTS: SharedFacts = {
  position: buildPosition(9, 2),
  config: buildConfig(7),
  targets: [{...buildTarget('a', 0), position: buildPosition(4, 2)}],
  held: [],
  doubts: [],
};

/** A gate that starts in era `era`, with answers of peers by host. */
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

describe('synchronization of a gate that starts', () => {
  it('is not needed while the store is in its first era', async () => {
    const {sync, asked, readStore} = createHarness(0, {a: PEER_FACTS});
    expect(sync.isDone).toEqual(false);
    await readStore();
    expect(sync.isDone).toEqual(true);
    expect(asked).toEqual([]);
  });

  it('merges the facts of the first peer that answers', async () => {
    // Guards against a gate that is ready with an older copy's configuration.
    const {state, sync, asked, readStore} = createHarness(2, {
      gone: undefined,
      a: PEER_FACTS,
    });
    await readStore();
    expect(asked).toEqual(['gone', 'a']);
    expect(sync.isDone).toEqual(true);
    expect(state.config?.version).toEqual(7);
  });

  it('goes on while a peer has a configuration that it did not send', async () => {
    // Guards against being ready with the copy's configuration because the peer
    // was sending its own to others.
    const {state, sync, readStore} = createHarness(
      2,
      {a: {...PEER_FACTS, config: undefined}},
      {a: PEER_FACTS},
    );
    await readStore();
    expect(sync.isDone).toEqual(true);
    expect(state.config?.version).toEqual(7);
  });

  it('asks a busy peer again', async () => {
    // Guards against a start without facts because the only peer was busy.
    const {state, asked, readStore} = createHarness(
      2,
      {a: new FactsBusyError('busy')},
      {a: PEER_FACTS},
    );
    await readStore();
    expect(asked).toEqual(['a', 'a']);
    expect(state.config?.version).toEqual(7);
  });

  it('ends without a peer', async () => {
    // Guards against a single gate that is never ready.
    const {sync, readStore, readWaitedMs} = createHarness(2, {});
    await readStore();
    expect(sync.isDone).toEqual(true);
    expect(readWaitedMs()).toEqual(1500);
  });
});
