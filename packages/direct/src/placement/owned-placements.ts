/** Placements by the gate that has placed them. */
import type {TrackedPlacement} from './tracked-engine.js';

/**
 * Index of placements by their owner, the run of a gate that their keys name.
 *
 * @example
 * owned.add(entry);
 * owned.list('10.1.0.4/17.5');
 */
export class OwnedPlacements {
  private readonly entriesByOwner = new Map<string, Set<TrackedPlacement>>();

  add(entry: TrackedPlacement): void {
    const owner = parseOwner(entry.placement.key);
    const known = this.entriesByOwner.get(owner);
    if (known === undefined) this.entriesByOwner.set(owner, new Set([entry]));
    else known.add(entry);
  }

  remove(entry: TrackedPlacement): void {
    const owner = parseOwner(entry.placement.key);
    const entries = this.entriesByOwner.get(owner);
    entries?.delete(entry);
    if (entries?.size === 0) this.entriesByOwner.delete(owner);
  }

  /** Lists the placements of one owner, oldest first. */
  list(owner: string): readonly TrackedPlacement[] {
    return [...(this.entriesByOwner.get(owner) ?? [])];
  }
}

/** Returns the owner that a placement key begins with. */
function parseOwner(key: string): string {
  return key.slice(0, key.lastIndexOf('#'));
}
