/** Order in which one gate prefers targets that are otherwise equal. */
import {createHash} from 'node:crypto';
import type {Target} from '../types.js';

/** Number of bytes of a hash that form a rank. */
const RANK_BYTES = 6;

/**
 * Ranks targets by a hash of the gate and the target. Gates that know nothing of
 * each other's placements see the same loads; a common order would send all of
 * them to the same engine.
 *
 * @example
 * new TargetRanking('10.1.0.4').rank(targets);
 */
export class TargetRanking {
  private readonly ranks = new Map<string, number>();

  constructor(private readonly gate: string) {}

  /** Sorts targets in the order of this gate. */
  rank(targets: readonly Target[]): readonly Target[] {
    return targets
      .map(target => ({target, rank: this.findRank(target.id)}))
      .sort((a, b) => a.rank - b.rank)
      .map(({target}) => target);
  }

  /** Forgets a target that was removed. */
  drop(target: string): void {
    this.ranks.delete(target);
  }

  private findRank(id: string): number {
    let rank = this.ranks.get(id);
    if (rank === undefined) {
      const hash = createHash('sha1').update(`${this.gate}|${id}`).digest();
      rank = hash.readUIntBE(0, RANK_BYTES);
      this.ranks.set(id, rank);
    }
    return rank;
  }
}
