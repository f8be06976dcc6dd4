/** Logs the changes of the facts that a gate knows. */
import type {FleetState} from '../fleet/fleet-state.js';
import type {FleetEvent} from '../fleet/fleet-types.js';
import type {DecisionLog} from './decision-log.js';

/**
 * Logs each change of the known facts, and each restore of the store from an older
 * copy.
 *
 * @param readFactsAgeMs - Reads the age of the facts, in ms.
 * @example
 * observeFacts(state, log, () => peers.readFactsAgeMs());
 */
export function observeFacts(
  state: FleetState,
  log: DecisionLog,
  readFactsAgeMs: () => number,
): void {
  state.onRestore(({source, before, after, held, doubted}) =>
    log.warn('store_restored', {
      source,
      era: after.era,
      revision: after.revision,
      earlierEra: before.era,
      earlierRevision: before.revision,
      held,
      doubted,
      configVersion: state.config?.version,
    }),
  );
  state.onChange(({event, id, source, revision}) =>
    log.info(event, {
      id,
      source,
      revision,
      factsAgeMs: Math.round(readFactsAgeMs()),
      // 0 shows an evacuation of a zone that no target names.
      targets: isZoneEvent(event) ? state.countInZone(id) : undefined,
    }),
  );
}

function isZoneEvent(event: FleetEvent['event']): boolean {
  return event === 'zone_evacuated' || event === 'zone_restored';
}
