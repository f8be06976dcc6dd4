/** Log line of an event-loop turn that took long. */
import type {SlowTurn} from '@nutmeggauge/core';
import type {DecisionFields} from './decision-log.js';

/**
 * Formats a slow turn as fields of a log line.
 *
 * @example
 * log.warn('slow_turn', formatSlowTurn(turn));
 */
export function formatSlowTurn({ms, work, turns}: SlowTurn): DecisionFields {
  return {
    ms: Math.round(ms),
    turns,
    workMs: Object.fromEntries(
      work.map(({cause, ms: workMs}) => [cause, Math.round(workMs)]),
    ),
    counts: Object.fromEntries(work.map(({cause, count}) => [cause, count])),
  };
}
