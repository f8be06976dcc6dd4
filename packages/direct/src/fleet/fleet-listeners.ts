/** Listeners for changes of the facts that a gate knows. */
import type {ChangedZone} from './evacuated-zones.js';
import type {FleetEvent, FleetListener, RestoreEvent} from './fleet-types.js';

/**
 * Notifies the listeners of one fleet state.
 *
 * @example
 * const stop = listeners.add(event => log.info(event.event));
 * listeners.notify('target_added', 'store', 'i-1', 412);
 */
export class FleetListeners {
  private readonly listeners = new Set<FleetListener>();
  private readonly restoreListeners: Array<(event: RestoreEvent) => void> = [];

  /** Adds a listener for changes; returns a function that removes it. */
  add(listener: FleetListener): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }

  /** Adds a listener for restores of the store from an older copy. */
  addForRestore(listener: (event: RestoreEvent) => void): void {
    this.restoreListeners.push(listener);
  }

  /** Notifies the listeners of a change. */
  notify(
    event: FleetEvent['event'],
    source: FleetEvent['source'],
    id: string,
    revision: number,
  ): void {
    for (const listener of this.listeners)
      listener({event, source, id, revision});
  }

  /** Notifies the listeners of each zone that was evacuated or restored. */
  notifyZones(zones: readonly ChangedZone[], source: 'store' | 'peer'): void {
    for (const {zone, isEvacuated, position} of zones) {
      const event = isEvacuated ? 'zone_evacuated' : 'zone_restored';
      this.notify(event, source, zone, position.revision);
    }
  }

  /** Notifies the listeners of a restore. */
  notifyRestore(event: RestoreEvent): void {
    for (const listener of this.restoreListeners) listener(event);
  }
}
