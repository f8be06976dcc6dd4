/** KV cache of engines: free capacity, and how several hold one prompt. */
import type {EngineFigures} from '../types.js';
import type {EngineLoad, KvReservation} from './load-tracker.js';
import type {Candidate} from './price-prefill.js';
import type {PromptDemand} from './prompt-types.js';

/**
 * KV cache left free on an engine for the answers that it decodes, in tokens.
 */
const KV_MARGIN_TOKENS = 6000;

/**
 * Counts the free KV cache of an engine, in tokens.
 *
 * @example
 * countFreeKvTokens(candidate.load, figures); // 309000 on an idle one
 */
export function countFreeKvTokens(
  load: EngineLoad,
  engine: EngineFigures,
): number {
  return engine.kvCapacityTokens - KV_MARGIN_TOKENS - load.kvTokens;
}

/**
 * Plans the KV reservations of helpers for what the decoding engine cannot
 * hold, largest free capacity first.
 *
 * @returns Nothing if they cannot hold it together.
 * @example
 * planReservations(decoder, helpers, demand, figures)?.length; // 0 when it fits
 */
export function planReservations(
  decoder: Candidate,
  helpers: readonly Candidate[],
  demand: PromptDemand,
  engine: EngineFigures,
): readonly KvReservation[] | undefined {
  const need = demand.promptTokens + demand.maxOutputTokens;
  let missing = need - countFreeKvTokens(decoder.load, engine);
  if (missing <= 0) return [];
  const plan: KvReservation[] = [];
  const byRoom = helpers
    .map(({id, load}) => ({id, room: countFreeKvTokens(load, engine)}))
    .sort((a, b) => b.room - a.room);
  for (const {id, room} of byRoom) {
    if (missing <= 0 || room <= 0) break;
    const tokens = Math.ceil(Math.min(missing, room));
    plan.push({target: id, tokens});
    missing -= tokens;
  }
  return missing <= 0 ? plan : undefined;
}

/**
 * Says whether idle engines could hold a prompt between them.
 *
 * @param most - Engines that may prefill one prompt.
 * @example
 * isEverFitting({promptTokens: 700_000, maxOutputTokens: 100}, figures, 2, 16); // false
 */
export function isEverFitting(
  demand: Pick<PromptDemand, 'promptTokens' | 'maxOutputTokens'>,
  engine: EngineFigures,
  engines: number,
  most: number,
): boolean {
  const need = demand.promptTokens + demand.maxOutputTokens;
  const room = engine.kvCapacityTokens - KV_MARGIN_TOKENS;
  return need <= room * Math.min(engines, most);
}
