import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {EngineOrders} from '@nutmeggauge/agent';
import {createConfigWatcher, createCounters, readPort} from '@nutmeggauge/core';
import {
  startConfigServiceStandIn,
  startEngineStandIn,
} from '@nutmeggauge/standins';
import {waitUntil} from '../test/stack.js';
import type {ConfigServiceStandIn, EngineStandIn} from '@nutmeggauge/standins';

const recordOf = (model: string) => ({
  schemaVersion: 1,
  accounts: [],
  pools: [
    {
      id: 'chat',
      kind: 'engine',
      targets: [
        {id: 'e', agent: '127.0.0.1:1', zone: 'az-1', desired: {model}},
      ],
    },
  ],
});

for (const fencing of ['refuse', 'ignore'] as const) {
  describe(`orders to an engine that would ${fencing} old fences`, () => {
    let config: ConfigServiceStandIn;
    let engine: EngineStandIn;
    before(async () => {
      config = await startConfigServiceStandIn('127.0.0.1', 0);
      engine = await startEngineStandIn({id: 'e', fencing}, '127.0.0.1', 0);
    });
    after(async () => {
      await Promise.all([config.close(), engine.close()]);
    });

    const startAgentOrders = async () => {
      const counters = createCounters();
      const watcher = createConfigWatcher({
        url: `http://127.0.0.1:${readPort(config.server)}`,
        counters,
      });
      await watcher.confirmNewest();
      const orders = new EngineOrders({
        engineUrl: `http://127.0.0.1:${readPort(engine.server)}`,
        targetId: 'e',
        source: watcher,
        counters,
      });
      return {counters, watcher, orders};
    };

    it('are not turned back by an agent that was paused and wakes late', async () => {
      // Guards against an old agent that wakes and orders the old model.
      config.publish(recordOf('m1'));
      const paused = await startAgentOrders();
      config.publish(recordOf('m2'));
      const replacement = await startAgentOrders();
      await replacement.orders.runRound();
      await paused.orders.runRound();
      expect(engine.orders.current.model).toEqual('m2');
      expect(engine.orders.applied.map(order => order.value)).toEqual(['m2']);
    });

    it('are withheld while the agent cannot tell whether its record is the newest', async () => {
      // Guards against orders based on a record that cannot be confirmed.
      config.publish(recordOf('m3'));
      const agent = await startAgentOrders();
      config.setMode('stale');
      await agent.orders.runRound();
      expect(engine.orders.current.model).toEqual('m2');
      expect(agent.counters.read()['orders.withheld']).toEqual(1);
      config.setMode('up');
      await waitUntil(async () => {
        await agent.orders.runRound();
        return engine.orders.current.model === 'm3';
      });
    });
  });
}
