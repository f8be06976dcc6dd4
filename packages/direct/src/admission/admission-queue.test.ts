import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createAdmissionQueue} from './admission-queue.js';
import type {QueueEntry} from './admission-queue.js';

/** A queue whose clock and slots the test controls. */
class QueueBench {
  now = 0;
  free = 0;
  readonly order: string[] = [];
  readonly queue;
  readonly signal = new AbortController().signal;

  constructor(slots: number) {
    this.queue = createAdmissionQueue({
      countSlots: () => slots,
      countGates: () => 1,
      readNow: () => this.now,
    });
  }

  enter(name: string, objectiveMs: number) {
    const entry: QueueEntry = {
      arrivedAt: this.now,
      objectiveMs,
      promptTokens: objectiveMs,
      tryPlace: () => {
        if (this.free === 0) return false;
        this.free--;
        this.order.push(name);
        return true;
      },
    };
    return this.queue.enter(entry, this.signal);
  }
}

describe('admission queue', () => {
  it('refuses at once what would wait too long', async () => {
    // Guards against callers who wait although the queue cannot serve them in
    // time.
    const bench = new QueueBench(176);
    const waits = Array.from({length: 30}, () => bench.enter('x', 300));
    const refused = await Promise.race([
      waits[29],
      new Promise<string>(resolve => setTimeout(() => resolve('held'), 50)),
    ]);
    expect(refused).toEqual('refused');
    expect(bench.queue.length < 12).toEqual(true);
    bench.now = 1000;
    bench.queue.advance();
    expect(bench.queue.length).toEqual(0);
  });

  it('lets short streams pass, and a long one that has waited pass them', async () => {
    const bench = new QueueBench(10_000);
    const long = bench.enter('long', 3000);
    const first = bench.enter('short-1', 300);
    bench.free = 1;
    bench.queue.advance();
    expect(bench.order).toEqual(['short-1']);
    bench.now = 1000;
    const second = bench.enter('short-2', 300);
    bench.free = 1;
    bench.queue.advance();
    expect(bench.order).toEqual(['short-1', 'long']);
    expect([await first, await long]).toEqual(['placed', 'placed']);
    bench.now = 2000;
    bench.queue.advance();
    expect(await second).toEqual('refused');
  });

  it('lets a small prompt pass a large one that finds no KV cache', async () => {
    // Guards against head-of-line blocking by a prompt that needs much KV
    // cache.
    const bench = new QueueBench(10_000);
    const enter = (promptTokens: number, isFitting: boolean) =>
      bench.queue.enter(
        {
          arrivedAt: 0,
          objectiveMs: 300,
          promptTokens,
          tryPlace: () => isFitting,
        },
        bench.signal,
      );
    const large = enter(400_000, false);
    const small = enter(3000, true);
    bench.queue.advance();
    expect(await small).toEqual('placed');
    bench.now = 1000;
    bench.queue.advance();
    expect(await large).toEqual('refused');
  });

  it('lets go of a caller that has left', async () => {
    const bench = new QueueBench(10_000);
    const leave = new AbortController();
    const entry = {
      arrivedAt: 0,
      objectiveMs: 300,
      promptTokens: 1,
      tryPlace: () => false,
    };
    const waiting = bench.queue.enter(entry, leave.signal);
    leave.abort();
    expect(await waiting).toEqual('left');
    expect(bench.queue.length).toEqual(0);
  });

  it('learns how long slots are held', () => {
    const bench = new QueueBench(100);
    const before = bench.queue.estimateWaitMs();
    for (let i = 0; i < 200; i++) bench.queue.recordSlotTime(500);
    expect(bench.queue.estimateWaitMs() < before / 3).toEqual(true);
  });
});
