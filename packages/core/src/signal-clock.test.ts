import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {freezeProcess} from './freeze-process.js';
import {SignalClock} from './signal-clock.js';

/** Duration of a long turn and of a suspension, in ms. */
const BLOCKED_MS = 400;

/** What a handler of a signal saw, in ms. */
interface HandledSignal {
  readonly earliestAt: number;
  readonly handledAt: number;
}

/** Blocks the event loop. */
function runLongTurn(ms: number): void {
  const endAt = performance.now() + ms;
  while (performance.now() < endAt);
}

describe('signal clock', () => {
  const clock = new SignalClock(() => performance.now());

  /** Sends a signal to this process and resolves when it has been handled. */
  function signalSelf(): Promise<HandledSignal> {
    return new Promise(resolve => {
      process.once('SIGUSR2', () =>
        resolve({
          earliestAt: clock.readEarliest(),
          handledAt: performance.now(),
        }),
      );
      process.kill(process.pid, 'SIGUSR2');
    });
  }

  // Neither the clock nor a handler of signals keeps the process alive.
  let keepAlive: NodeJS.Timeout | undefined;

  before(async () => {
    keepAlive = setInterval(() => undefined, 1000);
    clock.start();
    await sleep(100);
  });
  after(() => {
    clearInterval(keepAlive);
    clock.stop();
  });

  for (const [phase, wait] of Object.entries({
    'a timer': () => sleep(1),
    'the end of a turn': () => new Promise(resolve => setImmediate(resolve)),
  }))
    it(`names a time before a signal that comes during a long turn of ${phase}`, async () => {
      // Guards against a stop whose times are counted from a late handler.
      await wait();
      const sentAt = performance.now();
      const handled = signalSelf();
      runLongTurn(BLOCKED_MS);
      const {earliestAt, handledAt} = await handled;
      expect(handledAt - sentAt >= BLOCKED_MS).toEqual(true);
      expect(earliestAt <= sentAt).toEqual(true);
    });

  it('names a time before a signal that comes after several long turns', async () => {
    // Guards against a time that is older than the turn in which the signal came.
    for (let i = 0; i < 3; i++) {
      runLongTurn(BLOCKED_MS);
      await sleep(1);
    }
    const sentAt = performance.now();
    const handled = signalSelf();
    runLongTurn(BLOCKED_MS);
    const {earliestAt} = await handled;
    expect(earliestAt <= sentAt).toEqual(true);
    expect(sentAt - earliestAt < 2 * BLOCKED_MS).toEqual(true);
  });

  it('names a time before a suspension of the process', async () => {
    // Guards against a stop whose notice is counted from the end of a suspension.
    await sleep(1);
    const frozenAt = performance.now();
    const handled = signalSelf();
    freezeProcess(BLOCKED_MS);
    expect((await handled).earliestAt <= frozenAt).toEqual(true);
  });

  it('names the start of the observation for a signal of the first turn', async () => {
    // Guards against a stop that is counted from the end of the load of a program.
    const observedSince = performance.now();
    runLongTurn(BLOCKED_MS);
    const late = new SignalClock(() => performance.now(), observedSince);
    late.start();
    const handled = new Promise<number>(resolve =>
      process.once('SIGUSR2', () => resolve(late.readEarliest())),
    );
    process.kill(process.pid, 'SIGUSR2');
    expect(await handled).toEqual(observedSince);
    late.stop();
  });
});
