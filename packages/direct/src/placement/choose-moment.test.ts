import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ENGINE} from '../test/gate-world.js';
import {chooseMoment} from './choose-moment.js';
import {createLoadBook} from './load-book.js';
import {
  buildPlacement,
  choosePromptEngines,
  estimateValue,
} from './place-prompt.js';
import type {LoadBook} from './load-book.js';
import type {PromptDemand} from './prompt-types.js';
import type {MomentChoice} from './choose-moment.js';

const ENGINES = 6;

function buildDemand(promptTokens: number, waitedMs: number): PromptDemand {
  return {
    promptTokens,
    maxOutputTokens: 800,
    goalMs: 3000,
    goalLeftMs: 3000 - waitedMs,
    gapGoalMs: 1000,
    value: estimateValue(promptTokens),
  };
}

function choose(
  book: LoadBook,
  demand: PromptDemand,
  now: number,
): MomentChoice | undefined {
  const candidates = Array.from({length: ENGINES}, (_, i) => ({
    id: `e${i}`,
    isRemote: false,
    pace: 1,
    load: book.describe(`e${i}`, now),
  }));
  return chooseMoment(candidates, demand, ENGINE, now);
}

interface Play {
  /** Share of the objective that each prompt's first event took. */
  readonly shares: readonly number[];
  readonly keptMs: number;
}

/**
 * Plays prompts that arrive `everyMs` apart on engines that do what the book
 * says. Each is sent at the moment chosen for it, or at once.
 */
function runBurst(
  sizes: readonly number[],
  everyMs: number,
  mayWait: boolean,
): Play {
  const book = createLoadBook(() => ENGINE);
  const waiting = sizes.map((tokens, i) => ({tokens, at: i * everyMs, i}));
  const open = new Map<string, number>();
  const shares: number[] = [];
  let keptMs = 0;
  for (let now = 0; now < 60_000 && shares.length < sizes.length; now += 20) {
    for (const [key, arrivedAt] of open) {
      const isRead = Array.from({length: ENGINES}, (_, i) => `e${i}`).every(
        id =>
          !book
            .describe(id, now)
            .queued.some(({placement}) => placement.key === key),
      );
      if (!isRead) continue;
      shares.push((now - arrivedAt) / 3000);
      open.delete(key);
      book.remove(key, now);
    }
    for (const prompt of [...waiting]) {
      if (prompt.at > now) break;
      const demand = buildDemand(prompt.tokens, now - prompt.at);
      const moment = choose(book, demand, now);
      if (moment === undefined) continue;
      if (mayWait && moment.waitMs > 0) {
        keptMs += 20;
        continue;
      }
      waiting.splice(waiting.indexOf(prompt), 1);
      const key = `g#${prompt.i}`;
      book.add(buildPlacement(key, moment.choice, demand, now));
      open.set(key, prompt.at);
    }
  }
  return {shares, keptMs};
}

describe('the moment at which a long prompt is sent', () => {
  it('is now where engines are idle', () => {
    const book = createLoadBook(() => ENGINE);
    const moment = choose(book, buildDemand(150_000, 0), 0);
    expect(moment?.waitMs).toEqual(0);
    expect((moment?.choice.parts.length ?? 0) > 3).toEqual(true);
  });

  it('is later where it would make a prompt late that is nearly read', () => {
    // A huge prompt comes while every engine reads for one that is due. Sent
    // at once it goes ahead of it on all of them, and the older one, 2.4 s
    // into its three, is late by seconds.
    const book = createLoadBook(() => ENGINE);
    const older = buildDemand(230_000, 1700);
    const candidates = Array.from({length: ENGINES}, (_, i) => ({
      id: `e${i}`,
      isRemote: false,
      pace: 1,
      load: book.describe(`e${i}`, 0),
    }));
    const choice = choosePromptEngines(candidates, older, ENGINE, 0);
    if (choice !== undefined) book.add(buildPlacement('g#1', choice, older, 0));
    const moment = choose(book, buildDemand(400_000, 0), 100);
    expect((moment?.waitMs ?? 0) > 0).toEqual(true);
  });

  it('makes fewer prompts of a burst late than sending them at once', () => {
    // Long prompts come a little faster than six engines read them, for ten
    // seconds. Sent at once, each goes ahead of those before it: 12 of 24 were
    // late and took 2.3 of their objectives in the mean; kept back until
    // engines are free, 8 and 1.7.
    const sizes = Array.from(
      {length: 24},
      (_, i) => 60_000 + ((i * 7) % 11) * 30_000,
    );
    const countLate = ({shares}: Play) =>
      shares.filter(share => share > 1).length;
    const sum = ({shares}: Play) => shares.reduce((a, b) => a + b, 0);
    const kept = runBurst(sizes, 400, true);
    const atOnce = runBurst(sizes, 400, false);
    expect(kept.shares.length).toEqual(sizes.length);
    expect(countLate(kept) <= 9).toEqual(true);
    expect(countLate(atOnce) >= 11).toEqual(true);
    expect(sum(kept) < sum(atOnce) * 0.85).toEqual(true);
  });

  it('comes for every prompt, whatever the burst', () => {
    // A prompt that is always better sent later would wait until its caller
    // leaves.
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1000, max: 400_000}), {
          minLength: 1,
          maxLength: 8,
        }),
        fc.integer({min: 0, max: 600}),
        (sizes, everyMs) => {
          const {shares} = runBurst(sizes, everyMs, true);
          expect(shares.length).toEqual(sizes.length);
        },
      ),
      {numRuns: 40},
    );
  });
});
