/** KV cache of engines: free capacity, and reservations for one prompt. */
import type {EngineCostModel} from '../types.js';
import type {EngineLoad} from './engine-load.js';
import type {KvReservation} from './placement.js';
import type {Candidate} from './price-prefill.js';
import type {PromptDemand} from './prompt-types.js';

/**
 * KV cache kept free on each engine for the answers that the engine decodes, in
 * tokens.
 */
const KV_MARGIN_TOKENS = 6000;

/**
 * Counts the free KV cache of an engine, in tokens.
 *
 * @example
 * countFreeKvTokens(candidate.load, engine); // 309000 on an idle engine
 */
export function countFreeKvTokens(
  load: EngineLoad,
  engine: EngineCostModel,
): number {
  return engine.kvCapacityTokens - KV_MARGIN_TOKENS - load.kvTokens;
}

/**
 * Plans KV cache reservations on helpers for the tokens that the decoding
 * engine cannot hold; helpers with the most free capacity come first.
 *
 * @returns The reservations, or undefined if the decoding engine and the
 *   helpers together lack capacity.
 * @example
 * planReservations(decoder, helpers, demand, engine)?.length; // 0 if it fits
 */
export function planReservations(
  decoder: Candidate,
  helpers: readonly Candidate[],
  demand: PromptDemand,
  engine: EngineCostModel,
): readonly KvReservation[] | undefined {
  const neededTokens = demand.promptTokens + demand.maxOutputTokens;
  let missingTokens = neededTokens - countFreeKvTokens(decoder.load, engine);
  if (missingTokens <= 0) return [];
  const plan: KvReservation[] = [];
  const helpersByFreeTokens = helpers
    .map(({id, load}) => ({id, freeTokens: countFreeKvTokens(load, engine)}))
    .sort((a, b) => b.freeTokens - a.freeTokens);
  for (const {id, freeTokens} of helpersByFreeTokens) {
    if (missingTokens <= 0 || freeTokens <= 0) break;
    const tokens = Math.ceil(Math.min(missingTokens, freeTokens));
    plan.push({target: id, tokens});
    missingTokens -= tokens;
  }
  return missingTokens <= 0 ? plan : undefined;
}

/**
 * Checks whether a prompt and its answer fit the KV cache of idle engines.
 *
 * @param engines - Number of engines of the service.
 * @param most - Maximum number of engines that may prefill one prompt.
 * @example
 * isWithinIdleKvCapacity({promptTokens: 700_000, maxOutputTokens: 100}, engine, 2, 16); // false
 */
export function isWithinIdleKvCapacity(
  demand: Pick<PromptDemand, 'promptTokens' | 'maxOutputTokens'>,
  engine: EngineCostModel,
  engines: number,
  most: number,
): boolean {
  const neededTokens = demand.promptTokens + demand.maxOutputTokens;
  const usableTokens = engine.kvCapacityTokens - KV_MARGIN_TOKENS;
  return neededTokens <= usableTokens * Math.min(engines, most);
}
