/** Memory of engines: what one has left, and how several hold one prompt. */
import type {EngineFigures} from '../types.js';
import type {EngineLoad, HeldMemory} from './load-book.js';
import type {Candidate} from './price-reader.js';
import type {PromptDemand} from './prompt-types.js';

/** Memory left free on an engine for the streams that it writes, in tokens. */
const MEMORY_MARGIN_TOKENS = 6000;

/**
 * Counts the memory that an engine has left for one more prompt, in tokens.
 *
 * @example
 * countRoom(candidate.load, figures); // 309000 on an idle one
 */
export function countRoom(load: EngineLoad, engine: EngineFigures): number {
  return engine.memoryTokens - MEMORY_MARGIN_TOKENS - load.memoryTokens;
}

/**
 * Plans what the first engine cannot hold and helpers take, largest room first.
 *
 * @returns Nothing when they cannot hold it together.
 * @example
 * planReservations(first, helpers, demand, figures)?.length; // 0 when it fits
 */
export function planReservations(
  first: Candidate,
  helpers: readonly Candidate[],
  demand: PromptDemand,
  engine: EngineFigures,
): readonly HeldMemory[] | undefined {
  const need = demand.promptTokens + demand.maxOutputTokens;
  let missing = need - countRoom(first.load, engine);
  if (missing <= 0) return [];
  const plan: HeldMemory[] = [];
  const byRoom = helpers
    .map(({id, load}) => ({id, room: countRoom(load, engine)}))
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
 * @param most - Engines that may read one prompt.
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
  const room = engine.memoryTokens - MEMORY_MARGIN_TOKENS;
  return need <= room * Math.min(engines, most);
}
