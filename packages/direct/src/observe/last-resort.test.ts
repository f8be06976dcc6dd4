import {PassThrough} from 'node:stream';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createDecisionLog} from './decision-log.js';
import {createLastResort} from './last-resort.js';

function createWorld() {
  const output = new PassThrough();
  const exits: number[] = [];
  let drains = 0;
  const handle = createLastResort({
    log: createDecisionLog({proc: 'g', output, readWallMs: () => 0}),
    drain: () => {
      drains++;
      return Promise.resolve();
    },
    exit: status => exits.push(status),
  });
  const readLog = () => String(output.read() ?? '');
  return {handle, exits, readLog, countDrains: () => drains};
}

describe('an error that nothing caught', () => {
  it('leaves the gate serving when a connection raised it', async () => {
    // A server resets a connection whose request has ended. Nobody listens
    // any more, and the gate ended with every stream that it was forwarding.
    const {handle, exits, readLog, countDrains} = createWorld();
    const reset = Object.assign(new Error('read ECONNRESET'), {
      code: 'ECONNRESET',
      syscall: 'read',
    });
    handle(reset);
    await Promise.resolve();
    expect(exits).toEqual([]);
    expect(countDrains()).toEqual(0);
    expect(readLog().includes('ECONNRESET')).toEqual(true);
  });

  it('ends the gate in order when its own state is in doubt', async () => {
    // A fault of the program. What it serves is served, then it ends, once.
    const {handle, exits, countDrains} = createWorld();
    handle(new TypeError('x is undefined'));
    handle('not even an error');
    await new Promise(resolve => setImmediate(resolve));
    expect(exits).toEqual([1]);
    expect(countDrains()).toEqual(1);
  });

  it('ends the gate in order when nothing at all was thrown', async () => {
    // A promise is rejected without a reason, or `undefined` is thrown. The
    // handler itself failed on it, and the process ended at once, with status
    // 7 and every stream that it was forwarding.
    for (const nothing of [undefined, null]) {
      const {handle, exits, countDrains} = createWorld();
      expect(() => handle(nothing)).not.toThrow();
      await new Promise(resolve => setImmediate(resolve));
      expect([countDrains(), exits.length]).toEqual([1, 1]);
    }
  });
});
