import {describe, it} from 'node:test';
import {Writable} from 'node:stream';
import {expect} from 'earl';
import {createDecisionLog} from '../observe/decision-log.js';
import {FakeStore} from '../test/fake-store.js';
import {answerWhole} from '../test/fake-target.js';
import {buildConfig, openGateWorld} from '../test/gate-world.js';
import {NO_POSITION} from './fact-position.js';
import {createFleetState} from './fleet-state.js';
import {createStoreWatcher} from './store-watcher.js';

describe('store watch', () => {
  it('reads everything again when the store has dropped its history', async () => {
    // Guards against changes that are missed when the store drops its history.
    const world = await openGateWorld();
    try {
      await world.addTarget('t1', 'orders', answerWhole);
      await world.waitUntil(async () => (await world.askReady()) === 200);
      world.store.isDown = true;
      world.store.publishConfig(
        buildConfig(2, {accounts: [{name: 'acme', keys: ['k2']}]}),
      );
      world.store.dropHistory();
      world.store.isDown = false;
      await world.waitUntil(
        async () => (await world.call('/safe/x', {key: 'k2'})).status === 200,
      );
      expect((await world.call('/safe/x', {key: 'k1'})).status).toEqual(401);
    } finally {
      world.close();
    }
  });

  it('fetches changes that come close together in one call', async () => {
    // Guards against one call for each change while many servers are replaced.
    const store = new FakeStore();
    const output = new Writable({write: (_chunk, _encoding, done) => done()});
    const state = createFleetState(() => performance.now());
    const watcher = createStoreWatcher({
      store,
      state,
      log: createDecisionLog({proc: 'g', output, readWallMs: Date.now}),
      readNow: () => performance.now(),
      countGates: () => 22,
    });
    const startedAt = performance.now();
    void watcher.run();
    for (let i = 0; i < 30; i++) {
      store.publishTarget({
        id: `t${i}`,
        name: `t${i}`,
        bornAt: undefined,
        service: 'orders',
        host: '10.0.0.9',
        port: 80,
        zone: 'z',
        isDraining: false,
        position: NO_POSITION,
      });
      await new Promise(resolve => setTimeout(resolve, 3));
    }
    const changedMs = performance.now() - startedAt;
    const callsWhileChanging = store.calls;
    while (state.targetCount < 30)
      await new Promise(resolve => setTimeout(resolve, 10));
    watcher.stop();
    // One read, one watch, and one more after each pause of 300 ms.
    expect(callsWhileChanging <= 2 + Math.ceil(changedMs / 300)).toEqual(true);
  });

  it('serves on what it knows while the store is down', async () => {
    const world = await openGateWorld();
    try {
      await world.addTarget('t1', 'orders', answerWhole);
      await world.waitUntil(async () => (await world.askReady()) === 200);
      world.store.isDown = true;
      expect((await world.call('/safe/x')).status).toEqual(200);
      expect(await world.askReady()).toEqual(200);
    } finally {
      world.close();
    }
  });

  it('answers 503 before the first configuration, never 401 or 404', async () => {
    const world = await openGateWorld({config: 'none'});
    try {
      expect(await world.askReady()).toEqual(503);
      const answer = await world.call('/safe/x', {key: 'unknown'});
      expect(answer.status).toEqual(503);
    } finally {
      world.close();
    }
  });
});
