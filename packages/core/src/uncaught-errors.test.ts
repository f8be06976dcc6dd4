import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createUncaughtErrorHandler} from './uncaught-errors.js';

function createHarness() {
  const lines: string[] = [];
  const exits: number[] = [];
  let drains = 0;
  const handle = createUncaughtErrorHandler({
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

describe('handler of uncaught errors', () => {
  it('logs a connection reset and keeps the process running', async () => {
    // Guards against a late error of one connection ending the process.
    const {handle, exits, readLog, countDrains} = createHarness();
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

  it('drains once and exits once with status 1 after errors that are not connection errors', async () => {
    // Guards against serving on with inconsistent state after a program error.
    const {handle, exits, countDrains} = createHarness();
    handle(new TypeError('x is undefined'));
    handle('a thrown string');
    await new Promise(resolve => setImmediate(resolve));
    expect(exits).toEqual([1]);
    expect(countDrains()).toEqual(1);
  });

  it('exits with status 1 for thrown values that are not errors', async () => {
    // Guards against a handler that itself fails on a value without a string
    // form.
    for (const thrown of [undefined, null, Object.create(null), 7]) {
      const {handle, exits} = createHarness();
      handle(thrown);
      await new Promise(resolve => setImmediate(resolve));
      expect(exits).toEqual([1]);
    }
  });

  it('keeps the process running after connection errors without a system call', () => {
    // Guards against exiting on connection errors that Node raises itself,
    // which have a code but no system call.
    for (const code of ['ECONNRESET', 'EPIPE', 'HPE_INVALID_CONSTANT']) {
      const {handle, exits, countDrains} = createHarness();
      handle(Object.assign(new Error('socket hang up'), {code}));
      expect([exits.length, countDrains()]).toEqual([0, 0]);
    }
  });

  it('exits with status 1 when the drain hangs, rejects or throws', async () => {
    // Guards against a failed or endless drain keeping the process alive.
    for (const drain of [
      () => new Promise<void>(() => undefined),
      () => Promise.reject(new Error('no drain')),
      () => {
        throw new Error('no drain');
      },
    ]) {
      const status = await new Promise<number>(resolve =>
        createUncaughtErrorHandler({
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
