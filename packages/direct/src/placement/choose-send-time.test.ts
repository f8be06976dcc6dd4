import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ENGINE} from '../test/gate-harness.js';
import {chooseSendTime} from './choose-send-time.js';
import {createLoadTracker} from './load-tracker.js';
import {
  buildPlacement,
  choosePromptEngines,
  estimateValue,
} from './place-prompt.js';
import type {LoadTracker} from './load-tracker.js';
import type {PromptDemand} from './prompt-types.js';
import type {TimedChoice} from './choose-send-time.js';

const ENGINES = 6;

function buildDemand(promptTokens: number, waitedMs: number): PromptDemand {
  return {
    promptTokens,
    maxOutputTokens: 800,
    objectiveMs: 3000,
    objectiveLeftMs: 3000 - waitedMs,
    itlObjectiveMs: 1000,
    value: estimateValue(promptTokens),
  };
}

function choose(
  tracker: LoadTracker,
  demand: PromptDemand,
  now: number,
  engines = ENGINES,
): TimedChoice | undefined {
  const candidates = Array.from({length: engines}, (_, i) => ({
    id: `e${i}`,
    isRemote: false,
    slowdown: 1,
    load: tracker.describe(`e${i}`, now),
  }));
  return chooseSendTime(candidates, demand, ENGINE, now);
}

interface BurstResult {
  /** Time to first token of each prompt, as a share of its objective. */
  readonly shares: readonly number[];
  readonly deferredMs: number;
}

/**
 * Simulates prompts that arrive `intervalMs` apart. Each is sent at the chosen
 * time, or at once if deferral is not allowed.
 */
function runBurst(
  sizes: readonly number[],
  intervalMs: number,
  isDeferralAllowed: boolean,
): BurstResult {
  const tracker = createLoadTracker(() => ENGINE);
  const pending = sizes.map((tokens, i) => ({tokens, at: i * intervalMs, i}));
  const open = new Map<string, number>();
  const shares: number[] = [];
  let deferredMs = 0;
  for (let now = 0; now < 60_000 && shares.length < sizes.length; now += 20) {
    for (const [key, arrivedAt] of open) {
      const isPrefilled = Array.from(
        {length: ENGINES},
        (_, i) => `e${i}`,
      ).every(
        id =>
          !tracker
            .describe(id, now)
            .queued.some(({placement}) => placement.key === key),
      );
      if (!isPrefilled) continue;
      shares.push((now - arrivedAt) / 3000);
      open.delete(key);
      tracker.remove(key, now);
    }
    for (const prompt of [...pending]) {
      if (prompt.at > now) break;
      const demand = buildDemand(prompt.tokens, now - prompt.at);
      const timed = choose(tracker, demand, now);
      if (timed === undefined) continue;
      if (isDeferralAllowed && timed.waitMs > 0) {
        deferredMs += 20;
        continue;
      }
      pending.splice(pending.indexOf(prompt), 1);
      const key = `g#${prompt.i}`;
      tracker.add(buildPlacement(key, timed.choice, demand, now));
      open.set(key, prompt.at);
    }
  }
  return {shares, deferredMs};
}

describe('chooseSendTime', () => {
  it('splits a long prompt and sends it at once when all engines are idle', () => {
    const tracker = createLoadTracker(() => ENGINE);
    const timed = choose(tracker, buildDemand(150_000, 0), 0);
    expect(timed?.waitMs).toEqual(0);
    expect((timed?.choice.shards.length ?? 0) > 3).toEqual(true);
  });

  it('defers a prompt that would delay another prompt near the end of its prefill', () => {
    // Guards against a huge prompt that preempts the last part of the prefill
    // of an older prompt, which then misses its objective.
    const tracker = createLoadTracker(() => ENGINE);
    const older = buildDemand(230_000, 1700);
    const candidates = Array.from({length: ENGINES}, (_, i) => ({
      id: `e${i}`,
      isRemote: false,
      slowdown: 1,
      load: tracker.describe(`e${i}`, 0),
    }));
    const choice = choosePromptEngines(candidates, older, ENGINE, 0);
    if (choice !== undefined)
      tracker.add(buildPlacement('g#1', choice, older, 0));
    const timed = choose(tracker, buildDemand(400_000, 0), 100);
    expect((timed?.waitMs ?? 0) > 0).toEqual(true);
  });

  it('lets fewer prompts of a burst miss their objective than immediate sending does', () => {
    // Guards against a burst in which each prompt preempts the earlier ones.
    const sizes = Array.from(
      {length: 24},
      (_, i) => 60_000 + ((i * 7) % 11) * 30_000,
    );
    const countLate = ({shares}: BurstResult) =>
      shares.filter(share => share > 1).length;
    const sum = ({shares}: BurstResult) => shares.reduce((a, b) => a + b, 0);
    const deferred = runBurst(sizes, 400, true);
    const atOnce = runBurst(sizes, 400, false);
    expect(deferred.shares.length).toEqual(sizes.length);
    expect(countLate(deferred) <= 9).toEqual(true);
    expect(countLate(atOnce) >= 11).toEqual(true);
    expect(sum(deferred) < sum(atOnce) * 0.85).toEqual(true);
  });

  it('eventually sends every prompt of any burst', () => {
    // Guards against a prompt that is deferred until its caller cancels.
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1000, max: 400_000}), {
          minLength: 1,
          maxLength: 8,
        }),
        fc.integer({min: 0, max: 600}),
        (sizes, intervalMs) => {
          const {shares} = runBurst(sizes, intervalMs, true);
          expect(shares.length).toEqual(sizes.length);
        },
      ),
      {numRuns: 40},
    );
  });
});

