import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  LONG_ITERATION_ENGINE,
  TestFleet,
  buildPromptDemand,
  findPatienceMs,
} from '../test/fleet-load.js';
import {estimatePrefillMs} from './engine-model.js';
import {planReservations} from './kv-cache.js';
import {
  MAX_PREFILL_ENGINES,
  buildPlacement,
  choosePromptEngines,
} from './place-prompt.js';
import type {Candidate} from './price-prefill.js';
import type {PromptChoice, PromptDemand} from './prompt-types.js';

/** Streams that one engine decodes, and a shard that it prefills. */
interface EngineSetup {
  readonly streams: number;
  readonly streamTokens: number;
  readonly queuedMs: number;
}

function buildFleet(setups: readonly EngineSetup[]): TestFleet {
  const fleet = new TestFleet(setups.length);
  for (const [i, {streams, streamTokens, queuedMs}] of setups.entries()) {
    fleet.addDecodedStreams(i, streams, streamTokens);
    if (queuedMs > 0) fleet.addHelperShard(i, queuedMs);
  }
  return fleet;
}

/** Lists engines whose decoded streams all outlast a shard of the prompt. */
function listSafeEngines(
  setups: readonly EngineSetup[],
  demand: PromptDemand,
  shardCount: number,
  isDecoder: boolean,
): ReadonlySet<string> {
  const prefillMs = estimatePrefillMs(
    demand.promptTokens,
    LONG_ITERATION_ENGINE,
  );
  const safe = new Set<string>();
  for (const [i, setup] of setups.entries()) {
    const fleet = buildFleet([setup]);
    const others = Array.from({length: shardCount - 1}, (_, j) => `x${j}`);
    const engines = isDecoder ? ['e0', ...others] : [...others, 'e0'];
    fleet.placeShards(engines, demand.promptTokens, prefillMs);
    if (fleet.listAbandoned('e0').length === 0) safe.add(`e${i}`);
  }
  return safe;
}

/**
 * Finds engines on which the prompt is prefilled before its caller cancels,
 * and none of whose streams pauses for longer than its caller waits.
 */
function findHarmlessEngines(
  setups: readonly EngineSetup[],
  demand: PromptDemand,
): readonly string[] | undefined {
  const candidates = buildFleet(setups).listCandidates();
  const byFreeKv = [...candidates].sort(
    (a, b) => a.load.kvTokens - b.load.kvTokens,
  );
  const most = Math.min(MAX_PREFILL_ENGINES, candidates.length);
  for (let shardCount = 1; shardCount <= most; shardCount++) {
    const decoders = listSafeEngines(setups, demand, shardCount, true);
    const helpers = listSafeEngines(setups, demand, shardCount, false);
    for (const decoder of byFreeKv.filter(({id}) => decoders.has(id))) {
      const others = byFreeKv
        .filter(({id}) => id !== decoder.id && helpers.has(id))
        .slice(0, shardCount - 1);
      if (others.length < shardCount - 1) break;
      if (isFeasible(setups, demand, decoder, others))
        return [decoder, ...others].map(({id}) => id);
    }
  }
  return undefined;
}

function isFeasible(
  setups: readonly EngineSetup[],
  demand: PromptDemand,
  decoder: Candidate,
  helpers: readonly Candidate[],
): boolean {
  const engine = LONG_ITERATION_ENGINE;
  if (planReservations(decoder, helpers, demand, engine) === undefined)
    return false;
  const fleet = buildFleet(setups);
  const key = fleet.placeShards(
    [decoder, ...helpers].map(({id}) => id),
    demand.promptTokens,
    estimatePrefillMs(demand.promptTokens, engine),
  );
  const ttftMs = fleet.tracker.estimateRemainingPrefillMs(key, 0);
  return ttftMs < findPatienceMs(demand);
}

/** Counts the callers that leave a stream if the prompt is placed as chosen. */
function countAbandoned(
  setups: readonly EngineSetup[],
  demand: PromptDemand,
  choice: PromptChoice,
): number {
  const fleet = buildFleet(setups);
  const engines = choice.shards.map(({target}) => target);
  const countOnEngines = () =>
    engines.reduce((sum, id) => sum + fleet.listAbandoned(id).length, 0);
  const before = countOnEngines();
  fleet.tracker.add(buildPlacement('new#1', choice, demand, 0));
  return countOnEngines() - before;
}

