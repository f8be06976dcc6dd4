/**
 * Measures what one choice of engines costs, for a short and a long prompt, and
 * how it grows with the number of engines. Needs the compiled packages.
 *
 * Usage: node scripts/measure-choices.mjs [choices for each figure]
 */
import {createLoadTracker} from '../packages/direct/dist/placement/load-tracker.js';
import {PromptPlacer} from '../packages/direct/dist/placement/prompt-placer.js';
import {estimateValue} from '../packages/direct/dist/placement/place-prompt.js';

const ENGINE = {
  slots: 11,
  kvCapacityTokens: 315_000,
  stepMs: 0.85,
  stepMsPerSequence: 0.006,
  stepMsPerContextK: 0.00285,
  prefillTokensPerMs: 177,
  attentionMsPerMillionPairs: 0.184,
  stepsPerIteration: 51,
  chunkTokens: 2048,
};

const ENGINE_COUNTS = [23, 60, 135, 350];

/** Prompt sizes in tokens, with the objectives of their routes. */
const PROMPTS = {
  short: {promptTokens: 1500, objectiveMs: 300, itlObjectiveMs: 250},
  long: {promptTokens: 150_000, objectiveMs: 4000, itlObjectiveMs: 1000},
};

/** Streams that each engine decodes, on average. */
const STREAMS_PER_ENGINE = 4;

/** Engines for each long prompt that is being prefilled. */
const ENGINES_PER_LONG_PROMPT = 8;

/** Engines that prefill one long prompt together. */
const SHARDS = 4;

/** Returns a generator of numbers from 0 to 1 that repeats for a seed. */
function createRandom(seed) {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

function buildPlacement(key, targets, prompt, now) {
  return {
    key,
    decoder: targets[0],
    shards: targets.map(target => ({target, prefillMs: 300})),
    promptTokens: prompt.promptTokens,
    kvTokens: prompt.promptTokens / targets.length,
    reserved: targets
      .slice(1)
      .map(target => ({target, tokens: prompt.promptTokens / targets.length})),
    objectiveMs: prompt.objectiveMs,
    itlObjectiveMs: prompt.itlObjectiveMs,
    value: estimateValue(prompt.promptTokens),
    predictedTtftMs: 400,
    placedAt: now,
  };
}

/** Creates a placer for engines that decode streams and prefill long prompts. */
function createLoadedPlacer(engineCount, now) {
  const random = createRandom(engineCount);
  const targets = Array.from({length: engineCount}, (_, i) => ({
    id: `i-${i}`,
    service: 'chat',
    zone: `az-${i % 5}`,
  }));
  const pick = () => targets[Math.floor(random() * engineCount)].id;
  const tracker = createLoadTracker(() => ENGINE);
  let number = 0;
  for (let i = 0; i < engineCount * STREAMS_PER_ENGINE; i++) {
    const placement = buildPlacement(`a#${++number}`, [pick()], PROMPTS.short, now);
    tracker.add(placement, true);
  }
  for (let i = 0; i < engineCount / ENGINES_PER_LONG_PROMPT; i++) {
    const shards = [...new Set(Array.from({length: SHARDS}, pick))];
    tracker.add(buildPlacement(`a#${++number}`, shards, PROMPTS.long, now));
  }
  const announcer = {
    announcePlaced: () => undefined,
    announceFirstToken: () => undefined,
    announceEnded: () => undefined,
  };
  return new PromptPlacer({
    owner: 'b',
    zone: 'az-0',
    eligible: {list: () => targets, readWaitMs: () => 0},
    slowdowns: {read: () => 1},
    access: {isSpared: () => false},
    tracker,
    announcer,
    measureHeardShare: () => 1,
    readNow: () => now,
  });
}

function measureChoices(engineCount, prompt, choices) {
  const now = performance.now();
  const placer = createLoadedPlacer(engineCount, now);
  const request = {
    service: 'chat',
    maxOutputTokens: 400,
    objectiveLeftMs: prompt.objectiveMs,
    ...prompt,
  };
  const times = [];
  for (let i = 0; i < choices; i++) {
    const startedAt = performance.now();
    const outcome = placer.place(request, ENGINE, new Set(), false);
    times.push(performance.now() - startedAt);
    outcome?.release?.();
  }
  times.sort((a, b) => a - b);
  const find = share => times[Math.floor((times.length - 1) * share)].toFixed(2);
  return {median: find(0.5), p99: find(0.99)};
}

const choices = Number(process.argv[2] ?? 200);
console.log('| engines | short: median, 99 % (ms) | long: median, 99 % (ms) |');
console.log('| --- | --- | --- |');
for (const engineCount of ENGINE_COUNTS) {
  const [short, long] = Object.values(PROMPTS).map(prompt =>
    measureChoices(engineCount, prompt, choices),
  );
  console.log(
    `| ${engineCount} | ${short.median}, ${short.p99} | ${long.median}, ${long.p99} |`,
  );
}
