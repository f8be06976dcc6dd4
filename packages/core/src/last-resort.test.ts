import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createLastResort} from './last-resort.js';

function createWorld() {
  const lines: string[] = [];
  const exits: number[] = [];
  let drains = 0;
  const handle = createLastResort({
    log: {error: (event, fields) => lines.push(JSON.stringify(fields))},
    drain: () => {
      drains++;
      return Promise.resolve();
    },
    drainLimitMs: 60_000,
    exit: status => exits.push(status),
  });
  const readLog = () => lines.join('\n');
  return {handle, exits, readLog, countDrains: () => drains};
}

describe('an error that nothing caught', () => {
  it('leaves the gate serving when a connection raised it', async () => {
    // Guards against a late connection error that ends the process.
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
    // Guards against going on after an error of the program itself.
    const {handle, exits, countDrains} = createWorld();
    handle(new TypeError('x is undefined'));
    handle('not even an error');
    await new Promise(resolve => setImmediate(resolve));
    expect(exits).toEqual([1]);
    expect(countDrains()).toEqual(1);
  });

  it('takes whatever may be thrown', async () => {
    // Guards against a handler that fails on a thrown value without a text.
    for (const thrown of [undefined, null, Object.create(null), 7]) {
      const {handle, exits} = createWorld();
      handle(thrown);
      await new Promise(resolve => setImmediate(resolve));
      expect(exits).toEqual([1]);
    }
  });

  it('goes on after an error of a connection that names no call', () => {
    // Guards against treating Node's own connection errors as errors of the
    // program.
    for (const code of ['ECONNRESET', 'EPIPE', 'HPE_INVALID_CONSTANT']) {
      const {handle, exits, countDrains} = createWorld();
      handle(Object.assign(new Error('socket hang up'), {code}));
      expect([exits.length, countDrains()]).toEqual([0, 0]);
    }
  });

  it('ends even where the drain never does', async () => {
    // Guards against a drain that never ends.
    for (const drain of [
      () => new Promise<void>(() => undefined),
      () => Promise.reject(new Error('no drain')),
      () => {
        throw new Error('no drain');
      },
    ]) {
      const status = await new Promise<number>(resolve =>
        createLastResort({
          log: {error: () => undefined},
          drain,
          drainLimitMs: 20,
          exit: resolve,
        })(new TypeError('x is undefined')),
      );
      expect(status).toEqual(1);
    }
  });
});