describe('chooseSendTime while every engine decodes short streams', () => {
  /** Prompt of which even the shortest shards outlast the callers' patience. */
  const BREAKING_TOKENS = 400_000;

  function createDecodingFleet(): LoadTracker {
    const tracker = createLoadTracker(() => ENGINE);
    for (let i = 0; i < ENGINES; i++)
      tracker.add(
        {
          key: `w#${i}`,
          decoder: `e${i}`,
          shards: [{target: `e${i}`, prefillMs: 0}],
          promptTokens: 3000,
          kvTokens: 4000,
          reserved: [],
          objectiveMs: 300,
          itlObjectiveMs: 250,
          value: 1.3,
          predictedTtftMs: 100,
          placedAt: 0,
        },
        true,
      );
    return tracker;
  }

  it('defers a prompt that would make callers cancel these streams', () => {
    // Guards against a long prompt that breaks answers that have begun.
    const tracker = createDecodingFleet();
    const timed = choose(tracker, buildDemand(BREAKING_TOKENS, 0), 10);
    expect((timed?.waitMs ?? 0) > 0).toEqual(true);
  });

  it('chooses nothing for such a prompt after its objective', () => {
    // Guards against a prompt that waits in vain until its deadline.
    const tracker = createDecodingFleet();
    const demand = buildDemand(BREAKING_TOKENS, 3000);
    expect(choose(tracker, demand, 10)).toEqual(undefined);
  });

  it('sends the prompt once an engine decodes nothing for callers to cancel', () => {
    const tracker = createDecodingFleet();
    for (let i = 0; i < ENGINES; i++) tracker.remove(`w#${i}`, 10);
    const demand = buildDemand(BREAKING_TOKENS, 500);
    expect(choose(tracker, demand, 500)?.waitMs).toEqual(0);
  });
});

describe('chooseSendTime in a large fleet', () => {
  const MANY_ENGINES = 40;

  /** Creates engines whose queued prompts just meet their objectives. */
  function createQueuedFleet(): LoadTracker {
    const tracker = createLoadTracker(() => ENGINE);
    for (let i = 0; i < MANY_ENGINES; i++)
      tracker.add({
        key: `q#${i}`,
        decoder: `e${i}`,
        shards: [{target: `e${i}`, prefillMs: 1800}],
        promptTokens: 300_000,
        kvTokens: 100_000,
        reserved: [],
        objectiveMs: 2000,
        itlObjectiveMs: 1000,
        value: estimateValue(300_000),
        predictedTtftMs: 1800,
        placedAt: 0,
      });
    return tracker;
  }

  it('defers a long prompt that costs the queued prompts more than it is worth', () => {
    // Guards against a prompt that preempts many others on a fleet for which no
    // delays are compared.
    const demand = buildDemand(300_000, 0);
    const timed = choose(createQueuedFleet(), demand, 10, MANY_ENGINES);
    expect((timed?.waitMs ?? 0) > 0).toEqual(true);
  });

  it('sends the prompt after its objective', () => {
    // Guards against a prompt that is deferred until its caller cancels.
    const demand = buildDemand(300_000, 3000);
    const timed = choose(createQueuedFleet(), demand, 10, MANY_ENGINES);
    expect(timed?.waitMs).toEqual(0);
  });

  it('sends a short prompt at once', () => {
    const demand = buildDemand(2000, 0);
    const timed = choose(createQueuedFleet(), demand, 10, MANY_ENGINES);
    expect(timed?.waitMs).toEqual(0);
  });
});
