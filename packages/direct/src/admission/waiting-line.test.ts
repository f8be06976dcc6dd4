import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createWaitingLine} from './waiting-line.js';
import type {LineEntry} from './waiting-line.js';

/** A line over `places` whose clock and places the test turns. */
class LineBench {
  now = 0;
  free = 0;
  readonly order: string[] = [];
  readonly line;
  readonly signal = new AbortController().signal;

  constructor(places: number) {
    this.line = createWaitingLine({
      countPlaces: () => places,
      countGates: () => 1,
      readNow: () => this.now,
    });
  }

  enter(name: string, goalMs: number) {
    const entry: LineEntry = {
      arrivedAt: this.now,
      goalMs,
      promptTokens: goalMs,
      tryPlace: () => {
        if (this.free === 0) return false;
        this.free--;
        this.order.push(name);
        return true;
      },
    };
    return this.line.enter(entry, this.signal);
  }
}

describe('waiting line', () => {
  it('refuses at once what would wait too long', async () => {
    // Every place is taken for seconds and eight others wait already. Held
    // until its objective has passed, the caller would lose the time in
    // which it could have come back.
    const bench = new LineBench(176);
    const waits = Array.from({length: 30}, () => bench.enter('x', 300));
    const refused = await Promise.race([
      waits[29],
      new Promise<string>(resolve => setTimeout(() => resolve('held'), 50)),
    ]);
    expect(refused).toEqual('refused');
    expect(bench.line.length < 12).toEqual(true);
    bench.now = 1000;
    bench.line.advance();
    expect(bench.line.length).toEqual(0);
  });

  it('lets short streams pass, and a long one that has waited pass them', async () => {
    const bench = new LineBench(10_000);
    const long = bench.enter('long', 3000);
    const first = bench.enter('short-1', 300);
    bench.free = 1;
    bench.line.advance();
    expect(bench.order).toEqual(['short-1']);
    bench.now = 1000;
    const second = bench.enter('short-2', 300);
    bench.free = 1;
    bench.line.advance();
    expect(bench.order).toEqual(['short-1', 'long']);
    expect([await first, await long]).toEqual(['placed', 'placed']);
    bench.now = 2000;
    bench.line.advance();
    expect(await second).toEqual('refused');
  });

  it('lets a small prompt pass a large one that finds no memory', async () => {
    // Places are free, but no engine has memory for a full schedule. Behind
    // it every short question would wait until it gives up.
    const bench = new LineBench(10_000);
    const enter = (promptTokens: number, isFitting: boolean) =>
      bench.line.enter(
        {arrivedAt: 0, goalMs: 300, promptTokens, tryPlace: () => isFitting},
        bench.signal,
      );
    const large = enter(400_000, false);
    const small = enter(3000, true);
    bench.line.advance();
    expect(await small).toEqual('placed');
    bench.now = 1000;
    bench.line.advance();
    expect(await large).toEqual('refused');
  });

  it('lets go of a caller that has left', async () => {
    const bench = new LineBench(10_000);
    const leave = new AbortController();
    const entry = {
      arrivedAt: 0,
      goalMs: 300,
      promptTokens: 1,
      tryPlace: () => false,
    };
    const waiting = bench.line.enter(entry, leave.signal);
    leave.abort();
    expect(await waiting).toEqual('left');
    expect(bench.line.length).toEqual(0);
  });

  it('learns how long places are held', () => {
    const bench = new LineBench(100);
    const before = bench.line.estimateWaitMs();
    for (let i = 0; i < 200; i++) bench.line.recordHold(500);
    expect(bench.line.estimateWaitMs() < before / 3).toEqual(true);
  });
});