function choose(
  setups: readonly EngineSetup[],
  demand: PromptDemand,
): PromptChoice | undefined {
  return choosePromptEngines(
    buildFleet(setups).listCandidates(),
    demand,
    LONG_ITERATION_ENGINE,
    0,
  );
}

const engineSetups = fc.array(
  fc.record({
    streams: fc.integer({min: 0, max: 7}),
    streamTokens: fc.constantFrom(2000, 5000, 12_000),
    queuedMs: fc.constantFrom(0, 0, 0, 300, 900),
  }),
  {minLength: 8, maxLength: 24},
);

describe('streams that are decoded beside a new prompt', () => {
  it('are not paused for longer than their callers wait if the prompt can be placed otherwise', () => {
    // Guards against a long shard that makes the callers of all streams on its
    // engine cancel.
    fc.assert(
      fc.property(
        engineSetups,
        fc.integer({min: 20_000, max: 500_000}),
        (setups, promptTokens) => {
          const demand = buildPromptDemand(promptTokens);
          const choice = choose(setups, demand);
          if (choice === undefined) return;
          if (countAbandoned(setups, demand, choice) === 0) return;
          expect(findHarmlessEngines(setups, demand)).toEqual(undefined);
        },
      ),
      {seed: 40, numRuns: 150},
    );
  });

  it('of a fully decoding fleet outlast a prompt of 322,000 tokens', () => {
    // Guards against few long shards where many short ones would do.
    const setups = Array.from({length: 54}, () => ({
      streams: 7,
      streamTokens: 5000,
      queuedMs: 0,
    }));
    const demand = buildPromptDemand(322_000);
    const choice = choose(setups, demand);
    expect(choice && countAbandoned(setups, demand, choice)).toEqual(0);
  });
});

describe('streams that are decoded beside a waiting shard', () => {
  it('outlast the iteration that prefills it together with a new shard', () => {
    // Guards against shards that are each short enough for one iteration but
    // are prefilled in the same one.
    const waiting = {count: 5, prefillMs: 1187, tokens: 33_000};
    const fleet = new TestFleet(54);
    for (let i = 0; i < fleet.engineCount; i++)
      fleet.addDecodedStreams(i, 4, 5000);
    for (let i = 0; i < waiting.count; i++)
      fleet.addHelperShard(i, waiting.prefillMs, waiting.tokens);
    const choice = choosePromptEngines(
      fleet.listCandidates(),
      buildPromptDemand(229_745),
      LONG_ITERATION_ENGINE,
      0,
    );
    const busy = new Set(fleet.ids.slice(0, waiting.count));
    const pausesMs = choice?.shards.map(({target, prefillMs}) =>
      busy.has(target) ? waiting.prefillMs + prefillMs : prefillMs,
    );
    const patienceMs = findPatienceMs(buildPromptDemand(5000));
    expect(pausesMs?.filter(pauseMs => pauseMs > patienceMs)).toEqual([]);
  });
});

describe('new short stream', () => {
  it('is not placed where its second event comes after its caller has left if another engine is free', () => {
    // Guards against a stream that starts before a long iteration of its
    // engine, which callers do not outlast.
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            streams: fc.integer({min: 0, max: 6}),
            streamTokens: fc.constantFrom(2000, 5000, 12_000),
            queuedMs: fc.constantFrom(0, 300, 900, 2300, 3500),
          }),
          {minLength: 2, maxLength: 24},
        ),
        setups => {
          const demand = buildPromptDemand(5000);
          const choice = choose(setups, demand);
          const fleet = buildFleet(setups);
          const patienceMs = findPatienceMs(demand);
          if (choice === undefined) return;
          for (const limitMs of [patienceMs / 2, patienceMs]) {
            if (fleet.estimatePauseMs(choice.decoder) <= limitMs) continue;
            const harmless = fleet.ids.filter(
              id => fleet.estimatePauseMs(id) < limitMs,
            );
            expect(harmless).toEqual([]);
          }
        },
      ),
      {seed: 40, numRuns: 300},
    );
  });
});
