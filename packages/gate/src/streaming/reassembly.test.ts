import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createChunkStream} from './reassembly.js';

// One seed, so that the suite gives the same verdict every time.
fc.configureGlobal({seed: 20261202});

async function readInOrder(
  order: ReadonlyArray<{seq: number; text: string}>,
): Promise<string[]> {
  const stream = createChunkStream();
  const out: string[] = [];
  const done = stream.observe(text => out.push(text));
  for (const piece of order) stream.push({requestId: 'r', ...piece});
  stream.end();
  await done;
  return out;
}

describe('ordered reassembly', () => {
  it('releases early chunks only once the gap before them fills', async () => {
    expect(
      await readInOrder([
        {seq: 1, text: 'b'},
        {seq: 0, text: 'a'},
        {seq: 2, text: 'c'},
      ]),
    ).toEqual(['a', 'b', 'c']);
  });

  it('drops the copies a resumed stream sends again', async () => {
    const first = [0, 1, 2].map(seq => ({seq, text: `p${seq}`}));
    const resumed = [0, 1, 2, 3, 4].map(seq => ({seq, text: `p${seq}`}));
    expect(await readInOrder([...first, ...resumed])).toEqual([
      'p0',
      'p1',
      'p2',
      'p3',
      'p4',
    ]);
  });

  it('gives each piece once and in order, whatever the arrival order and copies (property)', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({min: 1, max: 30}).chain(n =>
          fc.tuple(
            fc.constant(n),
            fc.shuffledSubarray(
              [...Array(n * 2).keys()].map(i => i % n),
              {minLength: n * 2},
            ),
          ),
        ),
        async ([n, arrival]) => {
          const out = await readInOrder(
            arrival.map(seq => ({seq, text: `t${seq}`})),
          );
          expect(out).toEqual([...Array(n).keys()].map(i => `t${i}`));
        },
      ),
    );
  });
});
