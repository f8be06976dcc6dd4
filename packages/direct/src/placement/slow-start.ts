/** How many streams a cold engine may hold while it warms up. */

/** State of a cold engine, and what this gate hears of the other gates. */
export interface ColdEngine {
  readonly slots: number;
  /** Share of the cold time that has passed, from 0 to 1. */
  readonly progress: number;
  /** Known streams that the engine decodes now or after their prefill. */
  readonly active: number;
  /** Share of the other gates whose placements are known, from 0 to 1. */
  readonly heardShare: number;
}

/**
 * Counts the streams that a cold engine may hold: 1 at first, and all slots at the
 * end of the cold time.
 *
 * @example
 * countColdSlots(8, 0.5); // 4
 */
export function countColdSlots(slots: number, progress: number): number {
  return 1 + Math.floor((slots - 1) * Math.min(1, Math.max(0, progress)));
}

/**
 * Returns whether a cold engine takes another stream. The gates that this gate
 * doesn't hear are taken to use their share of the engine.
 *
 * @example
 * isColdSlotFree({slots: 8, progress: 0.5, active: 3, heardShare: 1}); // true
 */
export function isColdSlotFree(engine: ColdEngine): boolean {
  const {slots, progress, active, heardShare} = engine;
  return active < countColdSlots(slots, progress) * heardShare;
}
