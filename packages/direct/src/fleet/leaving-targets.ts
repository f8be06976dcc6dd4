/**
 * Targets that have said in an answer that they leave, by their incarnation. The
 * store may learn of it much later, for instance after an outage.
 */

/**
 * Time for which a target that has no entry is remembered, in ms: its entry may
 * have expired during an outage of the store and come back.
 */
const RETENTION_MS = 60_000;

/**
 * Remembers which targets leave.
 *
 * @example
 * leaving.add('i-1', now); // true: not known before
 * leaving.isLeaving('i-1'); // true
 */
export class LeavingTargets {
  /** Time at which each target was last known to have an entry. */
  private readonly listedAt = new Map<string, number>();

  /** Adds a target; returns false if it is known to leave. */
  add(id: string, now: number): boolean {
    if (this.listedAt.has(id)) return false;
    this.listedAt.set(id, now);
    return true;
  }

  /** Returns whether a target has said that it leaves. */
  isLeaving(id: string): boolean {
    return this.listedAt.has(id);
  }

  /** Forgets the targets that have had no entry for long. */
  expire(isListed: (id: string) => boolean, now: number): void {
    for (const [id, listedAt] of this.listedAt) {
      if (isListed(id)) this.listedAt.set(id, now);
      else if (now - listedAt > RETENTION_MS) this.listedAt.delete(id);
    }
  }
}
