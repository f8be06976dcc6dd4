import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createChunkStream} from './reassembly.js';

// A fixed seed makes the property tests reproducible.
fc.configureGlobal({seed: 20261202});

async function readReleasedTexts(
  order: ReadonlyArray<{seq: number; text: string}>,
): Promise<string[]> {
  const stream = createChunkStream();
  const out: string[] = [];
  const done = stream.observe(text => out.push(text));
  for (const arrival of order) stream.push({requestId: 'r', ...arrival});
  stream.end();
  await done;
  return out;
}

describe('ChunkStream', () => {
  it('holds a chunk that arrives early until all chunks before it have arrived', async () => {
    expect(
      await readReleasedTexts([
        {seq: 1, text: 'b'},
        {seq: 0, text: 'a'},
        {seq: 2, text: 'c'},
      ]),
    ).toEqual(['a', 'b', 'c']);
  });

  it('drops chunks that a resumed stream sends again', async () => {
    const first = [0, 1, 2].map(seq => ({seq, text: `p${seq}`}));
    const resumed = [0, 1, 2, 3, 4].map(seq => ({seq, text: `p${seq}`}));
    expect(await readReleasedTexts([...first, ...resumed])).toEqual([
      'p0',
      'p1',
      'p2',
      'p3',
      'p4',
    ]);
  });

  it('releases each chunk once and in order for any arrival order with duplicates (property)', async () => {
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
          const out = await readReleasedTexts(
            arrival.map(seq => ({seq, text: `t${seq}`})),
          );
          expect(out).toEqual([...Array(n).keys()].map(i => `t${i}`));
        },
      ),
    );
  });
});
