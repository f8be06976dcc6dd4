import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createAdmissionQueue} from './admission-queue.js';
import type {QueueEntry} from './admission-queue.js';

/** Admission queue with a clock and free slots that the test sets. */
class QueueHarness {
  now = 0;
  freeSlots = 0;
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
        if (this.freeSlots === 0) return false;
        this.freeSlots--;
        this.order.push(name);
        return true;
      },
    };
    return this.queue.enter(entry, this.signal);
  }
}

describe('AdmissionQueue', () => {
  it('refuses a stream at once if its estimated wait exceeds its limit', async () => {
    // Guards against callers that wait in the queue although their stream
    // cannot get a slot in time.
    const harness = new QueueHarness(176);
    const waits = Array.from({length: 30}, () => harness.enter('x', 300));
    const refused = await Promise.race([
      waits[29],
      new Promise<string>(resolve => setTimeout(() => resolve('held'), 50)),
    ]);
    expect(refused).toEqual('refused');
    expect(harness.queue.length < 12).toEqual(true);
    harness.now = 1000;
    harness.queue.advance();
    expect(harness.queue.length).toEqual(0);
  });

  it('places the stream with the earliest wait limit first and refuses expired ones', async () => {
    const harness = new QueueHarness(10_000);
    const long = harness.enter('long', 3000);
    const first = harness.enter('short-1', 300);
    harness.freeSlots = 1;
    harness.queue.advance();
    expect(harness.order).toEqual(['short-1']);
    harness.now = 1000;
    const second = harness.enter('short-2', 300);
    harness.freeSlots = 1;
    harness.queue.advance();
    expect(harness.order).toEqual(['short-1', 'long']);
    expect([await first, await long]).toEqual(['placed', 'placed']);
    harness.now = 2000;
    harness.queue.advance();
    expect(await second).toEqual('refused');
  });

  it('places a small prompt before a large one that does not fit the KV cache', async () => {
    // Guards against head-of-line blocking by a prompt that needs more KV cache
    // than is free.
    const harness = new QueueHarness(10_000);
    const enter = (promptTokens: number, isFitting: boolean) =>
      harness.queue.enter(
        {
          arrivedAt: 0,
          objectiveMs: 300,
          promptTokens,
          tryPlace: () => isFitting,
        },
        harness.signal,
      );
    const large = enter(400_000, false);
    const small = enter(3000, true);
    harness.queue.advance();
    expect(await small).toEqual('placed');
    harness.now = 1000;
    harness.queue.advance();
    expect(await large).toEqual('refused');
  });

  it('removes a waiting stream when its caller aborts the request', async () => {
    const harness = new QueueHarness(10_000);
    const callerAbort = new AbortController();
    const entry = {
      arrivedAt: 0,
      objectiveMs: 300,
      promptTokens: 1,
      tryPlace: () => false,
    };
    const waiting = harness.queue.enter(entry, callerAbort.signal);
    callerAbort.abort();
    expect(await waiting).toEqual('left');
    expect(harness.queue.length).toEqual(0);
  });

  it('lowers the estimated wait when streams hold slots for less time', () => {
    const harness = new QueueHarness(100);
    const before = harness.queue.estimateWaitMs();
    for (let i = 0; i < 200; i++) harness.queue.recordSlotTime(500);
    expect(harness.queue.estimateWaitMs() < before / 3).toEqual(true);
  });
});
