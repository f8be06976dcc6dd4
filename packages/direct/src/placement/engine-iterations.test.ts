import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ENGINE} from '../test/gate-harness.js';
import {estimateDecodeMs} from './engine-model.js';
import {EngineIterations} from './engine-iterations.js';
import type {ShardWork} from './engine-iterations.js';

function buildShard(ms: number, isDecodedHere = false): ShardWork {
  return {ms, tokens: ms * 100, isDecodedHere, isWhole: false};
}

/** Lists the prefill ends of the queued shards, rounded to ms. */
function listRoundedEnds(
  iterations: EngineIterations,
  now: number,
): Record<string, number> {
  const ends = [...iterations.listPrefillEnds(now)];
  return Object.fromEntries(ends.map(([key, ms]) => [key, Math.round(ms)]));
}

describe('EngineIterations while no stream is decoded', () => {
  it('prefills the newest shard first, even before prompts that the engine decodes', () => {
    // Guards against dropping a shard when a newer one preempts it.
    const iterations = new EngineIterations(ENGINE);
    iterations.addShard('old', buildShard(50), 0);
    iterations.addShard('own', buildShard(100, true), 0);
    iterations.addShard('new', buildShard(20), 0);
    expect(listRoundedEnds(iterations, 0)).toEqual({
      new: 20,
      own: 120,
      old: 170,
    });
  });

  it('resumes a preempted shard after the newer shard has completed', () => {
    const iterations = new EngineIterations(ENGINE);
    iterations.addShard('old', buildShard(50), 0);
    iterations.addShard('new', buildShard(100), 30);
    expect(listRoundedEnds(iterations, 80).old).toEqual(70);
    expect(listRoundedEnds(iterations, 151)).toEqual({});
  });

  it('does not advance a shard while a long newer shard preempts it', () => {
    // Guards against counting prefill time that a preempted shard did not get.
    const iterations = new EngineIterations(ENGINE);
    iterations.addShard('old', buildShard(300), 0);
    iterations.addShard('long', buildShard(6000), 20);
    iterations.removeShard('long', 3020);
    expect(listRoundedEnds(iterations, 3020)).toEqual({old: 280});
  });

  it('reduces the queued prefill by the elapsed time for any added shards', () => {
    const shard = fc.record({
      work: fc.integer({min: 1, max: 500}),
      pause: fc.integer({min: 0, max: 400}),
      isDecodedHere: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(shard, {maxLength: 30}), shards => {
        const iterations = new EngineIterations(ENGINE);
        let now = 0;
        let expected = 0;
        for (const [i, {work, pause, isDecodedHere}] of shards.entries()) {
          iterations.addShard(`k${i}`, buildShard(work, isDecodedHere), now);
          expected = Math.max(0, expected + work - pause);
          now += pause;
          const lastMs = Math.max(
            0,
            ...iterations.listPrefillEnds(now).values(),
          );
          expect(Math.abs(lastMs - expected) < 1e-3).toEqual(true);
        }
      }),
    );
  });

  it('scales the remaining prefill time by the slowdown of the engine', () => {
    const iterations = new EngineIterations(ENGINE);
    iterations.addShard('a', buildShard(300), 0);
    iterations.setSlowdown(3, 100);
    expect(listRoundedEnds(iterations, 100)).toEqual({a: 600});
    expect(listRoundedEnds(iterations, 400)).toEqual({a: 300});
  });
});

