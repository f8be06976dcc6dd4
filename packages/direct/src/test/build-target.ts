/** Builders of positions and targets for tests. */
import type {FactPosition} from '../fleet/fact-position.js';
import type {Target} from '../types.js';

/**
 * Builds a position, in the first era by default.
 *
 * @example
 * buildPosition(8);
 */
export function buildPosition(revision: number, era = 0): FactPosition {
  return {era, revision};
}

/**
 * Builds a target of the service `chat` whose name equals its incarnation id.
 */
export function buildTarget(
  id: string,
  revision: number,
  isDraining = false,
): Target {
  return {
    id,
    name: id,
    bornAt: undefined,
    service: 'chat',
    host: '10.0.0.1',
    port: 80,
    zone: 'az-1',
    isDraining,
    position: buildPosition(revision),
  };
}
