import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ENGINE} from '../test/gate-world.js';
import {estimateDecodeMs} from './engine-model.js';
import {EngineIterations} from './engine-iterations.js';
import type {ShardWork} from './engine-iterations.js';

function buildPart(ms: number, isOwn = false): ShardWork {
  return {ms, tokens: ms * 100, isOwn, isWhole: false};
}

/** Prefill ends of the queued shards, in whole ms. */
function listEnds(
  iterations: EngineIterations,
  now: number,
): Record<string, number> {
  const ends = [...iterations.listPrefillEnds(now)];
  return Object.fromEntries(ends.map(([key, ms]) => [key, Math.round(ms)]));
}

describe('iterations of an engine that decodes nothing', () => {
  it('prefill the newest shard first, own prompts included', () => {
    // Guards against a shard that is forgotten when a newer one preempts it.
    const iterations = new EngineIterations(ENGINE);
    iterations.addShard('old', buildPart(50), 0);
    iterations.addShard('own', buildPart(100, true), 0);
    iterations.addShard('new', buildPart(20), 0);
    expect(listEnds(iterations, 0)).toEqual({new: 20, own: 120, old: 170});
  });

  it('resume an older shard after a newer one', () => {
    const iterations = new EngineIterations(ENGINE);
    iterations.addShard('old', buildPart(50), 0);
    iterations.addShard('new', buildPart(100), 30);
    expect(listEnds(iterations, 80).old).toEqual(70);
    expect(listEnds(iterations, 151)).toEqual({});
  });

  it('do not complete a shard that a long one preempted', () => {
    // Guards against counting prefill that a preempted shard did not get.
    const iterations = new EngineIterations(ENGINE);
    iterations.addShard('old', buildPart(300), 0);
    iterations.addShard('long', buildPart(6000), 20);
    iterations.removeShard('long', 3020);
    expect(listEnds(iterations, 3020)).toEqual({old: 280});
  });

  it('prefill as much as time passes, whatever is added and removed', () => {
    const shard = fc.record({
      work: fc.integer({min: 1, max: 500}),
      pause: fc.integer({min: 0, max: 400}),
      isOwn: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(shard, {maxLength: 30}), shards => {
        const iterations = new EngineIterations(ENGINE);
        let now = 0;
        let expected = 0;
        for (const [i, {work, pause, isOwn}] of shards.entries()) {
          iterations.addShard(`k${i}`, buildPart(work, isOwn), now);
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

  it('take as much longer as the engine is slow', () => {
    const iterations = new EngineIterations(ENGINE);
    iterations.addShard('a', buildPart(300), 0);
    iterations.setSlowdown(3, 100);
    expect(listEnds(iterations, 100)).toEqual({a: 600});
    expect(listEnds(iterations, 400)).toEqual({a: 300});
  });
});

describe('iterations of an engine that decodes', () => {
  const decodeMs = estimateDecodeMs(1, 2000, ENGINE);

  /**
   * An engine that decodes one stream, half an iteration before the next one.
   */
  function openDecoding(): EngineIterations {
    const iterations = new EngineIterations(ENGINE);
    iterations.addSequence('w', 2000, 0);
    return iterations;
  }

  it('prefill one shard of another engine’s prompt each', () => {
    const iterations = openDecoding();
    iterations.addShard('old', buildPart(200), 0);
    iterations.addShard('new', buildPart(100), 0);
    const newEnd = decodeMs / 2 + decodeMs + 100;
    expect(listEnds(iterations, 0)).toEqual({
      new: Math.round(newEnd),
      old: Math.round(newEnd + decodeMs + 200),
    });
    expect(iterations.listIterationPrefills(0).map(Math.round)).toEqual([
      100, 200,
    ]);
  });

  it('let nothing interrupt them', () => {
    // Guards against predicting an immediate first token while a long iteration
    // runs.
    const iterations = openDecoding();
    iterations.addShard('long', buildPart(900), 0);
    const passEnd = decodeMs / 2 + decodeMs + 900;
    iterations.listPrefillEnds(100);
    iterations.addShard('short', buildPart(20, true), 100);
    const ends = listEnds(iterations, 100);
    expect(ends.long).toEqual(Math.round(passEnd - 100));
    expect(ends.short).toEqual(Math.round(passEnd - 100 + decodeMs + 20));
    expect(Math.round(iterations.countWaitMs(100))).toEqual(ends.long);
  });

  it('begin with the first prompt whose prefill ends', () => {
    // Guards against treating an engine as idle between prefill and the first
    // token.
    const iterations = new EngineIterations(ENGINE);
    iterations.addShard('long', buildPart(400), 0);
    const short = {ms: 30, tokens: 3000, isOwn: true, isWhole: true};
    iterations.addShard('short', short, 0);
    const shortWriteMs = estimateDecodeMs(1, 3000, ENGINE);
    expect(Math.round(iterations.countWaitMs(40))).toEqual(
      Math.round(shortWriteMs + 400 - 10),
    );
  });

  it('are over for a prompt whose stream is decoded', () => {
    const iterations = new EngineIterations(ENGINE);
    const short = {ms: 6, tokens: 1000, isOwn: true, isWhole: true};
    iterations.addShard('a', short, 0);
    iterations.addShard('b', short, 0);
    expect(iterations.listPrefillEnds(0).size).toEqual(2);
    expect(iterations.listPrefillEnds(500).size).toEqual(0);
  });

  it('split a shard that is longer than one iteration', () => {
    const iterations = openDecoding();
    const tokens = ENGINE.stepsPerIteration * ENGINE.chunkTokens * 1.5;
    iterations.addShard(
      'huge',
      {ms: 3000, tokens, isOwn: true, isWhole: false},
      0,
    );
    expect(iterations.listIterationPrefills(0).map(Math.round)).toEqual([
      2000, 1000,
    ]);
  });

  it('end for an engine whose bound on a step was lost', () => {
    // Guards against an endless plan when the chunk size is missing.
    const iterations = new EngineIterations({...ENGINE, chunkTokens: 0});
    iterations.addSequence('w', 2000, 0);
    iterations.addShard('a', {...buildPart(10), tokens: 20}, 0);
    expect(iterations.listIterationPrefills(0).length).toEqual(20);
    expect(iterations.listPrefillEnds(0).size).toEqual(1);
  });

  it('end with the stream', () => {
    const iterations = openDecoding();
    iterations.removeSequence('w', 10);
    iterations.addShard('a', buildPart(100), 20);
    expect(listEnds(iterations, 20)).toEqual({a: 100});
  });
});
