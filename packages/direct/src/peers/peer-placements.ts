/** Keeps the placements of peers in the load tracker. */
import {toPlacement} from './messages.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import type {Heartbeat, WirePlacement} from './messages.js';
import type {PlacementMessage} from './placement-codec.js';
import type {Peer} from './peer-table.js';

/**
 * Formats the prefix of the placement keys of one run of a gate.
 *
 * @example
 * formatOwner('10.1.0.4', '17.5'); // '10.1.0.4/17.5'
 */
export function formatOwner(host: string, incarnation: string): string {
  return `${host}/${incarnation}`;
}

/**
 * Applies the placements that peers announce to the load tracker of a gate.
 *
 * @example
 * const placements = new PeerPlacements(tracker, () => performance.now());
 * placements.applyHeartbeat(heartbeat);
 */
export class PeerPlacements {
  constructor(
    private readonly tracker: LoadTracker,
    private readonly readNow: () => number,
  ) {}

  /** Applies a change of a placement that a peer has announced. */
  apply(message: PlacementMessage): void {
    const now = this.readNow();
    if (message.method === 'placed') this.add(message.params);
    else if (message.method === 'begun')
      this.tracker.markFirstToken(message.params.key, now);
    else this.tracker.remove(message.params.key, now);
  }

  private add(wire: WirePlacement): void {
    this.tracker.add(toPlacement(wire, this.readNow()), wire.begun);
  }

  /** Applies the open placements that a heartbeat lists. */
  applyHeartbeat(heartbeat: Heartbeat): void {
    const {tracker} = this;
    const now = this.readNow();
    const owner = formatOwner(heartbeat.from, heartbeat.incarnation);
    const toKey = (number: number) => `${owner}#${number}`;
    tracker.removeOwnedExcept(owner, new Set(heartbeat.open.map(toKey)), now);
    for (const wire of heartbeat.placements) this.add(wire);
    for (const number of heartbeat.begun)
      tracker.markFirstToken(toKey(number), now);
  }

  /**
   * Returns whether the sender has open placements that are not tracked here:
   * their announcement was lost, or they were dropped while the sender was
   * silent.
   */
  isIncomplete({from, incarnation, open}: Heartbeat): boolean {
    const owner = formatOwner(from, incarnation);
    return open.some(number => !this.tracker.isTracked(`${owner}#${number}`));
  }

  /** Drops the placements of a peer that has restarted or is lost. */
  drop({host, incarnation}: Peer): void {
    if (incarnation === undefined) return;
    const owner = formatOwner(host, incarnation);
    this.tracker.removeOwnedExcept(owner, new Set(), this.readNow());
  }
}
