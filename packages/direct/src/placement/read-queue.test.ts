import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ReadQueue} from './read-queue.js';

describe('reading that stands on an engine', () => {
  it('puts the newest part for another engine first, own prompts last', () => {
    const queue = new ReadQueue();
    queue.add('own', 100, 'own', 0);
    queue.add('old', 50, 'helper', 0);
    queue.add('new', 20, 'helper', 0);
    expect([...queue.readEnds(0)]).toEqual([
      ['new', 20],
      ['old', 70],
      ['own', 170],
    ]);
  });

  it('goes on with an older part once a newer one is read', () => {
    const queue = new ReadQueue();
    queue.add('old', 50, 'helper', 0);
    queue.add('new', 100, 'helper', 30);
    expect(queue.readEnds(80).get('old')).toEqual(70);
    expect(queue.countBacklogMs(150)).toEqual(0);
  });

  it('does not take a part for read that a long one stood before', () => {
    // A long part goes ahead of an older one for three seconds, then its
    // caller leaves. The older one has not been read meanwhile.
    const queue = new ReadQueue();
    queue.add('old', 300, 'helper', 0);
    queue.add('long', 6000, 'helper', 20);
    queue.remove('long', 3020);
    expect(queue.readEnds(3020).get('old')).toEqual(280);
  });

  it('reads as much as time passes, whatever comes and goes', () => {
    const part = fc.record({
      work: fc.integer({min: 0, max: 500}),
      pause: fc.integer({min: 0, max: 400}),
      isOwn: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(part, {maxLength: 30}), parts => {
        const queue = new ReadQueue();
        let now = 0;
        let expected = 0;
        for (const [i, {work, pause, isOwn}] of parts.entries()) {
          queue.add(`k${i}`, work, isOwn ? 'own' : 'helper', now);
          expected = Math.max(0, expected + work - pause);
          now += pause;
          const backlogMs = queue.countBacklogMs(now);
          expect(Math.abs(backlogMs - expected) < 1e-6).toEqual(true);
        }
      }),
    );
  });
});