describe('EngineIterations while streams are decoded', () => {
  const decodeMs = estimateDecodeMs(1, 2000, ENGINE);

  /**
   * Creates an engine that decodes one stream, halfway through an iteration.
   */
  function createDecodingEngine(): EngineIterations {
    const iterations = new EngineIterations(ENGINE);
    iterations.addSequence('w', 2000, 0);
    return iterations;
  }

  it('prefills all queued shards in the next iteration', () => {
    // Guards against a pause of all streams that is predicted too short.
    const iterations = createDecodingEngine();
    iterations.addShard('old', buildShard(200), 0);
    iterations.addShard('own', buildShard(50, true), 0);
    iterations.addShard('new', buildShard(100), 0);
    const end = Math.round(decodeMs / 2 + decodeMs + 350);
    expect(listRoundedEnds(iterations, 0)).toEqual({
      new: end,
      own: end,
      old: end,
    });
    expect(iterations.listIterationPrefills(0).map(Math.round)).toEqual([350]);
  });

  it('prefills the newest shards first if one iteration cannot take all', () => {
    // Guards against a long prompt that delays the prompts after it.
    const iterations = createDecodingEngine();
    const iterationTokens = ENGINE.stepsPerIteration * ENGINE.chunkTokens;
    const work = {isDecodedHere: false, isWhole: false};
    const addShard = (key: string, ms: number, share: number) =>
      iterations.addShard(
        key,
        {...work, ms, tokens: share * iterationTokens},
        0,
      );
    addShard('old', 800, 0.8);
    addShard('new', 400, 0.4);
    const firstEnd = decodeMs / 2 + decodeMs + 400 + 600;
    expect(listRoundedEnds(iterations, 0)).toEqual({
      new: Math.round(firstEnd),
      old: Math.round(firstEnd + decodeMs + 200),
    });
    expect(iterations.listIterationPrefills(0).map(Math.round)).toEqual([
      1000, 200,
    ]);
  });

  it('starts a new shard only after the running iteration has ended', () => {
    // Guards against predicting an immediate first token while a long iteration
    // is running.
    const iterations = createDecodingEngine();
    iterations.addShard('long', buildShard(900), 0);
    const iterationEnd = decodeMs / 2 + decodeMs + 900;
    iterations.listPrefillEnds(100);
    iterations.addShard('short', buildShard(20, true), 100);
    const ends = listRoundedEnds(iterations, 100);
    expect(ends.long).toEqual(Math.round(iterationEnd - 100));
    expect(ends.short).toEqual(Math.round(iterationEnd - 100 + decodeMs + 20));
    expect(Math.round(iterations.estimateStartDelayMs(100))).toEqual(ends.long);
  });

  it('starts long iterations once a prompt that the engine decodes is prefilled', () => {
    // Guards against treating an engine as idle between the end of prefill and
    // the first token.
    const iterations = new EngineIterations(ENGINE);
    iterations.addShard('long', buildShard(400), 0);
    const short = {ms: 30, tokens: 3000, isDecodedHere: true, isWhole: true};
    iterations.addShard('short', short, 0);
    const shortDecodeMs = estimateDecodeMs(1, 3000, ENGINE);
    expect(Math.round(iterations.estimateStartDelayMs(40))).toEqual(
      Math.round(shortDecodeMs + 400 - 10),
    );
  });

  it('lists no prefill end for prompts whose prefill has ended', () => {
    const iterations = new EngineIterations(ENGINE);
    const short = {ms: 6, tokens: 1000, isDecodedHere: true, isWhole: true};
    iterations.addShard('a', short, 0);
    iterations.addShard('b', short, 0);
    expect(iterations.listPrefillEnds(0).size).toEqual(2);
    expect(iterations.listPrefillEnds(500).size).toEqual(0);
  });

  it('splits a shard with more tokens than one iteration takes', () => {
    const iterations = createDecodingEngine();
    const tokens = ENGINE.stepsPerIteration * ENGINE.chunkTokens * 1.5;
    iterations.addShard(
      'huge',
      {ms: 3000, tokens, isDecodedHere: true, isWhole: false},
      0,
    );
    expect(iterations.listIterationPrefills(0).map(Math.round)).toEqual([
      2000, 1000,
    ]);
  });

  it('plans one token per iteration if the configured chunk size is 0', () => {
    // Guards against a plan that never ends because no iteration makes
    // progress.
    const iterations = new EngineIterations({...ENGINE, chunkTokens: 0});
    iterations.addSequence('w', 2000, 0);
    iterations.addShard('a', {...buildShard(10), tokens: 20}, 0);
    expect(iterations.listIterationPrefills(0).length).toEqual(20);
    expect(iterations.listPrefillEnds(0).size).toEqual(1);
  });

  it('prefills a shard at once after the last stream has ended', () => {
    const iterations = createDecodingEngine();
    iterations.removeSequence('w', 10);
    iterations.addShard('a', buildShard(100), 20);
    expect(listRoundedEnds(iterations, 20)).toEqual({a: 100});
  });
});
