import {describe, it} from 'node:test';
import {expect} from 'earl';
import {DatagramNetwork} from '../test/datagram-network.js';
import {createModelGate} from '../test/model-gate.js';
import {buildConfig} from '../test/test-config.js';
import {AccountUsage} from './account-usage.js';

const HOSTS = ['10.1.0.1', '10.1.0.2'];

/** Creates a gate with its usage; its clock is `offsetMs` ahead. */
function createGate(network: DatagramNetwork, host: string, offsetMs: number) {
  const readNow = () => performance.now() + offsetMs;
  const usage = new AccountUsage({countAccounts: () => 24, readNow});
  const {group} = createModelGate({
    host,
    zone: 'az-1',
    incarnation: '1',
    seedHosts: HOSTS.filter(other => other !== host),
    transport: network.connect(host),
    config: buildConfig(1),
    targets: [],
    readNow,
    usage,
  });
  return {group, usage};
}

describe('usage told in heartbeats', () => {
  it('reaches a gate that has just started, past a malformed heartbeat', async () => {
    // Guards against a restarted gate that takes a burst account for a new one,
    // and against a malformed report that ends the exchange.
    const network = new DatagramNetwork(() => 0);
    const sender = createGate(network, HOSTS[0], 5e8);
    sender.usage.recordPlacement('burst', 4000);
    sender.usage.markShort();
    await sender.group.start();
    const receiver = createGate(network, HOSTS[1], 0);
    await receiver.group.start();
    const params = {
      from: HOSTS[0],
      incarnation: '1',
      configVersion: 1,
      era: 0,
      revision: 1,
      factsAgeMs: 0,
      usage: {sums: [['burst', 'much']]},
    };
    const malformed = {jsonrpc: '2.0', method: 'heartbeat', params};
    network.forward(HOSTS[0], HOSTS[1], Buffer.from(JSON.stringify(malformed)));
    const giveUpAt = performance.now() + 3000;
    while (receiver.usage.readMs('burst') === 0 && performance.now() < giveUpAt)
      await new Promise(resolve => setTimeout(resolve, 10));
    const heardMs = receiver.usage.readMs('burst');
    expect(heardMs > 1500 && heardMs <= 4000).toEqual(true);
    await sender.group.stop();
    await receiver.group.stop();
  });
});
