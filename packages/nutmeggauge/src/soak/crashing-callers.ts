/**
 * Callers that send a request again and again under which targets crash, as a
 * client does that retries whatever happens, or ever new requests that share the
 * part of their prompts under which targets crash.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
  CRASHING_BODY_PREFIX,
  CRASHING_PART_PREFIX,
} from '@nutmeggauge/platform';
import {runSeededCallers} from './seeded-callers.js';
import type {CallOptions} from './callers.js';
import type {CallerRecord} from './history.js';
import type {CallerKind, SeededCallersOptions} from './seeded-callers.js';
import type {SoakHarness} from './soak-harness.js';

const CRASHING: CallerKind = {name: 'crash', seedOffset: 0xc4a5};

/** Id of a part that all crashing requests with parts share. */
const COMMON_PART = 'c0';

/** Latest time of the first request, in ms after the start of the load. */
const MAX_START_MS = 4000;

/** Longest pause between two requests of one caller, in ms. */
const MAX_PAUSE_MS = 700;

/**
 * Runs the callers, each with a request of its own, until the load ends.
 *
 * @example
 * const records = await runCrashingCallers(harness, {seed: 7, count: 2, endsAt, idleTimeoutMs: 15_000});
 */
export function runCrashingCallers(
  harness: SoakHarness,
  options: SeededCallersOptions,
): Promise<readonly CallerRecord[]> {
  const {endpoints} = harness;
  return runSeededCallers(CRASHING, options, async ({index, caller, draw}) => {
    // Every second caller shares a part among requests of which no two are alike.
    const isByPart = index % 2 === 1;
    const call: CallOptions = isByPart
      ? {sharedParts: [COMMON_PART, `${CRASHING_PART_PREFIX}${index}`]}
      : {content: `${CRASHING_BODY_PREFIX}${index}`};
    const calls: Array<Promise<CallerRecord>> = [];
    await sleep(draw(MAX_START_MS));
    while (performance.now() < options.endsAt) {
      const endpoint = endpoints[draw(endpoints.length)];
      calls.push(caller.call(endpoint, 'stream', harness.key, call));
      await sleep(draw(MAX_PAUSE_MS));
    }
    return calls;
  });
}
