import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ENGINE} from '../test/gate-world.js';
import {estimateWriteMs} from './engine-model.js';
import {EnginePasses} from './engine-passes.js';
import type {PartWork} from './engine-passes.js';

function buildPart(ms: number, isOwn = false): PartWork {
  return {ms, tokens: ms * 100, isOwn, isWhole: false};
}

/** Ends of the parts that stand, whole ms. */
function listEnds(passes: EnginePasses, now: number): Record<string, number> {
  const ends = [...passes.readEnds(now)];
  return Object.fromEntries(ends.map(([key, ms]) => [key, Math.round(ms)]));
}

describe('passes of an engine that writes nothing', () => {
  it('read what came last first, own prompts too', () => {
    // A prompt of 570,000 tokens was sent to an engine that still had a part
    // of an older one to read. Taken for read before it, the older prompt
    // was forgotten; it came 11 seconds later, after the long one.
    const passes = new EnginePasses(ENGINE);
    passes.addPart('old', buildPart(50), 0);
    passes.addPart('own', buildPart(100, true), 0);
    passes.addPart('new', buildPart(20), 0);
    expect(listEnds(passes, 0)).toEqual({new: 20, own: 120, old: 170});
  });

  it('go on with an older part once a newer one is read', () => {
    const passes = new EnginePasses(ENGINE);
    passes.addPart('old', buildPart(50), 0);
    passes.addPart('new', buildPart(100), 30);
    expect(listEnds(passes, 80).old).toEqual(70);
    expect(listEnds(passes, 151)).toEqual({});
  });

  it('do not take a part for read that a long one stood before', () => {
    // A long part goes ahead of an older one for three seconds, then its
    // caller leaves. The older one has not been read meanwhile.
    const passes = new EnginePasses(ENGINE);
    passes.addPart('old', buildPart(300), 0);
    passes.addPart('long', buildPart(6000), 20);
    passes.removePart('long', 3020);
    expect(listEnds(passes, 3020)).toEqual({old: 280});
  });

  it('read as much as time passes, whatever comes and goes', () => {
    const part = fc.record({
      work: fc.integer({min: 1, max: 500}),
      pause: fc.integer({min: 0, max: 400}),
      isOwn: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(part, {maxLength: 30}), parts => {
        const passes = new EnginePasses(ENGINE);
        let now = 0;
        let expected = 0;
        for (const [i, {work, pause, isOwn}] of parts.entries()) {
          passes.addPart(`k${i}`, buildPart(work, isOwn), now);
          expected = Math.max(0, expected + work - pause);
          now += pause;
          const lastMs = Math.max(0, ...passes.readEnds(now).values());
          expect(Math.abs(lastMs - expected) < 1e-3).toEqual(true);
        }
      }),
    );
  });

  it('take as much longer as the engine is slow', () => {
    const passes = new EnginePasses(ENGINE);
    passes.addPart('a', buildPart(300), 0);
    passes.setPace(3, 100);
    expect(listEnds(passes, 100)).toEqual({a: 600});
    expect(listEnds(passes, 400)).toEqual({a: 300});
  });
});

describe('passes of an engine that writes', () => {
  const writeMs = estimateWriteMs(1, 2000, ENGINE);

  /** An engine with one stream, half a pass before the next may begin. */
  function openWriting(): EnginePasses {
    const passes = new EnginePasses(ENGINE);
    passes.addWriter('w', 2000, 0);
    return passes;
  }

  it('read one part of another engine’s prompt each', () => {
    const passes = openWriting();
    passes.addPart('old', buildPart(200), 0);
    passes.addPart('new', buildPart(100), 0);
    const newEnd = writeMs / 2 + writeMs + 100;
    expect(listEnds(passes, 0)).toEqual({
      new: Math.round(newEnd),
      old: Math.round(newEnd + writeMs + 200),
    });
    expect(passes.listPassReads(0).map(Math.round)).toEqual([100, 200]);
  });

  it('let nothing interrupt them', () => {
    // A short prompt comes while a pass reads a second of a long one. Its
    // first event was predicted at once, and 87 of 90 that were late on a
    // heavy day had been predicted in time.
    const passes = openWriting();
    passes.addPart('long', buildPart(900), 0);
    const passEnd = writeMs / 2 + writeMs + 900;
    passes.readEnds(100);
    passes.addPart('short', buildPart(20, true), 100);
    const ends = listEnds(passes, 100);
    expect(ends.long).toEqual(Math.round(passEnd - 100));
    expect(ends.short).toEqual(Math.round(passEnd - 100 + writeMs + 20));
    expect(Math.round(passes.countWaitMs(100))).toEqual(ends.long);
  });

  it('begin with the first prompt that is read to its end', () => {
    // Long parts stand on an engine that writes nothing. A short prompt goes
    // ahead of them; once it is read it is written, and a long pass begins
    // before its first event has told anyone. The next short prompts were
    // sent there as to an engine that is idle, and came 500 ms late.
    const passes = new EnginePasses(ENGINE);
    passes.addPart('long', buildPart(400), 0);
    const short = {ms: 30, tokens: 3000, isOwn: true, isWhole: true};
    passes.addPart('short', short, 0);
    const shortWriteMs = estimateWriteMs(1, 3000, ENGINE);
    expect(Math.round(passes.countWaitMs(40))).toEqual(
      Math.round(shortWriteMs + 400 - 10),
    );
  });

  it('are over for a prompt whose stream is written', () => {
    const passes = new EnginePasses(ENGINE);
    const short = {ms: 6, tokens: 1000, isOwn: true, isWhole: true};
    passes.addPart('a', short, 0);
    passes.addPart('b', short, 0);
    expect(passes.readEnds(0).size).toEqual(2);
    expect(passes.readEnds(500).size).toEqual(0);
  });

  it('read a part that is longer than a pass in several', () => {
    const passes = openWriting();
    const tokens = ENGINE.stepsPerPass * ENGINE.chunkTokens * 1.5;
    passes.addPart('huge', {ms: 3000, tokens, isOwn: true, isWhole: false}, 0);
    expect(passes.listPassReads(0).map(Math.round)).toEqual([2000, 1000]);
  });

  it('end for an engine whose bound on a step was lost', () => {
    // A gate has its configuration from another one, without the tokens of a
    // step. It planned passes that read nothing, one after the other, until
    // its memory was full and every stream that it forwarded was cut.
    const passes = new EnginePasses({...ENGINE, chunkTokens: 0});
    passes.addWriter('w', 2000, 0);
    passes.addPart('a', {...buildPart(10), tokens: 20}, 0);
    expect(passes.listPassReads(0).length).toEqual(20);
    expect(passes.readEnds(0).size).toEqual(1);
  });

  it('end with the stream', () => {
    const passes = openWriting();
    passes.removeWriter('w', 10);
    passes.addPart('a', buildPart(100), 20);
    expect(listEnds(passes, 20)).toEqual({a: 100});
  });
});
