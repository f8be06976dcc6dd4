/**
 * Callers that send bursts of requests and leave soon, whether or not a gate has
 * read them, as clients do that give up an unread request.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {STANDIN_KINDS} from '@nutmeggauge/platform';
import {runSeededCallers} from './seeded-callers.js';
import type {CallerRecord} from './history.js';
import type {CallerKind, SeededCallersOptions} from './seeded-callers.js';
import type {SoakHarness} from './soak-harness.js';

const IMPATIENT: CallerKind = {name: 'hasty', seedOffset: 0x1e4f};

/** Number of requests in one burst. */
const BURST_SIZE = 12;

/** Size of each prompt, in tokens. */
const PROMPT_TOKENS = 3000;

/** Longest time after which a caller leaves, in ms. */
const MAX_PATIENCE_MS = 1000;

/** Longest pause between two bursts of one caller, in ms. */
const MAX_PAUSE_MS = 1200;

/**
 * Runs the callers until the load ends.
 *
 * @example
 * const records = await runImpatientCallers(harness, {seed: 7, count: 2, endsAt, idleTimeoutMs: 15_000});
 */
export function runImpatientCallers(
  {endpoints, key}: SoakHarness,
  options: SeededCallersOptions,
): Promise<readonly CallerRecord[]> {
  return runSeededCallers(IMPATIENT, options, async ({caller, draw}) => {
    const calls: Array<Promise<CallerRecord>> = [];
    while (performance.now() < options.endsAt) {
      const endpoint = endpoints[draw(endpoints.length)];
      const call = {
        patienceMs: 1 + draw(MAX_PATIENCE_MS),
        promptTokens: PROMPT_TOKENS,
      };
      for (let i = 0; i < BURST_SIZE; i++) {
        const kind = STANDIN_KINDS[i % STANDIN_KINDS.length];
        calls.push(caller.call(endpoint, kind, key, call));
      }
      await sleep(draw(MAX_PAUSE_MS));
    }
    return calls;
  });
}
