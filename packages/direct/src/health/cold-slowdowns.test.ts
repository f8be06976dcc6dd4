import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ColdSlowdowns} from './cold-slowdowns.js';

describe('slowdown of a cold engine without a report', () => {
  it('is the last one that a cold engine of its service has reported', () => {
    // Guards against cold engines that are predicted as fast as warm ones.
    const cold = new Set(['i-1', 'i-2', 'j-1']);
    const slowdowns = new ColdSlowdowns({
      isCold: id => cold.has(id),
      findService: id => (id.startsWith('i') ? 'chat' : 'other'),
    });
    slowdowns.record('i-3', 9);
    expect(slowdowns.read('i-2')).toEqual(1);
    slowdowns.record('i-1', 2.5);
    expect(slowdowns.read('i-2')).toEqual(2.5);
    expect(slowdowns.read('j-1')).toEqual(1);
    expect(slowdowns.read('i-3')).toEqual(1);
    // An engine that has reported its configured speed is not taken for slower.
    slowdowns.record('i-2', 1);
    slowdowns.record('i-1', 2.5);
    expect(slowdowns.read('i-2')).toEqual(1);
  });

  it('forgets who has reported once an engine is warm or gone', () => {
    // Guards against a set that grows by each engine that leaves while it is cold.
    const cold = new Set(['i-1']);
    const isCold = (id: string) => cold.has(id);
    const slowdowns = new ColdSlowdowns({isCold, findService: () => 'chat'});
    slowdowns.record('i-1', 2.5);
    expect(slowdowns.read('i-1')).toEqual(1);
    cold.delete('i-1');
    slowdowns.expire();
    cold.add('i-1');
    expect(slowdowns.read('i-1')).toEqual(2.5);
  });
});
