import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  countExecutions,
  placeOrder,
  readTargetUsability,
  startStack,
} from '../test/stack.js';
import type {Stack} from '../test/stack.js';

describe('gate that connects to a subset of each pool', () => {
  let stack: Stack;
  before(async () => {
    stack = await startStack({engines: 1, plain: 4, subsetSize: 1});
  });
  after(async () => {
    await stack.close();
  });

  it('sends every keyed order to its home agent, also when that agent is outside the subset', async () => {
    // Guards against a second home for keys whose home is outside the subset.
    const connectedIds = Object.keys(await readTargetUsability(stack));
    expect(connectedIds.filter(id => id.startsWith('plain-')).length).toEqual(
      1,
    );
    for (let i = 0; i < 8; i++) {
      const key = `o-subset-${i}`;
      expect((await placeOrder(stack, key)).status).toEqual(200);
      expect((await placeOrder(stack, key)).status).toEqual(200);
      expect(countExecutions(stack, key)).toEqual(1);
    }
    const usedServices = stack.plain.filter(
      service => service.executions.length > 0,
    );
    expect(usedServices.length).toBeGreaterThanOrEqual(2);
  });
});
