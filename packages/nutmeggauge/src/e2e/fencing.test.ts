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

const buildRecord = (model: string) => ({
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
  describe(`orders to an engine in fencing mode ${fencing}`, () => {
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

    it('are not reverted by an agent that resumes after a pause with an old record', async () => {
      // Guards against a replaced agent that resumes after a pause and orders
      // the model of its old record.
      config.publish(buildRecord('m1'));
      const paused = await startAgentOrders();
      config.publish(buildRecord('m2'));
      const replacement = await startAgentOrders();
      await replacement.orders.runReconciliation();
      await paused.orders.runReconciliation();
      expect(engine.orders.current.model).toEqual('m2');
      expect(engine.orders.applied.map(order => order.value)).toEqual(['m2']);
    });

    it('are withheld while the agent cannot confirm that its record is the newest', async () => {
      // Guards against orders based on a record that may be out of date.
      config.publish(buildRecord('m3'));
      const agent = await startAgentOrders();
      config.setMode('stale');
      await agent.orders.runReconciliation();
      expect(engine.orders.current.model).toEqual('m2');
      expect(agent.counters.read()['orders.withheld']).toEqual(1);
      config.setMode('up');
      await waitUntil(async () => {
        await agent.orders.runReconciliation();
        return engine.orders.current.model === 'm3';
      });
    });
  });
}
