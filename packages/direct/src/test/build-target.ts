/** Targets as tests of the fleet need them. */
import type {Target} from '../types.js';

/** A target of the service `chat` whose name is its incarnation. */
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
    revision,
  };
}
