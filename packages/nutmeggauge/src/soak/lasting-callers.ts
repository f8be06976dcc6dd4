/**
 * Callers of streams that last longer than the grace of a stop, on engines whose
 * slots are soon all taken, so that further streams wait in the gates. They send
 * on until the load ends, also to gates that stop.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {runSeededCallers} from './seeded-callers.js';
import type {CallerRecord} from './history.js';
import type {CallerKind, SeededCallersOptions} from './seeded-callers.js';
import type {SoakHarness} from './soak-harness.js';

const LASTING: CallerKind = {name: 'long', seedOffset: 0x10f6};

/** Number of callers in a run that has them. */
export const LASTING_CALLERS = 3;

/** Deadline of each stream, in ms: the timeout of its route. */
const DEADLINE_MS = 38_000;

/** Size of each prompt, in tokens. */
const PROMPT_TOKENS = 1460;

/** Fewest output tokens of a stream: about 2 s. */
const MIN_OUTPUT_TOKENS = 2000;

/** Most output tokens of a stream: about 20 s. */
const MAX_OUTPUT_TOKENS = 22_000;

/** Longest pause between two streams of one caller, in ms. */
const MAX_PAUSE_MS = 500;

/** Time after the load for which callers still wait, in ms. */
const LAST_WAIT_MS = 3000;

/** Connections of one caller: more than it has streams. */
const MAX_CONNECTIONS = 200;

/**
 * Runs the callers until the load ends.
 *
 * @example
 * const records = await runLastingCallers(harness, {seed: 7, count: 3, endsAt, idleTimeoutMs: 15_000});
 */
export function runLastingCallers(
  harness: SoakHarness,
  options: SeededCallersOptions,
): Promise<readonly CallerRecord[]> {
  const kind = {...LASTING, maxConnections: MAX_CONNECTIONS};
  return runSeededCallers(kind, options, async ({caller, draw}) => {
    const {endpoints} = harness;
    const calls: Array<Promise<CallerRecord>> = [];
    while (performance.now() < options.endsAt) {
      const endpoint = endpoints[draw(endpoints.length)];
      const spread = MAX_OUTPUT_TOKENS - MIN_OUTPUT_TOKENS;
      const leftMs = options.endsAt + LAST_WAIT_MS - performance.now();
      calls.push(
        caller.call(endpoint, 'long', harness.key, {
          promptTokens: PROMPT_TOKENS,
          outputTokens: MIN_OUTPUT_TOKENS + draw(spread),
          deadlineMs: DEADLINE_MS,
          patienceMs: Math.min(DEADLINE_MS, leftMs),
        }),
      );
      await sleep(draw(MAX_PAUSE_MS));
    }
    return calls;
  });
}
