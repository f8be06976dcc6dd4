import {describe, it} from 'node:test';
import {expect} from 'earl';
import {answerWhole} from '../test/fake-target.js';
import {buildConfig, openGateWorld} from '../test/gate-world.js';

describe('store watch', () => {
  it('reads everything anew when the store has dropped its history', async () => {
    // While the watch hears nothing a target leaves and a configuration is
    // published; then the store forgets its history. A gate that only went
    // on watching would never learn of either.
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
